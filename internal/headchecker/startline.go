package headchecker

import (
	"strings"

	"golang.org/x/net/http/httpguts"
)

// The protocol versions of HTTP/1.
const (
	versionHTTP10 = "HTTP/1.0"
	versionHTTP11 = "HTTP/1.1"
)

// checkStatusLine checks the first line of a response (RFC 9112, section 4). The space before an empty reason phrase can be
// missing.
func checkStatusLine(line string) (version string, err error) {
	version, rest, _ := strings.Cut(line, " ")
	if !isVersion(version) {
		return "", &MalformedError{Part: PartVersion, Text: line}
	}
	status, reason, _ := strings.Cut(rest, " ")
	if !isStatus(status) {
		return "", &MalformedError{Part: PartStatus, Text: rest}
	}
	// A reason phrase can hold the same bytes as a field value.
	if !httpguts.ValidHeaderFieldValue(reason) {
		return "", &MalformedError{Part: PartReason, Text: reason}
	}
	return version, nil
}

// checkRequestLine checks the first line of a request (RFC 9112, section 3).
func checkRequestLine(line string) (version string, err error) {
	method, rest, _ := strings.Cut(line, " ")
	if !httpguts.ValidHeaderFieldName(method) {
		return "", &MalformedError{Part: PartMethod, Text: line}
	}
	target, version, _ := strings.Cut(rest, " ")
	if target == "" || !httpguts.ValidHeaderFieldValue(target) || strings.Contains(target, "\t") {
		return "", &MalformedError{Part: PartTarget, Text: rest}
	}
	if !isVersion(version) {
		return "", &MalformedError{Part: PartVersion, Text: version}
	}
	return version, nil
}

func isVersion(text string) bool {
	return text == versionHTTP11 || text == versionHTTP10
}

// isStatus reports whether text is a status code: three digits from 100 to 599 (RFC 9110, section 15).
func isStatus(text string) bool {
	if len(text) != 3 || text[0] < '1' || text[0] > '5' {
		return false
	}
	return isDigit(text[1]) && isDigit(text[2])
}

func isDigit(c byte) bool {
	return '0' <= c && c <= '9'
}
