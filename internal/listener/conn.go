package listener

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
)

const (
	// bodyReadTimeout limits the time for reading a body.
	bodyReadTimeout = 30 * time.Second
	// requestLineBytes is allowed for the request line in addition to the limit on the header fields.
	requestLineBytes = 1024
	// lingerTimeout limits how long input is read and discarded after the last response.
	lingerTimeout = time.Second
	// maxDrainReads limits the requests read on a connection while the listener drains, for callers that always have
	// another one on its way.
	maxDrainReads = maxPipelined
	// maxPipelined limits the unanswered requests of a connection. At the limit no further request is read.
	maxPipelined     = 32
	readBufferBytes  = 2048
	writeBufferBytes = 4096
	// writeTimeout limits the time for writing one response.
	writeTimeout = 10 * time.Second
)

// conn is one connection. One goroutine reads the requests. Each request runs in its own goroutine, and these write the
// responses in the order of the requests.
type conn struct {
	net.Conn
	listener *Listener
	reader   *bufio.Reader

	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// closing is set when no further request is to be read.
	closing bool
	// lingering is set when the last response has been written.
	lingering bool
	// queue holds the unanswered exchanges, in the order of their requests.
	queue []*exchange
	// receiving is set from the first byte of a request, once it is read, until the request is in the queue.
	receiving bool
	// idleSince is when the wait for the next request began.
	idleSince time.Time
	// receivingSince is when the first byte of the request that is being received was read.
	receivingSince time.Time
	// givenUp is set when the connection is to be closed because others need its place.
	givenUp bool
	// aborted is set when the listener has aborted the connection.
	aborted bool
	// writing is set while a goroutine writes responses. It releases mu for each.
	writing bool
	// dequeued signals that exchanges were removed from the queue.
	dequeued sync.Cond
	// drainReads is the number of requests read since the listener began to drain. Only the reading goroutine uses it.
	drainReads int
}

// exchange is a request with its response.
type exchange struct {
	request  *fasthttp.Request
	response *fasthttp.Response
	// started is set when the handler of the request has been started.
	started bool
	// done is set when the response can be written.
	done bool
	// closeAfter is set when the connection is closed after the response.
	closeAfter bool
	// scope holds the memory of the responses that the handler receives for the request, until its own response is written.
	scope budgeter.Scope
	// concurrent is set when the request may run at the same time as those before it: for GET and HEAD.
	concurrent bool
}

func newConn(l *Listener, raw net.Conn) *conn {
	c := &conn{Conn: raw, listener: l}
	c.dequeued.L = &c.mu
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.reader = bufio.NewReaderSize(raw, readBufferBytes)
	return c
}

// serve reads requests until the last one, and then closes the connection when they are answered.
func (c *conn) serve() {
	defer c.cancel()
	for c.readNext() {
	}
	c.mu.Lock()
	c.closing, c.receiving = true, false
	idle := len(c.queue) == 0 && !c.lingering
	if len(c.queue) > 0 {
		_ = c.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	if !idle {
		c.awaitClose()
	}
	_ = c.Close()
}

// awaitClose discards input up to the end of the stream while the remaining requests are processed. It cancels those
// that are unanswered when the stream ends, and waits until the queue is empty.
func (c *conn) awaitClose() {
	// The copy ends when the caller closes the connection, or at the deadline that lingeringClose sets.
	discarded, _ := io.Copy(io.Discard, c.reader)
	c.mu.Lock()
	defer c.mu.Unlock()
	if discarded > 0 && !c.aborted {
		c.reportUnanswered(CauseBehindLast, nil)
	}
	if len(c.queue) > 0 {
		c.cancel()
	}
	for len(c.queue) > 0 {
		c.dequeued.Wait()
	}
}

// readNext reads one request and queues it. It returns false when no further request is to be read.
func (c *conn) readNext() bool {
	if !c.awaitRequest() {
		return false
	}
	held := c.holdBehind()
	x, err := c.readRequest()
	if held != nil {
		held.Resize(x.bytesBehind())
		x.scope.Add(held)
	}
	if err != nil {
		c.refuse(x, err)
		return false
	}
	isLast := x.closeAfter
	return c.enqueue(x) && !isLast
}

// awaitRequest waits until fewer than maxPipelined requests are unanswered and the first byte of the next one has
// arrived. It returns false when no further request is to be read, and cancels the running ones when the caller has
// disconnected. Only here is a connection found to be idle, so that none is closed under a request that has arrived.
func (c *conn) awaitRequest() bool {
	for c.prepareToWait() {
		_, err := c.reader.Peek(1)
		if isTimeout(err) && forwarder.HasInput(c.Conn) && c.startReceiving() {
			_, err = c.reader.Peek(1)
		}
		switch {
		case err == nil:
			return c.startReceiving()
		case !isTimeout(err):
			c.cancel()
			return false
		case c.isExpired():
			return false
		}
	}
	return false
}

// prepareToWait waits until fewer than maxPipelined requests are unanswered and sets the deadline for the first byte of
// the next request. It returns false when the connection is closing.
func (c *conn) prepareToWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= maxPipelined {
		c.dequeued.Wait()
	}
	if c.closing {
		return false
	}
	c.setIdleDeadline()
	return true
}

// isExpired reports whether a connection without input has been idle for the idle timeout, which may have been changed
// meanwhile, or is to be closed anyway.
func (c *conn) isExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.givenUp || c.listener.closed.Load() || time.Since(c.idleSince) >= c.listener.Limits().IdleTimeout
}

// startReceiving notes that a request has begun to arrive. It returns false if the request is behind the last one, and
// so is not to be read.
func (c *conn) startReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.receiving, c.receivingSince = true, time.Now()
	_ = c.SetReadDeadline(time.Now().Add(c.listener.Limits().HeaderTimeout))
	return true
}

// setIdleDeadline sets the read deadline to the idle timeout, or to now if the connection is given up or the listener is
// closed, or clears it while requests are unanswered. It is called with mu held.
func (c *conn) setIdleDeadline() {
	c.idleSince = time.Now()
	deadline := time.Time{}
	switch {
	case len(c.queue) > 0:
	case c.givenUp || c.listener.closed.Load():
		deadline = c.idleSince
	default:
		deadline = c.idleSince.Add(c.listener.Limits().IdleTimeout)
	}
	_ = c.SetReadDeadline(deadline)
}

// wakeIdle interrupts the wait for the next request if no request is unanswered or being received.
func (c *conn) wakeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.receiving && !c.closing {
		_ = c.SetReadDeadline(time.Now())
	}
}

// refuse queues the response to a request that can't be read as the last one of the connection. If the caller has
// disconnected, it cancels the running requests instead.
func (c *conn) refuse(x *exchange, cause error) {
	if isDisconnect(cause) {
		c.mu.Lock()
		c.receiving = false
		c.mu.Unlock()
		x.scope.Close()
		c.cancel()
		return
	}
	c.listener.Refuse(x.response, cause)
	x.started, x.done, x.closeAfter = true, true, true
	c.enqueue(x)
	c.writeReady()
}

// enqueue adds the received exchange to the queue and starts those that may run. It returns false if the connection has
// failed meanwhile.
func (c *conn) enqueue(x *exchange) bool {
	c.mu.Lock()
	c.receiving = !x.closeAfter && c.reader.Buffered() > 0
	if c.closing {
		c.receiving = false
		c.reportUnanswered(CauseCallerGone, x.request)
		c.mu.Unlock()
		x.scope.Close()
		return false
	}
	c.queue = append(c.queue, x)
	startable := c.takeStartable()
	c.mu.Unlock()
	c.start(startable)
	return true
}

// resumeIdle sets the idle timeout again after the last unanswered request, unless the connection is closing: the deadline
// is then that of lingeringClose. It is called with mu held.
func (c *conn) resumeIdle() {
	if len(c.queue) == 0 && !c.receiving && !c.closing {
		c.setIdleDeadline()
	}
}

// lingeringClose closes the connection for writing after the last response. Further input is read for lingerTimeout,
// because closing a connection with unread input would reset it before the caller has read the response. It closes the
// connection at once if it can't be half-closed. It is called with mu held.
func (c *conn) lingeringClose() {
	c.lingering = true
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// abort closes the connection and cancels its requests.
func (c *conn) abort() {
	c.cancel()
	_ = c.Close()
}

// inFlight returns the number of requests that are unanswered or being received.
func (c *conn) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := len(c.queue)
	if c.receiving {
		count++
	}
	return count
}
