package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ringLines is the number of lines that wait for a slow reader.
	ringLines = 2048
	// lossInterval is the least time between two lines that tell of lost ones.
	lossInterval = time.Second
)

// Ring passes lines on to a writer without ever waiting for it. Lines that find the ring full are lost
// and counted.
type Ring struct {
	done  chan struct{}
	lines chan []byte
	lost  atomic.Uint64
	once  sync.Once
	to    io.Writer
}

// NewRing returns a ring that writes to the given writer in a goroutine of its own until Close.
func NewRing(to io.Writer) *Ring {
	r := &Ring{done: make(chan struct{}), lines: make(chan []byte, ringLines), to: to}
	go r.run()
	return r
}

// Write implements io.Writer. It takes one line and never fails.
func (r *Ring) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case r.lines <- copied:
	default:
		r.lost.Add(1)
		lostLines.Add(1)
	}
	return len(line), nil
}

// lostLines counts the lines that all rings of the process have lost.
var lostLines atomic.Uint64

// LostLines returns how many lines the process has lost.
func LostLines() uint64 {
	return lostLines.Load()
}

// Lost returns the number of lost lines.
func (r *Ring) Lost() uint64 {
	return r.lost.Load()
}

// Close writes what is in the ring and ends it. Nothing may be written after it.
func (r *Ring) Close() {
	r.once.Do(func() { close(r.lines) })
	<-r.done
}

func (r *Ring) run() {
	defer close(r.done)
	var told uint64
	var toldAt time.Time
	for line := range r.lines {
		// A line that can't be written has nowhere to be told of.
		_, _ = r.to.Write(line)
		lost := r.lost.Load()
		if lost == told || time.Since(toldAt) < lossInterval {
			continue
		}
		_, _ = fmt.Fprintf(r.to, "level=warn msg=\"log: Lines were lost.\" lines=%d\n", lost-told)
		told, toldAt = lost, time.Now()
	}
}
