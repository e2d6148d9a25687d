// Package headereditor reads and changes HTTP header fields that can occur in several lines. The HTTP library's Peek
// returns the first line of a field and its Set replaces the first line, so that the others would be overlooked and passed
// on.
package headereditor

import (
	"fmt"
	"iter"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"
)

// ErrRepeated is wrapped by the error for a single-valued field that occurs in several lines.
var ErrRepeated = merry.Sentinel("the header occurs more than once")

// Header is a header of a request or a response.
type Header interface {
	All() iter.Seq2[[]byte, []byte]
	Del(name string)
	PeekAll(name string) [][]byte
	Set(name, value string)
}

// Replace removes all lines of the field and adds one with the value.
func Replace(h Header, name, value string) {
	h.Del(name)
	h.Set(name, value)
}

// Only returns the value of a single-valued field, or the empty string if there is none. The error wraps ErrRepeated, also
// if all lines have the same value.
func Only(h Header, name string) (string, error) {
	lines := h.PeekAll(name)
	switch len(lines) {
	case 0:
		return "", nil
	case 1:
		return string(lines[0]), nil
	default:
		return "", fmt.Errorf("%w: %s", ErrRepeated, name)
	}
}

// OnlyOrNone returns the value of a single-valued field, or the empty string if there is none or several lines.
func OnlyOrNone(h Header, name string) string {
	// Several lines name no value that could be relied on.
	value, _ := Only(h, name)
	return value
}

// Joined returns the values of all lines of the field, separated by commas (RFC 9110, section 5.3). A field that
// occurs in several lines therefore equals none of its values.
func Joined(h Header, name string) string {
	lines := h.PeekAll(name)
	if len(lines) == 1 {
		return string(lines[0])
	}
	values := make([]string, 0, len(lines))
	for _, line := range lines {
		values = append(values, string(line))
	}
	return strings.Join(values, ", ")
}

// Has reports whether a line of the field has a value that is not empty.
func Has(h Header, name string) bool {
	return slices.ContainsFunc(h.PeekAll(name), func(line []byte) bool { return len(line) > 0 })
}

// RemoveHop removes the fields that concern one connection only: the named ones, Connection, and those that any line of
// Connection names (RFC 9110, section 7.6.1), except for the kept ones.
func RemoveHop(h Header, names, kept []string) {
	for _, name := range append(connectionOptions(h), names...) {
		isSame := func(other string) bool { return strings.EqualFold(other, name) }
		if !slices.ContainsFunc(kept, isSame) {
			h.Del(name)
		}
	}
	h.Del(fasthttp.HeaderConnection)
}

// RemovePrefixed removes all fields whose names begin with the prefix, in upper or lower case.
func RemovePrefixed(h Header, prefix string) {
	var names []string
	for name := range h.All() {
		if len(name) >= len(prefix) && strings.EqualFold(string(name[:len(prefix)]), prefix) {
			names = append(names, string(name))
		}
	}
	for _, name := range names {
		h.Del(name)
	}
}

// connectionOptions returns the names in all lines of Connection.
func connectionOptions(h Header) []string {
	var options []string
	for name, value := range h.All() {
		if !strings.EqualFold(string(name), fasthttp.HeaderConnection) {
			continue
		}
		for option := range strings.SplitSeq(string(value), ",") {
			if option = strings.TrimSpace(option); option != "" {
				options = append(options, option)
			}
		}
	}
	return options
}
