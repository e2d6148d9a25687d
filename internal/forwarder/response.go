package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/headchecker"
)

// Limits on reading a response, and body lengths as the HTTP library reports them.
const (
	// maxForeignResponses limits how many responses are read to find the one that belongs to the request.
	maxForeignResponses = 3
	// maxInterimResponses limits the headers that are read for one response, interim (1xx) responses included.
	maxInterimResponses = 8
	// maxOverhead plus twice the body limit is the limit, in bytes, on all that is read for a request. It leaves room
	// for the body, the header, and the framing of a chunked body unless the framing is longer than the body.
	maxOverhead = 1 << 20
	// chunkedLength is the reported length of a chunked body.
	chunkedLength = -1
	// noLength is the reported length of a body that ends with the stream.
	noLength = -2
)

// readMatchingResponse reads responses until Accept takes one that is no unproven rejection. It returns ErrForeign if
// a rejected response closes the connection, or after maxForeignResponses rejected responses.
func (p *Pool) readMatchingResponse(ctx context.Context, c *conn, x *Exchange) error {
	for range maxForeignResponses {
		holding, err := p.readResponse(c, x)
		if err != nil {
			return err
		}
		if (x.Accept == nil || x.Accept(&x.Response.Header)) && !c.isUnproven(x) {
			holding.ReleaseWith(ctx)
			return nil
		}
		holding.Release()
		if x.OnSkipped != nil {
			x.OnSkipped(&x.Response.Header)
		}
		if x.Response.ConnectionClose() {
			return ErrForeign
		}
		x.Response.Reset()
	}
	return ErrForeign
}

// readResponse reads one whole response. Its trailer is read and dropped. Without AcceptNoLength, a body that ends with the
// stream is an error, because a truncated body could not be detected. It returns the memory that the body occupies.
func (p *Pool) readResponse(c *conn, x *Exchange) (*budgeter.Holding, error) {
	header := &x.Response.Header
	if err := readFinalHeader(c, header); err != nil {
		return nil, err
	}
	x.Response.SkipBody = x.Request.Header.IsHead() || hasNoBody(header.StatusCode())
	if x.Response.SkipBody {
		return nil, nil
	}
	if header.ContentLength() == noLength && !p.acceptNoLength {
		return nil, ErrNoLength
	}
	return p.readBody(c, x.Response)
}

// readFinalHeader reads the header of a final response and skips the interim (1xx) responses before it.
func readFinalHeader(c *conn, header *fasthttp.ResponseHeader) error {
	for range maxInterimResponses {
		if err := headchecker.CheckResponse(c.reader); err != nil {
			return err
		}
		if err := header.Read(c.reader); err != nil {
			return c.parseError(err)
		}
		if header.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return ErrTooLong
}

// maxParseErrorBytes limits the text of an error of the HTTP library, which quotes all that is buffered.
const maxParseErrorBytes = 128

// parseError returns an error that wraps headchecker.ErrMalformed for an error of the HTTP library that no failed read and no
// limit has caused, since the bytes themselves are at fault then. It returns other errors as they are.
func (c *conn) parseError(err error) error {
	if err == nil || c.limited.err != nil || errors.Is(err, headchecker.ErrMalformed) || errors.Is(err, ErrNoMemory) || isTooLong(err) {
		return err
	}
	text := err.Error()
	return fmt.Errorf("%w: %s", headchecker.ErrMalformed, text[:min(len(text), maxParseErrorBytes)])
}

// isTooLong reports whether a response exceeds a limit: on its bytes, on its body, or the read buffer for its head.
func isTooLong(err error) bool {
	return errors.Is(err, ErrTooLong) || errors.Is(err, bufio.ErrBufferFull)
}

// hasNoBody reports whether responses with the status never have a body (RFC 9110, section 6.4.1).
func hasNoBody(status int) bool {
	return status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// awaitFirstByte waits for the first byte of the response and calls OnOverdue each time that it is late. It stops
// waiting, without an error, when the next call would be due at the deadline or later.
func (p *Pool) awaitFirstByte(c *conn, x *Exchange, now time.Time) error {
	if x.ExpectedFirstByte <= 0 || x.OnOverdue == nil {
		return nil
	}
	wait := x.ExpectedFirstByte
	for now.Add(wait).Before(x.Deadline) {
		if err := c.SetReadDeadline(now.Add(wait)); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		wait = x.OnOverdue()
		if wait <= 0 {
			return ErrOverdue
		}
		now = p.clock.Now()
	}
	return c.SetReadDeadline(x.Deadline)
}
