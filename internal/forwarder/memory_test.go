package forwarder

import (
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/wiretester"
)

const (
	memoryLimit = 16 << 20
	// memoryMaxBody is the limit on one body; stalledBytes is how much of it the server sends before it stalls.
	memoryMaxBody = 4 << 20
	stalledBytes  = 3 << 20
	// stalledTimeout is how long a caller waits for the rest.
	stalledTimeout = 1500 * time.Millisecond
	// memoryOverhead is what a caller may need besides the bodies: connections, buffers and small bodies.
	memoryOverhead = 64 << 10
	// garbageFactor allows for the collector, which lets the heap grow to twice of what is in use before it runs.
	garbageFactor = 2
)

// serveStalled sends the beginning of a body in each of the ways in which a body can be framed, and then nothing until the
// caller closes the connection.
func serveStalled(t *testing.T, framing string) *Pool {
	t.Helper()
	beginning := []byte("HTTP/1.1 200 OK\r\n" + framing + strings.Repeat("x", stalledBytes))
	address := wiretester.ServeConns(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		buffer := make([]byte, bufferBytes)
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		if _, err := conn.Write(beginning); err == nil {
			_, _ = conn.Read(buffer)
		}
	})
	return New(address, timekeeper.System{}, WithMaxBody(memoryMaxBody), AcceptNoLength())
}

// peakHeap samples the heap until done is closed, and returns its peak above the beginning, in bytes.
func peakHeap(done <-chan struct{}) <-chan int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	base := int64(stats.HeapAlloc)
	peak := make(chan int64, 1)
	go func() {
		highest := int64(0)
		for {
			select {
			case <-done:
				peak <- highest
				return
			case <-time.After(5 * time.Millisecond):
				runtime.ReadMemStats(&stats)
				highest = max(highest, int64(stats.HeapAlloc)-base)
			}
		}
	}()
	return peak
}

// TestEndlessBodiesOfManyCallers guards against a process that runs out of memory because upstreams send bodies that never end:
// what their bodies occupy must not grow with the number of callers, and small requests beside them must all succeed.
func TestEndlessBodiesOfManyCallers(t *testing.T) {
	framings := map[string]string{
		"length":    fmt.Sprintf("Content-Length: %d\r\n\r\n", memoryMaxBody),
		"chunked":   "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
		"no length": "Connection: close\r\n\r\n",
	}
	for name, framing := range framings {
		for _, callers := range []int{4, 40, 400} {
			t.Run(fmt.Sprintf("%s, %d callers", name, callers), func(t *testing.T) {
				memory := budgeter.NewMemory(memoryLimit)
				stalled := serveStalled(t, framing)
				stalled.memory = memory
				smallAddress, _ := serveRaw(t, ordinaryResponse, func(net.Conn) {})
				small := New(smallAddress, timekeeper.System{}, WithMemory(memory))
				done := make(chan struct{})
				peak := peakHeap(done)
				var waiting sync.WaitGroup
				var givenUp atomic.Int64
				for range callers {
					waiting.Go(func() {
						_, err := doRequest(stalled, stalledTimeout)
						switch {
						case errors.Is(err, ErrNoMemory):
							givenUp.Add(1)
						case !errors.Is(err, ErrTimeout) && !errors.Is(err, ErrNotSent):
							t.Errorf("got %v", err)
						}
					})
				}
				waiting.Go(func() {
					for range 100 {
						if _, err := doRequest(small, 30*time.Second); err != nil {
							t.Errorf("a small request: %v", err)
						}
						time.Sleep(5 * time.Millisecond)
					}
				})
				waiting.Wait()
				close(done)
				highest, allowed := <-peak, int64(garbageFactor*(memoryLimit+callers*memoryOverhead))
				t.Logf("heap %d kB, %d given up", highest>>10, givenUp.Load())
				if highest > allowed {
					t.Errorf("the heap grew by %d bytes, want at most %d", highest, allowed)
				}
				if used := memory.Used(); used != 0 {
					t.Errorf("%d bytes are still counted", used)
				}
			})
		}
	}
}
