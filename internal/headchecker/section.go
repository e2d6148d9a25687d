package headchecker

import "strings"

// section is the state of checking a head line by line.
type section struct {
	// checkStartLine checks the first line. It is nil once it has been called.
	checkStartLine func(line string) error
}

// checkLine checks the next line, including its end. It reports whether the line is the empty one that ends the section.
func (s *section) checkLine(raw []byte) (isEnd bool, err error) {
	line := strings.TrimSuffix(string(raw[:len(raw)-1]), "\r")
	if s.checkStartLine != nil {
		check := s.checkStartLine
		s.checkStartLine = nil
		return false, check(line)
	}
	return line == "", nil
}
