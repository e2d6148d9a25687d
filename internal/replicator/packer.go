package replicator

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
)

// MaxTextBytes is the size of the longest text that Unpack returns.
const MaxTextBytes = 4 << 20

// ErrUnpack is wrapped by the error of Unpack for data that is malformed or decompresses to too long a text.
var ErrUnpack = merry.Sentinel("text can't be unpacked")

// Pack compresses a document's text in the gzip format (RFC 1952). It is safe for concurrent use.
func Pack(text string) []byte {
	var packed bytes.Buffer
	w, ok := gzipWriters.Get().(*gzip.Writer)
	if !ok {
		return nil
	}
	defer gzipWriters.Put(w)
	w.Reset(&packed)
	// Writing to a bytes.Buffer never returns an error.
	_, _ = io.WriteString(w, text)
	_ = w.Close()
	return packed.Bytes()
}

// gzipWriters pools compressors, because each one has large tables.
var gzipWriters = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		return gzip.NewWriter(io.Discard)
	}
	return w
}}

// Unpack returns the text that Pack compressed, up to MaxTextBytes. The error wraps ErrUnpack.
func Unpack(packed []byte) (string, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrUnpack, err)
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxTextBytes+1))
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrUnpack, err)
	}
	if len(text) > MaxTextBytes {
		return "", fmt.Errorf("%w: more than %d bytes", ErrUnpack, MaxTextBytes)
	}
	return string(text), nil
}
