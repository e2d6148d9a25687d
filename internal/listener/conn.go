package listener

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
)

const (
	// bodyReadTimeout limits the time for reading a body.
	bodyReadTimeout = 30 * time.Second
	// requestLineBytes is allowed for the request line in addition to the limit on the header fields.
	requestLineBytes = 1024
	// lingerTimeout limits how long input is read and discarded after the last response.
	lingerTimeout = time.Second
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
	// receiving is set from the first byte of a request until the request is in the queue.
	receiving bool
	// idleSince is when the wait for the next request began.
	idleSince time.Time
	// aborted is set when the listener has aborted the connection.
	aborted bool
	// dequeued signals that exchanges were removed from the queue.
	dequeued sync.Cond
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
	c.closing = true
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
	x, err := c.readRequest()
	if err != nil {
		c.refuse(x, err)
		return false
	}
	isLast := x.closeAfter
	return c.enqueue(x) && !isLast
}

// readRequest reads the request whose first byte has arrived.
func (c *conn) readRequest() (*exchange, error) {
	limits := c.listener.Limits()
	x := &exchange{request: &fasthttp.Request{}, response: &fasthttp.Response{}}
	if err := c.readHeader(&x.request.Header, limits.MaxHeaderBytes+requestLineBytes); err != nil {
		return x, err
	}
	if len(x.request.Header.RawHeaders()) > limits.MaxHeaderBytes {
		return x, &fasthttp.ErrSmallBuffer{}
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	if err := c.readBody(x.request, limits.MaxBodyBytes); err != nil {
		return x, err
	}
	x.concurrent = x.request.Header.IsGet() || x.request.Header.IsHead()
	x.closeAfter = x.request.ConnectionClose()
	return x, nil
}

// readHeader reads a header of at most limit bytes. The buffer grows to the limit only for a header that does not fit,
// because most connections never receive one.
func (c *conn) readHeader(header *fasthttp.RequestHeader, limit int) error {
	err := header.Read(c.reader)
	var small *fasthttp.ErrSmallBuffer
	if !errors.As(err, &small) || c.reader.Size() >= limit {
		return err
	}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.Conn)
	c.reader = bufio.NewReaderSize(rest, limit)
	return header.Read(c.reader)
}

// readBody reads a body of at most limit bytes, after an interim 100 response if the caller expects one.
func (c *conn) readBody(req *fasthttp.Request, limit int) error {
	if req.MayContinue() {
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	return req.ContinueReadBody(c.reader, limit, false)
}

// awaitRequest waits until fewer than maxPipelined requests are unanswered and the first byte of the next one has
// arrived. It returns false when no further request is to be read, and cancels the running ones when the caller has
// disconnected. Only here is a connection found to be idle, so that none is closed under a request that has arrived.
func (c *conn) awaitRequest() bool {
	for c.prepareToWait() {
		_, err := c.reader.Peek(1)
		if isTimeout(err) && forwarder.HasInput(c.Conn) {
			_ = c.SetReadDeadline(time.Now().Add(c.listener.Limits().HeaderTimeout))
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
	return c.closing || c.listener.closed.Load() || time.Since(c.idleSince) >= c.listener.Limits().IdleTimeout
}

// startReceiving notes that a request has begun to arrive. It returns false if the request is behind the last one, and
// so is not to be read.
func (c *conn) startReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.receiving = true
	_ = c.SetReadDeadline(time.Now().Add(c.listener.Limits().HeaderTimeout))
	return true
}

// setIdleDeadline sets the read deadline to the idle timeout, or to now if the listener is closed, or clears it while
// requests are unanswered. It is called with mu held.
func (c *conn) setIdleDeadline() {
	c.idleSince = time.Now()
	deadline := time.Time{}
	switch {
	case len(c.queue) > 0:
	case c.listener.closed.Load():
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
		c.cancel()
		return
	}
	c.listener.Refuse(x.response, cause)
	x.started, x.done, x.closeAfter = true, true, true
	c.enqueue(x)
	c.writeReady()
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// isDisconnect reports whether a request is incomplete because the caller closed the connection or the network failed.
// A timeout does not count, because the caller can still read why its request is refused.
func isDisconnect(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return true
	}
	var netErr net.Error
	if errors.As(err, &netErr) {
		return !isTimeout(err)
	}
	var nothingRead fasthttp.ErrNothingRead
	return errors.As(err, &nothingRead)
}

// enqueue adds the received exchange to the queue and starts those that may run. It returns false if the connection has
// failed meanwhile.
func (c *conn) enqueue(x *exchange) bool {
	c.mu.Lock()
	c.receiving = false
	if c.closing {
		c.reportUnanswered(CauseCallerGone, x.request)
		c.mu.Unlock()
		return false
	}
	c.queue = append(c.queue, x)
	startable := c.takeStartable()
	c.mu.Unlock()
	c.start(startable)
	return true
}

// takeStartable returns the exchanges that are to be started now and marks them as started: the first in the queue,
// and those behind it as long as all are GET or HEAD requests, which have no side effects. Nothing is started behind a
// first exchange that closes the connection. It is called with mu held.
func (c *conn) takeStartable() []*exchange {
	var startable []*exchange
	for i, x := range c.queue {
		if i > 0 && (!x.concurrent || !c.queue[i-1].concurrent) {
			break
		}
		if c.queue[0].closeAfter && i > 0 {
			break
		}
		if !x.started {
			x.started = true
			startable = append(startable, x)
		}
	}
	return startable
}

// start runs the handler of each exchange in its own goroutine, which then writes the responses that are ready.
func (c *conn) start(exchanges []*exchange) {
	for _, x := range exchanges {
		go func() {
			c.listener.Handle(c.ctx, x.request, x.response)
			c.mu.Lock()
			x.done = true
			c.mu.Unlock()
			c.writeReady()
		}()
	}
}

// writeReady writes the responses at the head of the queue that are done, up to one that closes the connection, and
// starts the requests that may run after that. While the listener drains, a response closes the connection unless the
// next request has been started or is being received.
func (c *conn) writeReady() {
	c.mu.Lock()
	writer := bufio.NewWriterSize(c.Conn, writeBufferBytes)
	var writeErr error
	lastWritten := false
	for len(c.queue) > 0 && c.queue[0].done && !lastWritten {
		x := c.queue[0]
		nextStarted := len(c.queue) > 1 && c.queue[1].started
		nextArrives := len(c.queue) == 1 && c.receiving
		if c.listener.draining.Load() && !nextStarted && !nextArrives {
			x.closeAfter = true
		}
		lastWritten = x.closeAfter
		writeErr = c.writeResponse(writer, x)
		if writeErr != nil {
			break
		}
		c.queue = c.queue[1:]
	}
	switch {
	case writeErr != nil:
		c.discardQueue(CauseCallerGone)
	case lastWritten:
		c.discardQueue(CauseBehindLast)
	default:
		c.resumeIdle()
	}
	startable := c.takeStartable()
	c.dequeued.Broadcast()
	if lastWritten {
		c.lingeringClose()
	}
	c.mu.Unlock()
	c.start(startable)
	if writeErr != nil {
		c.abort()
	}
}

// writeResponse writes and flushes one response.
func (c *conn) writeResponse(writer *bufio.Writer, x *exchange) error {
	if x.closeAfter {
		x.response.SetConnectionClose()
	}
	x.response.SkipBody = x.request.Header.IsHead()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := x.response.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// resumeIdle sets the idle timeout again after the last unanswered request. It is called with mu held.
func (c *conn) resumeIdle() {
	if len(c.queue) == 0 && !c.receiving {
		c.setIdleDeadline()
	}
}

// discardQueue discards the remaining requests of a connection that ends. Those that have been started run until they
// notice it. It is called with mu held.
func (c *conn) discardQueue(cause UnansweredCause) {
	c.closing = true
	// What Abort ends is reported there.
	if !c.aborted {
		c.reportQueue(cause)
	}
	c.queue = nil
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
