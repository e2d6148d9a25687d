// Package explainer merges the log lines of several processes on one request into one timeline.
package explainer

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLineBytes is the largest length of a log line.
const maxLineBytes = 1 << 20

// Line is a parsed log line on a request.
type Line struct {
	// Fields are the fields other than the level, the time, the message and the ids of the request and the
	// call, in the order of the line.
	Fields  []Field
	Message string
	// Source names the process or the file that the line comes from.
	Source string
	Time   time.Time
}

// Field is a key of a log line with its value.
type Field struct {
	Key   string
	Value string
}

// Find returns the lines on a request from logs, which maps the name of each source to its log. The request is
// identified by its own id or by the id of a call. The lines are sorted by time and then by source. Lines that
// can't be parsed are ignored.
func Find(request string, logs map[string]io.Reader) ([]Line, error) {
	var lines []Line
	for source, log := range logs {
		found, err := findIn(request, source, log)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", source, err)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b Line) int {
		if order := a.Time.Compare(b.Time); order != 0 {
			return order
		}
		return strings.Compare(a.Source, b.Source)
	})
	return lines, nil
}

// findIn returns the lines on the request from one log, in their order.
func findIn(request, source string, log io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, request) {
			continue
		}
		if line, ok := parse(request, source, text); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// levelKey is the first field of each line. The last word before it, if any, names the process.
const levelKey = "level="

// parse parses a line in logfmt. It returns false if the line is on another request or can't be parsed.
func parse(request, source, text string) (Line, bool) {
	if before, rest, found := strings.Cut(text, levelKey); found {
		if words := strings.Fields(before); len(words) > 0 {
			source = words[len(words)-1]
		}
		text = levelKey + rest
	}
	line := Line{Source: source}
	matches := false
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch key {
		case "level":
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, false
			}
			line.Time = at
		case "msg":
			line.Message = value
		case "request", "call":
			matches = matches || value == request
		default:
			line.Fields = append(line.Fields, Field{key, value})
		}
	}
	return line, matches && decoder.Err() == nil
}

// Write writes the lines as text, each with the time in milliseconds since the first one, its source, its message
// and its fields that are not empty.
func Write(w io.Writer, lines []Line) error {
	for _, line := range lines {
		var text strings.Builder
		for _, field := range line.Fields {
			if field.Value != "" {
				fmt.Fprintf(&text, " %s=%s", field.Key, field.Value)
			}
		}
		since := line.Time.Sub(lines[0].Time)
		if _, err := fmt.Fprintf(w, "%+9.3fms  %s  %s%s\n", float64(since)/float64(time.Millisecond), line.Source, line.Message, text.String()); err != nil {
			return err
		}
	}
	return nil
}
