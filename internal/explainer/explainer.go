// Package explainer joins the log lines of several processes on one request and tells its story.
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

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Line is one log line on a request.
type Line struct {
	// Fields are those that the story does not start with, in their order.
	Fields  []Field
	Message string
	// Source is the process or the file that the line comes from.
	Source string
	Time   time.Time
}

// Field is one key with its value.
type Field struct {
	Key   string
	Value string
}

// Find returns the lines on the request in the order of time. The request is named by the caller's id
// or by the call's.
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

// levelKey is the first field of each line; what stands before it names the process.
const levelKey = "level="

// parse reads a line. It reports false for one on another request, or that can't be read.
func parse(request, source, text string) (Line, bool) {
	if before, rest, found := strings.Cut(text, levelKey); found {
		if words := strings.Fields(before); len(words) > 0 {
			source = words[len(words)-1]
		}
		text = levelKey + rest
	}
	line := Line{Source: source}
	isAbout := false
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
			isAbout = isAbout || value == request
		default:
			line.Fields = append(line.Fields, Field{key, value})
		}
	}
	return line, isAbout && decoder.Err() == nil
}

// Write tells the story: a line an event with the time since the first.
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
