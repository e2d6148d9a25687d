// Package splitter splits JSON texts into their members and elements without decoding these, so that long lists which change little
// from one text to the next need not be decoded again. It checks the punctuation between the parts; whoever decodes a part checks
// the rest.
package splitter

import "strings"

// usualElementBytes is the length of an element of a list in a configuration. It decides the room for the elements alone.
const usualElementBytes = 128

// Member is a member of a JSON object.
type Member struct {
	// Name is the name without its quotes. A name with an escape is not split.
	Name string
	// Value is the text of the value.
	Value string
}

// Members splits a JSON object into its members, in their order. It returns false for a text that is no object or has an escape in a
// name.
func Members(object string) ([]Member, bool) {
	var members []Member
	ok := split(object, '{', '}', func(s *scanner) bool {
		name := s.value()
		if len(name) < 2 || name[0] != '"' || strings.Contains(name, `\`) || !s.skip(':') {
			return false
		}
		value := s.value()
		members = append(members, Member{Name: name[1 : len(name)-1], Value: value})
		return value != ""
	})
	return members, ok
}

// Elements splits a JSON array into the texts of its elements. It returns false for a text that is no array.
func Elements(array string) ([]string, bool) {
	elements := make([]string, 0, 1+len(array)/usualElementBytes)
	ok := split(array, '[', ']', func(s *scanner) bool {
		element := s.value()
		elements = append(elements, element)
		return element != ""
	})
	return elements, ok
}

// split calls part for each part of a text that is enclosed by open and end and separated by commas. It returns false for another text,
// or if part does.
func split(text string, open, end byte, part func(*scanner) bool) bool {
	s := &scanner{text: text}
	if !s.skip(open) {
		return false
	}
	if s.skip(end) {
		return s.isAtEnd()
	}
	for part(s) {
		if s.skip(end) {
			return s.isAtEnd()
		}
		if !s.skip(',') {
			return false
		}
	}
	return false
}

// scanner reads a JSON text from the front.
type scanner struct {
	// text is what has not been read.
	text string
}

func (s *scanner) skipSpace() {
	s.text = strings.TrimLeft(s.text, " \t\r\n")
}

func (s *scanner) isAtEnd() bool {
	s.skipSpace()
	return s.text == ""
}

// skip reads a character of punctuation, and reports whether it comes next.
func (s *scanner) skip(c byte) bool {
	s.skipSpace()
	if s.text == "" || s.text[0] != c {
		return false
	}
	s.text = s.text[1:]
	return true
}

// value reads a value and returns its text. It is empty if there is none or it doesn't end.
func (s *scanner) value() string {
	s.skipSpace()
	length := valueLength(s.text)
	value := s.text[:length]
	s.text = s.text[length:]
	return value
}

// valueLength returns the length of the value at the beginning of the text, or zero.
func valueLength(text string) int {
	if text == "" {
		return 0
	}
	switch text[0] {
	case '"':
		return stringLength(text)
	case '{', '[':
		return nestedLength(text)
	default:
		return max(0, strings.IndexAny(text, ",]} \t\r\n"))
	}
}

// stringLength returns the length of the string at the beginning of the text with its quotes, or zero.
func stringLength(text string) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}

// nestedLength returns the length of the object or array at the beginning of the text, or zero.
func nestedLength(text string) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			length := stringLength(text[i:])
			if length == 0 {
				return 0
			}
			i += length - 1
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			if depth == 0 {
				return i + 1
			}
		}
	}
	return 0
}
