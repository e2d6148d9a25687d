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
	// reading is set while a request is being received.
	reading bool
	// aborted is set when the listener has aborted the connection, and closedAsIdle when it has closed it as idle.
	aborted      bool
	closedAsIdle bool
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
	if len(c.queue) == 0 {
		c.lingeringClose()
	} else if !c.lingering {
		_ = c.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	c.awaitClose()
}

// awaitClose discards input up to the end of the stream while the remaining requests are processed. It cancels those
// that are unanswered when the stream ends, waits until the queue is empty, and closes the connection.
func (c *conn) awaitClose() {
	// The copy ends when the caller closes the connection, or at the deadline that lingeringClose sets.
	discarded, _ := io.Copy(io.Discard, c.reader)
	c.mu.Lock()
	if discarded > 0 && !c.aborted {
		c.reportUnanswered(c.discardCause(), nil)
	}
	if len(c.queue) > 0 {
		c.cancel()
	}
	for len(c.queue) > 0 {
		c.dequeued.Wait()
	}
	c.mu.Unlock()
	_ = c.Close()
}

// readNext reads one request and queues it. It returns false when no further request is to be read.
func (c *conn) readNext() bool {
	if !c.awaitRequest() {
		return false
	}
	limits := c.listener.Limits()
	x := &exchange{request: &fasthttp.Request{}, response: &fasthttp.Response{}}
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	err := c.readHeader(&x.request.Header, limits.MaxHeaderBytes+requestLineBytes)
	if err == nil && len(x.request.Header.RawHeaders()) > limits.MaxHeaderBytes {
		err = &fasthttp.ErrSmallBuffer{}
	}
	if err == nil {
		_ = c.SetReadDeadline(time.Now().Add(bodyReadTimeout))
		err = c.readBody(x.request, limits.MaxBodyBytes)
	}
	c.mu.Lock()
	c.reading = false
	c.mu.Unlock()
	if err != nil {
		return c.refuse(x, err)
	}
	x.concurrent = x.request.Header.IsGet() || x.request.Header.IsHead()
	x.closeAfter = x.request.ConnectionClose()
	closeAfter := x.closeAfter
	c.enqueue(x)
	return !closeAfter
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
// arrived. It returns false when the connection is closing, and cancels the running requests when it can't be read.
func (c *conn) awaitRequest() bool {
	c.mu.Lock()
	for len(c.queue) >= maxPipelined {
		c.dequeued.Wait()
	}
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.setIdleDeadline()
	c.mu.Unlock()
	if _, err := c.reader.Peek(1); err != nil {
		c.cancel()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	return !c.closing
}

// discardCause returns the cause for input that is discarded. It is called with mu held.
func (c *conn) discardCause() UnansweredCause {
	if c.lingering && !c.closedAsIdle {
		return CauseBehindLast
	}
	return c.endCause()
}

// setIdleDeadline sets the read deadline to the idle timeout, or clears it while requests are unanswered. It is called
// with mu held.
func (c *conn) setIdleDeadline() {
	deadline := time.Time{}
	if len(c.queue) == 0 {
		deadline = time.Now().Add(c.listener.Limits().IdleTimeout)
	}
	_ = c.SetReadDeadline(deadline)
}

// refuse queues the response to a request that can't be read as the last one of the connection. If the caller has
// disconnected, it cancels the running requests instead. It always returns false.
func (c *conn) refuse(x *exchange, cause error) bool {
	if isDisconnect(cause) {
		c.cancel()
		return false
	}
	c.listener.Refuse(x.response, cause)
	x.started, x.done, x.closeAfter = true, true, true
	c.mu.Lock()
	c.queue = append(c.queue, x)
	c.mu.Unlock()
	c.writeReady()
	return false
}

// isDisconnect reports whether a request is incomplete because the caller closed the connection or the network failed.
// A timeout does not count, because the caller can still read why its request is refused.
func isDisconnect(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return true
	}
	var netErr net.Error
	if errors.As(err, &netErr) {
		return !netErr.Timeout()
	}
	var nothingRead fasthttp.ErrNothingRead
	return errors.As(err, &nothingRead)
}

// enqueue adds the exchange to the queue and starts those that may run.
func (c *conn) enqueue(x *exchange) {
	c.mu.Lock()
	c.queue = append(c.queue, x)
	startable := c.takeStartable()
	c.mu.Unlock()
	c.start(startable)
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
// next request has been started.
func (c *conn) writeReady() {
	c.mu.Lock()
	writer := bufio.NewWriterSize(c.Conn, writeBufferBytes)
	var writeErr error
	lastWritten := false
	for len(c.queue) > 0 && c.queue[0].done && !lastWritten {
		x := c.queue[0]
		nextStarted := len(c.queue) > 1 && c.queue[1].started
		if c.listener.draining.Load() && !nextStarted {
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
		c.discardQueue(c.endCause())
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
	if len(c.queue) == 0 && !c.reading {
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
// connection at once if it can't be half-closed or the listener is closed. It is called with mu held.
func (c *conn) lingeringClose() {
	c.lingering = true
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil || c.listener.closed.Load() {
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

// closeIdle closes the connection if no request is unanswered or being received.
func (c *conn) closeIdle() {
	c.mu.Lock()
	idle := len(c.queue) == 0 && !c.reading
	if idle && !c.closing {
		c.closing = true
		c.closedAsIdle = true
		if forwarder.HasInput(c.Conn) {
			c.reportUnanswered(CauseUnread, nil)
		}
	}
	c.mu.Unlock()
	if idle {
		c.abort()
	}
}

func (c *conn) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}
