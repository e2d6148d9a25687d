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
)

const (
	// bodyTime bounds how long a caller takes to send a body.
	bodyTime = 30 * time.Second
	// headerRoom is for the request line beside the header fields.
	headerRoom   = 1024
	lingerTime   = time.Second
	maxPipelined = 32
	readBuffer   = 2048
	writeBuffer  = 4096
	writeTime    = 10 * time.Second
)

// conn is one connection. One goroutine reads it; the requests' goroutines write the answers in order.
type conn struct {
	net.Conn
	listener *Listener
	reader   *bufio.Reader

	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// closing is true when no further request is to be begun.
	closing bool
	// finishing is true when the last answer is written.
	finishing bool
	// queue holds the exchanges that are not answered yet, in order.
	queue []*exchange
	// reading is true while a request has begun to come in.
	reading bool
	room    sync.Cond
}

// exchange is a request with its answer.
type exchange struct {
	request  *fasthttp.Request
	response *fasthttp.Response
	// begun is true when the request is worked on.
	begun bool
	// done is true when the answer can be written.
	done bool
	// last is true when the connection ends with the answer.
	last bool
	// parallel is true when the request may run beside those before it.
	parallel bool
}

func newConn(l *Listener, raw net.Conn) *conn {
	c := &conn{Conn: raw, listener: l}
	c.room.L = &c.mu
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.reader = bufio.NewReaderSize(raw, readBuffer)
	return c
}

func (c *conn) serve() {
	defer c.cancel()
	for c.readNext() {
	}
	c.mu.Lock()
	c.closing = true
	if len(c.queue) == 0 {
		c.finish()
	} else if !c.finishing {
		_ = c.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	c.awaitEnd()
}

// awaitEnd reads to the end of the stream while the last answers are made. It cancels what is still
// worked on when the caller has gone, and returns when nothing is.
func (c *conn) awaitEnd() {
	// The stream ends with the caller's close or with the deadline that finish sets.
	_, _ = io.Copy(io.Discard, c.reader)
	c.mu.Lock()
	if len(c.queue) > 0 {
		c.cancel()
	}
	for len(c.queue) > 0 {
		c.room.Wait()
	}
	c.mu.Unlock()
	_ = c.Close()
}

// readNext reads one request and begins to work on it. It returns false when no further one follows.
func (c *conn) readNext() bool {
	if !c.awaitRequest() {
		return false
	}
	limits := c.listener.Limits()
	x := &exchange{request: &fasthttp.Request{}, response: &fasthttp.Response{}}
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	err := c.readHeader(&x.request.Header, limits.MaxHeaderBytes+headerRoom)
	if err == nil && len(x.request.Header.RawHeaders()) > limits.MaxHeaderBytes {
		err = &fasthttp.ErrSmallBuffer{}
	}
	if err == nil {
		_ = c.SetReadDeadline(time.Now().Add(bodyTime))
		err = c.readBody(x.request, limits.MaxBodyBytes)
	}
	c.mu.Lock()
	c.reading = false
	c.mu.Unlock()
	if err != nil {
		return c.refuse(x, err)
	}
	x.parallel = x.request.Header.IsGet() || x.request.Header.IsHead()
	x.last = x.request.ConnectionClose()
	last := x.last
	c.enqueue(x)
	return !last
}

// readHeader reads a header of at most limit bytes. The buffer grows to the limit for a long one only,
// because most connections never see one.
func (c *conn) readHeader(header *fasthttp.RequestHeader, limit int) error {
	err := header.Read(c.reader)
	var small *fasthttp.ErrSmallBuffer
	if !errors.As(err, &small) || c.reader.Size() >= limit {
		return err
	}
	begun, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(begun)), c.Conn)
	c.reader = bufio.NewReaderSize(rest, limit)
	return header.Read(c.reader)
}

func (c *conn) readBody(req *fasthttp.Request, limit int) error {
	if req.MayContinue() {
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	return req.ContinueReadBody(c.reader, limit, false)
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest() bool {
	c.mu.Lock()
	for len(c.queue) >= maxPipelined {
		c.room.Wait()
	}
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.armIdle()
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

// armIdle starts the idle timeout if nothing is in flight. It is called with mu held.
func (c *conn) armIdle() {
	deadline := time.Time{}
	if len(c.queue) == 0 {
		deadline = time.Now().Add(c.listener.Limits().IdleTimeout)
	}
	_ = c.SetReadDeadline(deadline)
}

// refuse answers a request that can't be read, unless the caller has gone.
func (c *conn) refuse(x *exchange, cause error) bool {
	if isEndOfStream(cause) {
		c.cancel()
		return false
	}
	c.listener.Refuse(x.response, cause)
	x.begun, x.done, x.last = true, true, true
	c.mu.Lock()
	c.queue = append(c.queue, x)
	c.mu.Unlock()
	c.write()
	return false
}

// isEndOfStream reports whether a request was cut off by its caller or by the network. A timeout is
// no end: the caller can still read why it is refused.
func isEndOfStream(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return true
	}
	var network net.Error
	if errors.As(err, &network) {
		return !network.Timeout()
	}
	var nothing fasthttp.ErrNothingRead
	return errors.As(err, &nothing)
}

// enqueue lines the exchange up and begins those that may run.
func (c *conn) enqueue(x *exchange) {
	c.mu.Lock()
	c.queue = append(c.queue, x)
	begin := c.beginnable()
	c.mu.Unlock()
	c.begin(begin)
}

// beginnable marks and returns the exchanges that may run now: the first of the line, and further
// ones as long as all are of methods that have no effect. It is called with mu held.
func (c *conn) beginnable() []*exchange {
	var begin []*exchange
	for i, x := range c.queue {
		if i > 0 && (!x.parallel || !c.queue[i-1].parallel) {
			break
		}
		if c.queue[0].last && i > 0 {
			break
		}
		if !x.begun {
			x.begun = true
			begin = append(begin, x)
		}
	}
	return begin
}

func (c *conn) begin(exchanges []*exchange) {
	for _, x := range exchanges {
		go func() {
			c.listener.Handle(c.ctx, x.request, x.response)
			c.mu.Lock()
			x.done = true
			c.mu.Unlock()
			c.write()
		}()
	}
}

// write sends the answers at the head of the line that are done.
func (c *conn) write() {
	c.mu.Lock()
	writer := bufio.NewWriterSize(c.Conn, writeBuffer)
	var failure error
	ended := false
	for len(c.queue) > 0 && c.queue[0].done && !ended {
		x := c.queue[0]
		next := len(c.queue) > 1 && c.queue[1].begun
		if c.listener.draining.Load() && !next {
			x.last = true
		}
		ended = x.last
		failure = c.send(writer, x)
		c.queue = c.queue[1:]
		if failure != nil {
			break
		}
	}
	if ended || failure != nil {
		c.drop()
	} else if len(c.queue) == 0 && !c.reading {
		c.armIdle()
	}
	begin := c.beginnable()
	c.room.Broadcast()
	if ended {
		c.finish()
	}
	c.mu.Unlock()
	c.begin(begin)
	if failure != nil {
		c.cut()
	}
}

func (c *conn) send(writer *bufio.Writer, x *exchange) error {
	if x.last {
		x.response.SetConnectionClose()
	}
	x.response.SkipBody = x.request.Header.IsHead()
	_ = c.SetWriteDeadline(time.Now().Add(writeTime))
	if err := x.response.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// drop gives up the requests that wait behind the end of the connection. Those that have begun go on
// until they notice it. It is called with mu held.
func (c *conn) drop() {
	c.closing = true
	c.queue = nil
}

// finish ends the connection after the last answer. What the caller still sends is read for a short
// time, since a close with unread bytes would reset the connection before the answer is read. It is
// called with mu held.
func (c *conn) finish() {
	c.finishing = true
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.listener.closed.Load() {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
}

func (c *conn) cut() {
	c.cancel()
	_ = c.Close()
}

// closeIdle closes the connection if nothing is in flight.
func (c *conn) closeIdle() {
	c.mu.Lock()
	idle := len(c.queue) == 0 && !c.reading
	if idle {
		c.closing = true
	}
	c.mu.Unlock()
	if idle {
		c.cut()
	}
}

func (c *conn) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}
