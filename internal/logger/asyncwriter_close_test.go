package logger

import (
	"io"
	"sync"
	"testing"
)

// TestWriteAfterClose guards against a panic at the end of a process, when goroutines still log after the writer is
// closed. Their lines are lost and counted.
func TestWriteAfterClose(t *testing.T) {
	w := NewAsyncWriter(io.Discard)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 100 {
				_, _ = w.Write([]byte("line\n"))
			}
		})
	}
	w.Close()
	writers.Wait()
	lost := w.Lost()
	if n, err := w.Write([]byte("late\n")); n != len("late\n") || err != nil {
		t.Errorf("wrote %d bytes with error %v", n, err)
	}
	if got := w.Lost(); got != lost+1 {
		t.Errorf("%d lines lost, want %d", got, lost+1)
	}
}
