package listener

import (
	"errors"
	"io"
	"net/http/httputil"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/bodyreader"
	"github.com/marigoldrelay/marigoldrelay/internal/headchecker"
)

// ErrNoMemory is the cause of refusing a request whose body finds no room, or had to make room for others.
var ErrNoMemory = bodyreader.ErrNoMemory

// readBody reads a body of at most limit bytes, after an interim 100 response if the caller expects one. The memory that the body
// occupies is released with the scope of the exchange.
func (c *conn) readBody(x *exchange, limit int) error {
	req := x.request
	if req.MayContinue() {
		if err := c.writeContinue(); err != nil {
			return err
		}
	}
	length := req.Header.ContentLength()
	switch {
	case length == 0:
		return nil
	case length > limit:
		return fasthttp.ErrBodyTooLarge
	case length < 0 && length != chunkedLength:
		return req.ContinueReadBody(c.reader, limit, false)
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	if 0 < length && length <= bodyreader.SmallBytes {
		body := make([]byte, length)
		_, err := io.ReadFull(c.reader, body)
		req.SwapBody(body)
		return err
	}
	return c.readLargeBody(x, length, limit)
}

// readLargeBody reads a body that can need room in the listener's memory.
func (c *conn) readLargeBody(x *exchange, length, limit int) error {
	b := bodyreader.New(bodyreader.Config{
		Class: c.listener.Class, GiveUp: c.interruptRead, Length: length, Limit: limit, Memory: c.listener.Memory,
	})
	var err error
	if length == chunkedLength {
		err = b.ReadAll(httputil.NewChunkedReader(c.reader))
		if err == nil {
			err = smallBufferError(headchecker.DropTrailer(c.reader))
		}
	} else {
		err = b.ReadAll(io.LimitReader(c.reader, int64(length)))
	}
	body, holding, err := b.Finish(err)
	x.scope.Add(holding)
	switch {
	case errors.Is(err, bodyreader.ErrTooLong):
		return fasthttp.ErrBodyTooLarge
	case err != nil:
		return err
	}
	x.request.SwapBody(body)
	if len(body) == 0 {
		x.request.Header.SetContentLength(0)
	}
	return nil
}

// interruptRead makes the reading goroutine's present and further reads fail.
func (c *conn) interruptRead() {
	_ = c.SetReadDeadline(time.Unix(1, 0))
}
