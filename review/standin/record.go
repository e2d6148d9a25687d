package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. It is safe for concurrent use.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// printf writes a line with the time since the start of the case.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A line that can't be written changes no verdict.
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", r.seconds(time.Now()), fmt.Sprintf(format, args...))
}

// seconds returns the time from the start of the case.
func (r *record) seconds(at time.Time) float64 {
	return at.Sub(r.started).Seconds()
}
