// Package listener is an HTTP/1.1 server. Beyond what the HTTP library's server does, it detects at once that a caller
// has closed its connection, runs pipelined GET and HEAD requests concurrently while keeping their responses in order,
// and closes open connections without losing a request when it shuts down.
package listener

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
)

// Limits are the limits on the size of a caller's requests and on the time that they take.
type Limits struct {
	HeaderTimeout  time.Duration // From the first byte of a request to the end of its header.
	IdleTimeout    time.Duration // Of a connection without requests.
	MaxBodyBytes   int
	MaxHeaderBytes int // Without the request line.
}

// Handler processes req and fills in resp. The context is cancelled when the caller closes the connection
// or the connection is aborted.
type Handler func(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response)

// Config holds the callbacks of a Listener.
type Config struct {
	// Handle processes the requests. It is called concurrently.
	Handle Handler
	// Class is what the requests belong to in Memory.
	Class budgeter.Class
	// Limits returns the current limits.
	Limits func() Limits
	// MaxConns limits the open connections; zero for no limit. At the limit, further connections replace others that are idle
	// or whose request has not arrived.
	MaxConns int
	// Memory limits the bodies of requests; nil for no limit.
	Memory *budgeter.Memory
	// OnConnGivenUp, if not nil, is called for each connection that is closed because of MaxConns. It must not block.
	OnConnGivenUp func()
	// OnSent, if not nil, is called with the bytes of each write to a connection. It must not block.
	OnSent func(conn net.Conn, bytes int)
	// OnUnanswered, if not nil, is called for each request that ends without a whole response. It must not block. The
	// request is nil if it was not read in full.
	OnUnanswered func(cause UnansweredCause, req *fasthttp.Request)
	// Refuse fills in the response to a request that can't be read because of cause.
	Refuse func(resp *fasthttp.Response, cause error)
}

// Listener serves the connections that one net.Listener accepts. It is safe for concurrent use.
type Listener struct {
	Config

	closed   atomic.Bool
	draining atomic.Bool

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
	serving  sync.WaitGroup
}

// New returns a listener that does not accept connections until Serve is called.
func New(config Config) *Listener {
	if config.Memory == nil {
		config.Memory = budgeter.NewMemory(math.MaxInt)
	}
	return &Listener{Config: config, conns: make(map[*conn]struct{})}
}

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// Serve accepts and serves connections until Close, StartShutdown or Abort is called. It does not wait for open
// connections.
func (l *Listener) Serve(listener net.Listener) {
	if !l.open(listener) {
		_ = listener.Close()
		return
	}
	defer l.serving.Done()
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The likely cause is too many open files, which passes as files are closed.
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !l.makeRoom() {
			_ = raw.Close()
			continue
		}
		c := newConn(l, raw)
		l.add(c)
		l.serving.Go(func() {
			c.serve()
			l.remove(c)
		})
	}
}

// open makes listener the one to close later. It returns false if the Listener has been closed already.
func (l *Listener) open(listener net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed.Load() {
		return false
	}
	l.listener = listener
	l.serving.Add(1)
	return true
}

func (l *Listener) add(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Drain makes each further response close its connection, unless the next pipelined request has begun to arrive. New
// connections are still accepted and served.
func (l *Listener) Drain() {
	l.draining.Store(true)
}

// InFlight returns the number of requests that have begun to arrive and whose responses are not yet written.
func (l *Listener) InFlight() int {
	count := 0
	for _, c := range l.openConns() {
		count += c.inFlight()
	}
	return count
}

func (l *Listener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// answerGrace is how long the handlers whose requests are cancelled at the end of Close can take to answer them.
const answerGrace = 100 * time.Millisecond

// Close stops accepting connections, closes idle ones, and waits until the requests on the others are answered. When
// ctx is done, it cancels the remaining requests, and after answerGrace it aborts the connections that are still open.
func (l *Listener) Close(ctx context.Context) {
	l.StartShutdown()
	done := make(chan struct{})
	go func() {
		l.serving.Wait()
		close(done)
	}()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	for _, c := range l.openConns() {
		c.cancel()
	}
	select {
	case <-done:
	case <-time.After(answerGrace):
		l.Abort()
	}
}

// StartShutdown stops accepting connections and closes those on which no request arrives, without waiting. The others
// are closed as by Drain.
func (l *Listener) StartShutdown() {
	l.Drain()
	l.stopAccepting()
	for _, c := range l.openConns() {
		c.wakeIdle()
	}
}

// Abort stops accepting connections and closes all open ones, which cancels their requests.
func (l *Listener) Abort() {
	l.stopAccepting()
	for _, c := range l.openConns() {
		c.markAborted()
		c.abort()
	}
}

// stopAccepting closes the net.Listener.
func (l *Listener) stopAccepting() {
	l.mu.Lock()
	l.closed.Store(true)
	listener := l.listener
	l.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
}
