package responder

import (
	"bytes"
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// ErrForeignAnswer is wrapped by errors for a body that does not belong to the request or is damaged.
var ErrForeignAnswer = merry.Sentinel("the answer belongs to another request")

// Answer returns the body of the response to the request id: the id, a checksum of the payload, and a payload of size
// bytes that is derived from the id.
func Answer(id string, size int) []byte {
	payload := make([]byte, size)
	state := xxhash.Sum64String(id)
	for i := range payload {
		state = state*6364136223846793005 + 1442695040888963407
		payload[i] = 'a' + byte(state>>33)%26
	}
	header := fmt.Sprintf("%s %016x ", id, xxhash.Sum64(payload))
	return append([]byte(header), payload...)
}

// CheckAnswer verifies that body is the whole response to the request id. The error wraps ErrForeignAnswer.
func CheckAnswer(id string, body []byte) error {
	fields := bytes.SplitN(body, []byte(" "), 3)
	if len(fields) != 3 {
		return fmt.Errorf("%w: %d bytes without an id", ErrForeignAnswer, len(body))
	}
	if string(fields[0]) != id {
		return fmt.Errorf("%w: it is for %q, not %q", ErrForeignAnswer, fields[0], id)
	}
	if !bytes.Equal(body, Answer(id, len(fields[2]))) {
		return fmt.Errorf("%w: the checksum of %q is wrong", ErrForeignAnswer, id)
	}
	return nil
}
