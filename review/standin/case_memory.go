package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memoryRounds = 3
	// memoryLimit is the limit on the memory of a process on a sidecar machine.
	memoryLimit    = 284 << 20
	uploadsAtOnce  = 4
	uploadBytes    = 60 << 20
	pieceBytes     = 64 << 10
	uploadTimeout  = 8 * time.Second
	memoryInterval = 20 * time.Millisecond
)

// playMemory lets a few consumers upload bodies at once that are below the limit on bodies. As on the platform, a process
// that uses more memory than its machine grants is killed and started again.
func playMemory(s *scene) (broken int, err error) {
	ends := make(map[string]int)
	for range memoryRounds {
		for _, m := range s.sidecar {
			ended, err := s.uploadAtOnce(m)
			if err != nil {
				return 0, err
			}
			if ended {
				ends[m.Name]++
			}
		}
	}
	for name, count := range ends {
		s.record.printf("the node of %s has used too much memory %d times", name, count)
		if count == memoryRounds {
			broken++
		}
	}
	if broken < 2 {
		return 0, nil
	}
	return broken, nil
}

// uploadAtOnce uploads bodies at one machine and reports whether its node was killed for its memory.
func (s *scene) uploadAtOnce(m *machine) (ended bool, err error) {
	size := 1 << 10
	if s.trouble {
		size = uploadBytes
	}
	done := make(chan struct{})
	var uploads sync.WaitGroup
	for i := range uploadsAtOnce {
		uploads.Go(func() { s.upload(m, i, size) })
	}
	go func() {
		uploads.Wait()
		close(done)
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(memoryInterval):
		}
		used, err := residentBytes(m.node.Process.Pid)
		if err != nil {
			return false, err
		}
		if used > memoryLimit {
			ended = true
			s.record.printf("the node of %s uses %d MB of %d", m.Name, used>>20, memoryLimit>>20)
			if err := s.restartNodes(margin, m); err != nil {
				return true, err
			}
			break
		}
	}
	<-done
	time.Sleep(settleTime)
	return ended, nil
}

// upload sends a request with a body in chunks.
func (s *scene) upload(m *machine, number, size int) {
	conn, err := dial(m.Outbound)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(uploadTimeout))
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	head := fmt.Sprintf("POST /entries-write/%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
		number, host, wire.RequestID, id, wire.Timeout, uploadTimeout.Milliseconds())
	_, err = io.WriteString(conn, head)
	for sent := 0; sent < size && err == nil; {
		piece := min(pieceBytes, size-sent)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", piece, strings.Repeat("x", piece))
		sent += piece
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	answer := make([]byte, len("HTTP/1.1 200"))
	if err == nil {
		_, err = io.ReadFull(conn, answer)
	}
	s.record.printf("%s POST of %d bytes at %s: %q %v", id, size, m.Name, answer, err)
}

var errNoMemory = errors.New("the memory of a process can't be read")

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kilobytes << 10, err
		}
	}
	return 0, errNoMemory
}
