// Package listener serves HTTP/1.1 connections. Beside what the HTTP library's server does, it notices
// at once that a caller has closed its connection, answers pipelined requests that were worked on side
// by side in their order, and leaves open connections in a way that loses no request.
package listener

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxBodyBytes   int
	MaxHeaderBytes int
}

// Handler answers req in resp. Its context is done when the caller has closed the connection.
type Handler func(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response)

// Config holds the dependencies of a Listener.
type Config struct {
	Handle Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// Refuse writes the answer to a request that can't be read.
	Refuse func(resp *fasthttp.Response, cause error)
}

// Listener serves the connections of one address. It is safe for concurrent use.
type Listener struct {
	Config

	closed   atomic.Bool
	draining atomic.Bool

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
	serving  sync.WaitGroup
}

// New returns a listener. Serve accepts its connections.
func New(config Config) *Listener {
	return &Listener{Config: config, conns: make(map[*conn]struct{})}
}

const acceptPause = 10 * time.Millisecond

// Serve accepts connections until Close or Abort.
func (l *Listener) Serve(listener net.Listener) {
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || l.closed.Load() {
			return
		}
		if err != nil {
			// Too many open files, most likely: some will be closed.
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(l, raw)
		if !l.add(c) {
			_ = raw.Close()
			return
		}
		l.serving.Go(func() {
			c.serve()
			l.remove(c)
		})
	}
}

func (l *Listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed.Load() {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Drain has every further answer close its connection. New connections are still served.
func (l *Listener) Drain() {
	l.draining.Store(true)
}

// InFlight returns the number of requests that are worked on.
func (l *Listener) InFlight() int {
	count := 0
	for _, c := range l.open() {
		count += c.inFlight()
	}
	return count
}

func (l *Listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	return open
}

// Close stops accepting, closes idle connections, and lets the others finish until ctx is done.
func (l *Listener) Close(ctx context.Context) {
	l.Shut()
	done := make(chan struct{})
	go func() {
		l.serving.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		l.Abort()
	}
}

// Shut stops accepting and closes idle connections. The others end with their next answer.
func (l *Listener) Shut() {
	l.Drain()
	l.shut()
	for _, c := range l.open() {
		c.closeIdle()
	}
}

// Abort cuts every connection.
func (l *Listener) Abort() {
	l.shut()
	for _, c := range l.open() {
		c.cut()
	}
}

func (l *Listener) shut() {
	l.closed.Store(true)
	l.mu.Lock()
	listener := l.listener
	l.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
}
