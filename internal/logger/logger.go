// Package logger builds the structured loggers of the program.
package logger

import (
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Format is the encoding of log lines.
type Format string

// The formats.
const (
	FormatJSON   Format = "json"
	FormatLogfmt Format = "logfmt"
)

// New returns a logger that writes lines of at least the named level to w. The level is one of
// debug, info, warn and error.
func New(w io.Writer, format Format, levelName string) (log.Logger, error) {
	allowed, err := level.Parse(levelName)
	if err != nil {
		return nil, fmt.Errorf("log level %q: want debug, info, warn or error", levelName)
	}
	var base log.Logger
	switch format {
	case FormatJSON:
		base = log.NewJSONLogger(log.NewSyncWriter(w))
	case FormatLogfmt:
		base = log.NewLogfmtLogger(log.NewSyncWriter(w))
	default:
		return nil, fmt.Errorf("log format %q: want json or logfmt", format)
	}
	base = level.NewFilter(base, level.Allow(allowed))
	return log.With(base, "ts", log.DefaultTimestampUTC), nil
}

// Part logs for one part of the program. Each message starts with the part's name.
type Part struct {
	base   log.Logger
	prefix string
}

// NewPart returns the logger of the part called name.
func NewPart(base log.Logger, name string) *Part {
	return &Part{base: base, prefix: name + ": "}
}

// Debug logs a message with alternating keys and values.
func (p *Part) Debug(message string, keyvals ...any) {
	p.write(level.Debug(p.base), message, keyvals)
}

// Error logs a message with alternating keys and values.
func (p *Part) Error(message string, keyvals ...any) {
	p.write(level.Error(p.base), message, keyvals)
}

// Info logs a message with alternating keys and values.
func (p *Part) Info(message string, keyvals ...any) {
	p.write(level.Info(p.base), message, keyvals)
}

// Warn logs a message with alternating keys and values.
func (p *Part) Warn(message string, keyvals ...any) {
	p.write(level.Warn(p.base), message, keyvals)
}

func (p *Part) write(to log.Logger, message string, keyvals []any) {
	line := append([]any{"msg", p.prefix + message}, keyvals...)
	// A log line that can't be written must not stop the work it tells of.
	_ = to.Log(line...)
}

// Silent drops the lines that libraries write of their own: lost connections and late answers are logged and
// counted where they matter.
type Silent struct{}

// Printf implements the loggers of fasthttp and jsonrpc2.
func (Silent) Printf(string, ...any) {}
