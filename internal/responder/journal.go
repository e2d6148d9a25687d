package responder

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
)

// Journal counts the executions of each request by its id. It is safe for concurrent use.
type Journal struct {
	mu     sync.Mutex
	counts map[string]int
	out    io.Writer
}

// NewJournal returns an empty journal. If out is not nil, a line with the request id is written to it before each
// execution starts.
func NewJournal(out io.Writer) *Journal {
	return &Journal{counts: make(map[string]int), out: out}
}

// recordStart records one execution of the request. The error is that of writing to out.
func (j *Journal) recordStart(id string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[id]++
	if j.out == nil {
		return nil
	}
	_, err := fmt.Fprintln(j.out, id)
	return err
}

// Count returns how many times the request was executed.
func (j *Journal) Count(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts[id]
}

// ReadJournal returns the number of executions of each request id in a file that a Journal has written.
func ReadJournal(path string) (map[string]int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	counts := make(map[string]int)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		counts[strings.TrimSpace(scanner.Text())]++
	}
	return counts, scanner.Err()
}
