package headchecker

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

// TestMalformedLineIsFoundAtOnce guards against a caller that waits until its deadline for the end of a head whose first bytes
// are malformed.
func TestMalformedLineIsFoundAtOnce(t *testing.T) {
	for _, beginning := range []string{"HTTP/1.1 000 Zero\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\n", "220 ready\r\n"} {
		reader, writer := io.Pipe()
		go func() { _, _ = writer.Write([]byte(beginning)) }()
		if err := CheckResponse(bufio.NewReader(reader)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: got %v", beginning, err)
		}
	}
}

// TestErrorsOfReading covers heads that are no error of the sender's, or not only.
func TestErrorsOfReading(t *testing.T) {
	tests := []struct {
		name, text string
		want       error
	}{
		{"empty stream", "", io.EOF},
		{"cut in the status line", "HTTP/1.1 200", io.ErrUnexpectedEOF},
		{"cut in a field", "HTTP/1.1 200 OK\r\nA: b", io.ErrUnexpectedEOF},
		{"cut before the empty line", "HTTP/1.1 200 OK\r\nA: b\r\n", io.ErrUnexpectedEOF},
		{"longer than the buffer", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 4096), bufio.ErrBufferFull},
		{"whole", "HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := CheckResponse(bufio.NewReaderSize(strings.NewReader(test.text), 2048)); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// TestErrorQuotesPart guards against bytes of an upstream that reach logs and terminals as they are, or at any length.
func TestErrorQuotesPart(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nA\x1b[31m\xffB" + strings.Repeat("c", 1000) + ": d\r\n\r\n"
	err := CheckResponse(bufio.NewReader(strings.NewReader(text)))
	const want = `malformed field name: "A\x1b[31m\xffB`
	if err == nil || !strings.HasPrefix(err.Error(), want) || len(err.Error()) > 200 {
		t.Errorf("got %v, want %s and at most 64 bytes of it", err, want)
	}
}
