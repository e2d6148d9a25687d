// Package wiretester has the cases of HTTP messages, well-formed and malformed ones, with which tests of several packages check
// how nodes read them, and what these tests need to compare that with a second reader.
package wiretester

import (
	_ "embed" // The cases are data files of this package.
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
)

//go:embed requests.txtar
var requests []byte

//go:embed responses.txtar
var responses []byte

// Case is a message as its sender writes it, and what must be taken from it.
type Case struct {
	Name string
	// Wire holds the bytes of the message.
	Wire string
	// Status is the status of the response to take from it, or that of the response to the request; zero for a malformed
	// message, which is no answer, or must get 400.
	Status int
	// Body is the body to take from it.
	Body string
}

// IsMalformed reports whether nothing must be taken from the message.
func (c *Case) IsMalformed() bool {
	return c.Status == 0
}

// Requests returns the cases of requests.
func Requests(tb testing.TB) []Case {
	tb.Helper()
	return parse(tb, requests)
}

// Responses returns the cases of responses.
func Responses(tb testing.TB) []Case {
	tb.Helper()
	return parse(tb, responses)
}

func parse(tb testing.TB, data []byte) []Case {
	tb.Helper()
	files := txtar.Parse(data).Files
	cases := make([]Case, 0, len(files))
	for _, file := range files {
		cases = append(cases, parseCase(tb, file.Name, string(file.Data)))
	}
	return cases
}

func parseCase(tb testing.TB, name, text string) Case {
	tb.Helper()
	c := Case{Name: name}
	for line := range strings.Lines(text) {
		key, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		var err error
		switch key {
		case "bytes":
			var part string
			part, err = strconv.Unquote(`"` + strings.ReplaceAll(value, `"`, `\"`) + `"`)
			c.Wire += part
		case "status":
			c.Status, err = strconv.Atoi(value)
		case "body":
			c.Body = value
		default:
			tb.Fatalf("%s: unknown field: %q", name, line)
		}
		if err != nil {
			tb.Fatalf("%s: %q: %v", name, line, err)
		}
	}
	return c
}
