package replicator

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
)

// maxTextBytes bounds what Unpack returns.
const maxTextBytes = 4 << 20

// ErrPacked is wrapped by the error of a text that can't be unpacked.
var ErrPacked = merry.Sentinel("text can't be unpacked")

// Pack compresses a document's text (RFC 1952).
func Pack(text string) []byte {
	var packed bytes.Buffer
	w, ok := writers.Get().(*gzip.Writer)
	if !ok {
		return nil
	}
	defer writers.Put(w)
	w.Reset(&packed)
	// Writes to a buffer do not fail.
	_, _ = io.WriteString(w, text)
	_ = w.Close()
	return packed.Bytes()
}

// writers keeps compressors, whose tables are large.
var writers = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		return gzip.NewWriter(io.Discard)
	}
	return w
}}

// Unpack returns the text that Pack compressed. The error wraps ErrPacked.
func Unpack(packed []byte) (string, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrPacked, err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxTextBytes+1))
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrPacked, err)
	}
	if len(text) > maxTextBytes {
		return "", fmt.Errorf("%w: more than %d bytes", ErrPacked, maxTextBytes)
	}
	return string(text), nil
}
