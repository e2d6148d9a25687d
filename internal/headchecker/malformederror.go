package headchecker

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// ErrMalformed is wrapped by the error for a head or trailer that does not conform to the grammar.
var ErrMalformed = merry.Sentinel("malformed HTTP message")

// Part is a part of a head or trailer.
type Part string

// The values of Part.
const (
	PartEnd        Part = "end of the section" // The empty line, which must end in CRLF like the line before it.
	PartFieldName  Part = "field name"
	PartFieldValue Part = "field value"
	PartFraming    Part = "framing" // Fields that contradict the protocol version about the length of the body.
	PartMethod     Part = "method"
	PartReason     Part = "reason phrase"
	PartStatus     Part = "status code"
	PartTarget     Part = "request target"
	PartVersion    Part = "protocol version"
)

// maxQuotedBytes limits how much of a malformed part its error quotes.
const maxQuotedBytes = 64

// MalformedError tells which part of a head or trailer does not conform to the grammar. It wraps ErrMalformed.
type MalformedError struct {
	Part Part
	// Text holds the bytes of the part.
	Text string
}

// Error implements error. It quotes the beginning of the part, in ASCII with control bytes escaped.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed %s: %+q", e.Part, e.Text[:min(len(e.Text), maxQuotedBytes)])
}

// Unwrap returns ErrMalformed.
func (e *MalformedError) Unwrap() error {
	return ErrMalformed
}
