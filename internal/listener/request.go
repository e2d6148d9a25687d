package listener

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/headchecker"
)

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
	if hasUnknownLength(&x.request.Header) {
		return x, errTransferEncoding
	}
	if err := c.readBody(x, limits.MaxBodyBytes); err != nil {
		return x, err
	}
	x.concurrent = x.request.Header.IsGet() || x.request.Header.IsHead()
	x.closeAfter = x.request.ConnectionClose() || c.isLastOfDrain()
	return x, nil
}

// errTransferEncoding is the error for a request whose Transfer-Encoding is not chunked.
var errTransferEncoding = merry.Sentinel("transfer-encoding: want chunked")

// chunkedLength is the content length that the HTTP library gives for a chunked body.
const chunkedLength = -1

// hasUnknownLength reports whether the request has a Transfer-Encoding other than chunked, which says nothing of where the
// body ends (RFC 9112, section 6.3).
func hasUnknownLength(header *fasthttp.RequestHeader) bool {
	if header.ContentLength() == chunkedLength {
		return false
	}
	for line := range bytes.Lines(header.RawHeaders()) {
		name, _, _ := bytes.Cut(line, []byte{':'})
		if len(name) == len(fasthttp.HeaderTransferEncoding) && strings.EqualFold(string(name), fasthttp.HeaderTransferEncoding) {
			return true
		}
	}
	return false
}

// isLastOfDrain reports whether a request that was read is the last one for which a draining listener keeps the
// connection open.
func (c *conn) isLastOfDrain() bool {
	if !c.listener.draining.Load() {
		return false
	}
	c.drainReads++
	return c.drainReads >= maxDrainReads
}

// readHeader reads and checks a header of at most limit bytes. The buffer grows to the limit only for a header that does not
// fit, because most connections never receive one.
func (c *conn) readHeader(header *fasthttp.RequestHeader, limit int) error {
	err := headchecker.CheckRequest(c.reader)
	if errors.Is(err, bufio.ErrBufferFull) && c.reader.Size() < limit {
		c.growBuffer(limit)
		err = headchecker.CheckRequest(c.reader)
	}
	if err != nil {
		return smallBufferError(err)
	}
	return header.Read(c.reader)
}

// growBuffer replaces the read buffer with one of the given size, in bytes.
func (c *conn) growBuffer(size int) {
	// As many bytes are buffered, so that this does not fail.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.Conn)
	c.reader = bufio.NewReaderSize(rest, size)
}

// smallBufferError returns the HTTP library's error for a header or trailer that does not fit into the buffer, and other errors
// as they are.
func smallBufferError(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return &fasthttp.ErrSmallBuffer{}
	}
	return err
}

// writeContinue writes the interim 100 response when the requests before are answered, so that it is not taken for a part
// of their responses.
func (c *conn) writeContinue() error {
	c.mu.Lock()
	for len(c.queue) > 0 {
		c.dequeued.Wait()
	}
	closing := c.closing
	c.mu.Unlock()
	if closing {
		return net.ErrClosed
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
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
