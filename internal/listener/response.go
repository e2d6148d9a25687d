package listener

import (
	"bufio"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
)

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
			c.listener.Handle(budgeter.WithScope(c.ctx, &x.scope), x.request, x.response)
			c.mu.Lock()
			x.done = true
			c.mu.Unlock()
			c.writeReady()
		}()
	}
}

// writeReady writes the responses at the head of the queue that are done, up to one that closes the connection, and
// starts the requests that may run after each. It returns at once if another goroutine writes, which then writes these
// responses as well.
func (c *conn) writeReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return
	}
	c.writing = true
	writer := bufio.NewWriterSize(c.sentWriter(), writeBufferBytes)
	for len(c.queue) > 0 && c.queue[0].done {
		c.writeHead(writer)
	}
	c.writing = false
	c.resumeIdle()
}

// sentWriter returns the writer to the connection, which counts if the listener counts.
func (c *conn) sentWriter() io.Writer {
	if c.listener.OnSent == nil {
		return c.Conn
	}
	return sentCounter{c}
}

// sentCounter counts the bytes that are written to a connection.
type sentCounter struct {
	conn *conn
}

// Write implements io.Writer.
func (w sentCounter) Write(data []byte) (int, error) {
	n, err := w.conn.Write(data)
	w.conn.listener.OnSent(w.conn.Conn, n)
	return n, err
}

// writeHead writes the response at the head of the queue and starts the requests that may run after it. While the
// listener drains, the response closes the connection unless the next request has been read or is being received. It is
// called with mu held, which it releases while it writes: the caller may be slow to read.
func (c *conn) writeHead(writer *bufio.Writer) {
	x := c.queue[0]
	if c.listener.draining.Load() && len(c.queue) == 1 && !c.receiving {
		x.closeAfter = true
	}
	if x.closeAfter {
		c.closing = true
		x.response.SetConnectionClose()
	}
	x.response.SkipBody = x.request.Header.IsHead()
	c.mu.Unlock()
	err := c.writeResponse(writer, x.response)
	x.scope.Close()
	c.mu.Lock()
	defer c.dequeued.Broadcast()
	if err != nil {
		c.discardQueue(CauseCallerGone)
		c.abort()
		return
	}
	// The array behind the queue would keep the request and its body until the connection gets another one.
	c.queue[0] = nil
	c.queue = c.queue[1:]
	if x.closeAfter {
		c.discardQueue(CauseBehindLast)
		c.lingeringClose()
		return
	}
	c.start(c.takeStartable())
}

// writeResponse writes and flushes one response.
func (c *conn) writeResponse(writer *bufio.Writer, resp *fasthttp.Response) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := resp.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// discardQueue discards the remaining requests of a connection that ends. Those that have been started run until they
// notice it. It is called with mu held.
func (c *conn) discardQueue(cause UnansweredCause) {
	c.closing = true
	// What Abort ends is reported there.
	if !c.aborted {
		c.reportQueue(cause)
	}
	for _, x := range c.queue {
		x.scope.Close()
	}
	c.queue = nil
}
