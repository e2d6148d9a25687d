package logger

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	mu       sync.Mutex
	released chan struct{}
	written  bytes.Buffer
}

// Write implements io.Writer.
func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// TestRingNeverWaits floods a ring whose reader has stopped. The writers go on, and what was lost is
// told when the reader is back.
func TestRingNeverWaits(t *testing.T) {
	const lines = 10 * ringLines
	w := &stuckWriter{released: make(chan struct{})}
	ring := NewRing(w)
	for range lines {
		if _, err := ring.Write([]byte("a line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if lost := ring.Lost(); lost < lines-ringLines-1 {
		t.Errorf("%d of %d lines are lost", lost, lines)
	}
	close(w.released)
	ring.Close()
	text := w.written.String()
	if !strings.Contains(text, "Lines were lost.") || strings.Count(text, "a line\n") < ringLines {
		t.Errorf("%d lines were written, the loss was told: %t", strings.Count(text, "a line\n"), strings.Contains(text, "Lines were lost."))
	}
}
