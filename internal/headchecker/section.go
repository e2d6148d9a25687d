package headchecker

import "bytes"

// section is the state of checking a head or trailer line by line.
type section struct {
	// checkStartLine checks the first line and returns the protocol version in it. It is nil once it has been called, and
	// for a trailer.
	checkStartLine func(line []byte) (version string, err error)
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
	line, isCRLF := cutLineEnd(raw)
	followsCRLF := s.followsCRLF
	s.followsCRLF = isCRLF
	switch {
	case len(line) == 0 && s.checkStartLine != nil && s.skipsEmptyLines:
		return false, nil
	case s.checkStartLine != nil:
		check := s.checkStartLine
		s.checkStartLine = nil
		s.version, err = check(line)
		return false, err
	case len(line) == 0 && !(isCRLF && followsCRLF):
		return false, &MalformedError{Part: PartEnd, Text: string(raw)}
	case len(line) == 0:
		return true, nil
	default:
		return false, s.checkFieldLine(line)
	}
}

// cutLineEnd returns the line without its LF and a CR before that, and whether there is one.
func cutLineEnd(raw []byte) (line []byte, isCRLF bool) {
	end := len(raw) - 1
	if end > 0 && raw[end-1] == '\r' {
		return raw[:end-1], true
	}
	return raw[:end], false
}

// checkFieldLine checks a field line, or a line that continues one (RFC 9112, section 5.2).
func (s *section) checkFieldLine(line []byte) error {
	if isContinuation := line[0] == ' ' || line[0] == '\t'; isContinuation && s.hasField {
		return checkFieldValue(line)
	}
	s.hasField = true
	name := line[:tokenBytes.prefixLength(line)]
	if len(name) == 0 || len(name) == len(line) || line[len(name)] != ':' {
		return &MalformedError{Part: PartFieldName, Text: string(line)}
	}
	if s.version == versionHTTP10 && bytes.EqualFold(name, transferEncoding) {
		return &MalformedError{Part: PartFraming, Text: string(line)}
	}
	return checkFieldValue(line[len(name)+1:])
}

func checkFieldValue(value []byte) error {
	if !isFieldValue(value) {
		return &MalformedError{Part: PartFieldValue, Text: string(value)}
	}
	return nil
}
