package headchecker

import (
	"strings"

	"golang.org/x/net/http/httpguts"
)

// section is the state of checking a head or trailer line by line.
type section struct {
	// checkStartLine checks the first line and returns the protocol version in it. It is nil once it has been called, and
	// for a trailer.
	checkStartLine func(line string) (version string, err error)
	// followsCRLF is true if the line before ended in CRLF, not in a single LF.
	followsCRLF bool
	// skipsEmptyLines is true if empty lines can precede the start line.
	skipsEmptyLines bool
	// hasField is true if a field line precedes, which the next line can continue.
	hasField bool
	// version is the protocol version in the start line; empty for a trailer.
	version string
}

// checkLine checks the next line, including its end. It reports whether the line is the empty one that ends the section.
// A single LF ends a line as well (RFC 9112, section 2.2), but not the section: the HTTP library reads on behind that.
func (s *section) checkLine(raw []byte) (isEnd bool, err error) {
	line, isCRLF := strings.CutSuffix(string(raw[:len(raw)-1]), "\r")
	followsCRLF := s.followsCRLF
	s.followsCRLF = isCRLF
	switch {
	case line == "" && s.checkStartLine != nil && s.skipsEmptyLines:
		return false, nil
	case s.checkStartLine != nil:
		check := s.checkStartLine
		s.checkStartLine = nil
		s.version, err = check(line)
		return false, err
	case line == "" && !(isCRLF && followsCRLF):
		return false, &MalformedError{Part: PartEnd, Text: string(raw)}
	case line == "":
		return true, nil
	default:
		return false, s.checkFieldLine(line)
	}
}

// checkFieldLine checks a field line, or a line that continues one (RFC 9112, section 5.2).
func (s *section) checkFieldLine(line string) error {
	if isContinuation := line[0] == ' ' || line[0] == '\t'; isContinuation && s.hasField {
		return checkFieldValue(line)
	}
	s.hasField = true
	name, value, hasColon := strings.Cut(line, ":")
	if !hasColon || !httpguts.ValidHeaderFieldName(name) {
		return &MalformedError{Part: PartFieldName, Text: line}
	}
	if s.version == versionHTTP10 && strings.EqualFold(name, "Transfer-Encoding") {
		return &MalformedError{Part: PartFraming, Text: line}
	}
	return checkFieldValue(value)
}

func checkFieldValue(value string) error {
	if !httpguts.ValidHeaderFieldValue(value) {
		return &MalformedError{Part: PartFieldValue, Text: value}
	}
	return nil
}
