package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that can wait for a slow reader.
	queueLines = 2048
	// lossReportInterval is the shortest time between two lines that report lost ones.
	lossReportInterval = time.Second
)

// AsyncWriter passes lines on to another writer without ever waiting for it. Lines that arrive while the queue
// is full are lost and counted. Write is safe for concurrent use.
type AsyncWriter struct {
	done  chan struct{}
	lines chan []byte
	lost  atomic.Uint64
	to    io.Writer

	// mu keeps Close from closing lines during a Write.
	mu     sync.RWMutex
	closed bool
}

// NewAsyncWriter returns a writer that writes to the given one in its own goroutine until Close.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	w := &AsyncWriter{done: make(chan struct{}), lines: make(chan []byte, queueLines), to: to}
	go w.run()
	return w
}

// Write implements io.Writer. It queues one line and never fails. A line that is written after Close is lost.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.queue(append([]byte(nil), line...)) {
		w.lost.Add(1)
		lostLines.Add(1)
	}
	return len(line), nil
}

// queue queues the line. It reports false if the queue is full or the writer is closed.
func (w *AsyncWriter) queue(line []byte) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return false
	}
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// lostLines counts the lines that all async writers of the process have lost.
var lostLines atomic.Uint64

// LostLines returns the number of lines that all async writers of the process have lost.
func LostLines() uint64 {
	return lostLines.Load()
}

// Lost returns the number of lines that this writer has lost.
func (w *AsyncWriter) Lost() uint64 {
	return w.lost.Load()
}

// Close writes the queued lines and stops the writer.
func (w *AsyncWriter) Close() {
	w.stop()
	<-w.done
}

func (w *AsyncWriter) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	var reported uint64
	var reportedAt time.Time
	for line := range w.lines {
		// There is no place to report a line that can't be written.
		_, _ = w.to.Write(line)
		lost := w.lost.Load()
		if lost == reported || time.Since(reportedAt) < lossReportInterval {
			continue
		}
		_, _ = fmt.Fprintf(w.to, "level=warn msg=\"log: Lines were lost.\" lines=%d\n", lost-reported)
		reported, reportedAt = lost, time.Now()
	}
}
