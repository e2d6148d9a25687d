package headchecker

import "bytes"

// The protocol versions of HTTP/1.
const (
	versionHTTP10 = "HTTP/1.0"
	versionHTTP11 = "HTTP/1.1"
)

// checkStatusLine checks the first line of a response (RFC 9112, section 4). The space before an empty reason phrase can be
// missing.
func checkStatusLine(line []byte) (version string, err error) {
	protocol, rest, _ := bytes.Cut(line, blank)
	version, ok := parseVersion(protocol)
	if !ok {
		return "", &MalformedError{Part: PartVersion, Text: string(line)}
	}
	status, reason, _ := bytes.Cut(rest, blank)
	if !isStatus(status) {
		return "", &MalformedError{Part: PartStatus, Text: string(rest)}
	}
	// A reason phrase can hold the same bytes as a field value.
	if !isFieldValue(reason) {
		return "", &MalformedError{Part: PartReason, Text: string(reason)}
	}
	return version, nil
}

// checkRequestLine checks the first line of a request (RFC 9112, section 3).
func checkRequestLine(line []byte) (version string, err error) {
	method, rest, _ := bytes.Cut(line, blank)
	if !isToken(method) {
		return "", &MalformedError{Part: PartMethod, Text: string(line)}
	}
	target, protocol, _ := bytes.Cut(rest, blank)
	if len(target) == 0 || !isFieldValue(target) || bytes.IndexByte(target, '\t') >= 0 {
		return "", &MalformedError{Part: PartTarget, Text: string(rest)}
	}
	version, ok := parseVersion(protocol)
	if !ok {
		return "", &MalformedError{Part: PartVersion, Text: string(protocol)}
	}
	return version, nil
}

func parseVersion(text []byte) (version string, ok bool) {
	switch string(text) {
	case versionHTTP11:
		return versionHTTP11, true
	case versionHTTP10:
		return versionHTTP10, true
	default:
		return "", false
	}
}

// isStatus reports whether text is a status code: three digits from 100 to 599 (RFC 9110, section 15).
func isStatus(text []byte) bool {
	return len(text) == 3 && '1' <= text[0] && text[0] <= '5' && isDigit(text[1]) && isDigit(text[2])
}

func isDigit(c byte) bool {
	return '0' <= c && c <= '9'
}
