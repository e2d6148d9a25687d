package logger

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter blocks all writes until released is closed.
type blockedWriter struct {
	mu       sync.Mutex
	released chan struct{}
	written  bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// TestAsyncWriterNeverBlocks writes more lines than the queue holds while the underlying writer is blocked. Write
// must not block, and the loss must be reported when the underlying writer continues.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	const lines = 10 * queueLines
	blocked := &blockedWriter{released: make(chan struct{})}
	writer := NewAsyncWriter(blocked)
	for range lines {
		if _, err := writer.Write([]byte("a line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if lost := writer.Lost(); lost < lines-queueLines-1 {
		t.Errorf("%d of %d lines are lost", lost, lines)
	}
	close(blocked.released)
	writer.Close()
	text := blocked.written.String()
	if !strings.Contains(text, "Lines were lost.") || strings.Count(text, "a line\n") < queueLines {
		t.Errorf("%d lines were written, the loss was reported: %t", strings.Count(text, "a line\n"), strings.Contains(text, "Lines were lost."))
	}
}
