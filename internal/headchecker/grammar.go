package headchecker

import "golang.org/x/net/http/httpguts"

// Delimiters and the field that the checks look for.
var (
	blank            = []byte(" ")
	transferEncoding = []byte("Transfer-Encoding")
)

// byteSet tells for each byte whether it belongs to the set.
type byteSet [256]bool

var (
	// tokenBytes are the bytes of tokens (RFC 9110, section 5.6.2).
	tokenBytes = newByteSet(func(c byte) bool { return httpguts.IsTokenRune(rune(c)) })
	// valueBytes are the bytes of field values: all but control bytes other than tabs (RFC 9110, section 5.5).
	valueBytes = newByteSet(func(c byte) bool { return httpguts.ValidHeaderFieldValue(string([]byte{c})) })
)

func newByteSet(contains func(c byte) bool) *byteSet {
	var set byteSet
	for c := range set {
		set[c] = contains(byte(c))
	}
	return &set
}

// prefixLength returns how many bytes at the beginning of text belong to the set.
func (s *byteSet) prefixLength(text []byte) int {
	for i, c := range text {
		if !s[c] {
			return i
		}
	}
	return len(text)
}

func isToken(text []byte) bool {
	return len(text) > 0 && tokenBytes.prefixLength(text) == len(text)
}

func isFieldValue(text []byte) bool {
	return valueBytes.prefixLength(text) == len(text)
}
