// Package logger provides structured loggers and a log writer that never blocks.
package logger

import (
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Format is the encoding of log lines.
type Format string

// The supported formats.
const (
	FormatJSON   Format = "json"
	FormatLogfmt Format = "logfmt"
)

// New returns a logger that writes lines of at least the named level, with a UTC timestamp, to w. The level
// is one of debug, info, warn and error. The logger is safe for concurrent use.
func New(w io.Writer, format Format, levelName string) (log.Logger, error) {
	minLevel, err := level.Parse(levelName)
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
	base = level.NewFilter(base, level.Allow(minLevel))
	return log.With(base, "ts", log.DefaultTimestampUTC), nil
}

// Component logs for one component of the program. Each message starts with the component's name.
type Component struct {
	base   log.Logger
	prefix string
}

// NewComponent returns the logger of the component called name.
func NewComponent(base log.Logger, name string) *Component {
	return &Component{base: base, prefix: name + ": "}
}

// Debug logs a message with alternating keys and values.
func (c *Component) Debug(message string, keyvals ...any) {
	c.write(level.Debug(c.base), message, keyvals)
}

// Error logs a message with alternating keys and values.
func (c *Component) Error(message string, keyvals ...any) {
	c.write(level.Error(c.base), message, keyvals)
}

// Info logs a message with alternating keys and values.
func (c *Component) Info(message string, keyvals ...any) {
	c.write(level.Info(c.base), message, keyvals)
}

// Warn logs a message with alternating keys and values.
func (c *Component) Warn(message string, keyvals ...any) {
	c.write(level.Warn(c.base), message, keyvals)
}

func (c *Component) write(to log.Logger, message string, keyvals []any) {
	line := append([]any{"msg", c.prefix + message}, keyvals...)
	// A failure to log must not stop the work that the line describes.
	_ = to.Log(line...)
}

// Silent is a logger for libraries that discards all lines. Lost connections and late answers, which libraries
// log, are logged and counted by the program where they matter.
type Silent struct{}

// Printf implements the logger interfaces of fasthttp and jsonrpc2.
func (Silent) Printf(string, ...any) {}
