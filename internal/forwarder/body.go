package forwarder

import (
	"io"
	"net/http/httputil"
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/bodyreader"
	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/headchecker"
)

// readBody reads the body of the response whose header has been read, and drops its trailer. It returns the memory that the
// body occupies, which is nil for a small one. A body that fails occupies none.
func (p *Pool) readBody(c *conn, resp *fasthttp.Response) (*budgeter.Holding, error) {
	length := resp.Header.ContentLength()
	if length > p.maxBody {
		return nil, ErrTooLong
	}
	if 0 <= length && length <= bodyreader.SmallBytes {
		return nil, readSmallBody(c, resp, length)
	}
	b := bodyreader.New(bodyreader.Config{
		// The function outlives the reader, so that it must not refer to its buffers.
		Buffer: resp.SwapBody(nil), Class: budgeter.ClassAnswer, GiveUp: func() { _ = c.Close() },
		Length: length, Limit: p.maxBody, Memory: p.memory,
	})
	err := b.ReadAll(bodySource(c, length))
	if err == nil && length == chunkedLength {
		err = headchecker.DropTrailer(c.reader)
	}
	body, holding, err := b.Finish(err)
	if err != nil {
		return nil, c.parseError(err)
	}
	resp.SwapBody(body)
	if length == noLength {
		resp.Header.SetContentLength(len(body))
	}
	return holding, nil
}

// readSmallBody reads a body of the given length, which needs no room in the pool's memory.
func readSmallBody(c *conn, resp *fasthttp.Response, length int) error {
	body := slices.Grow(resp.SwapBody(nil)[:0], length)[:length]
	_, err := io.ReadFull(c.reader, body)
	resp.SwapBody(body)
	return err
}

// bodySource returns a reader that ends with the body. If the stream ends before the body, the reader's error is
// io.ErrUnexpectedEOF, except for a body of a given length.
func bodySource(c *conn, length int) io.Reader {
	switch length {
	case chunkedLength:
		return httputil.NewChunkedReader(c.reader)
	case noLength:
		return c.reader
	default:
		return io.LimitReader(c.reader, int64(length))
	}
}
