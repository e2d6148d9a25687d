// Package forwarder is an HTTP client with its own connection pool. It never retries: each request is sent at most
// once. A connection is closed, not reused, after a timeout, a cancellation, or a truncated or malformed response.
package forwarder

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/bodyreader"
	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/dialer"
	"github.com/marigoldrelay/marigoldrelay/internal/headchecker"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// Errors of Pool.Do. After an error that wraps ErrNotSent, no byte of the request has been sent. After any other
// error the receiver may have got the request.
var (
	// ErrCancelled means that the context was done.
	ErrCancelled = merry.Sentinel("cancelled")
	// ErrForeign means that Exchange.Accept rejected the responses on the connection, or that they were unproven rejections.
	ErrForeign = merry.Sentinel("answers to other requests")
	// ErrLost means that the connection failed or ended before the whole response was read.
	ErrLost = merry.Sentinel("connection lost")
	// ErrMalformed means that the bytes read are no HTTP response. The request may have run.
	ErrMalformed = merry.Sentinel("malformed answer")
	// ErrNotSent means that no connection could be opened, that the deadline had already passed, or that the context
	// was already done.
	ErrNotSent = merry.Sentinel("not sent")
	// ErrOverdue means that Exchange.OnOverdue gave up waiting for the first byte of the response.
	ErrOverdue = merry.Sentinel("answer overdue")
	// ErrTimeout means that Exchange.Deadline passed.
	ErrTimeout = merry.Sentinel("deadline passed")
	// ErrTooLong means that the response exceeded a size limit or had too many interim responses before it.
	ErrTooLong = bodyreader.ErrTooLong
	// ErrNoMemory means that the response was given up because the bodies of responses occupy all the memory that they may. The
	// request may have run.
	ErrNoMemory = bodyreader.ErrNoMemory
	// ErrNoLength means that the response body had no length and the pool was not created with AcceptNoLength.
	ErrNoLength = merry.Sentinel("answer without a length")
)

// Limits of a Pool.
const (
	DefaultDialTimeout = time.Second
	DefaultMaxAge      = 5 * time.Minute // Since the connection was opened.
	DefaultMaxIdle     = 256             // Connections.
	DefaultMaxIdleTime = 4 * time.Second
	DefaultMaxBody     = 16 << 20 // Bytes.
	// ShortMaxBody is a body limit, in bytes, for the responses of health and load endpoints.
	ShortMaxBody = 64 << 10
)

// Pool keeps connections to one address for reuse. It is safe for concurrent use.
type Pool struct {
	address        netip.AddrPort
	clock          timekeeper.Clock
	dial           dialer.DialFunc
	maxAge         time.Duration
	maxBody        int
	memory         *budgeter.Memory
	maxIdleTime    time.Duration
	acceptNoLength bool
	onSent         func(to netip.AddrPort, bytes int)

	mu     sync.Mutex
	closed bool
	idle   []*conn
}

// Option configures a Pool in New.
type Option func(*Pool)

// WithDialer replaces the TCP dialer. The function gets the pool's address and the dial timeout.
func WithDialer(dial dialer.DialFunc) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithMaxBody limits the size of a response body, in bytes.
func WithMaxBody(limit int) Option {
	return func(p *Pool) { p.maxBody = limit }
}

// WithMemory limits the memory of response bodies together with that of all pools that share it. The body of a response that is
// returned occupies memory until the budgeter.Scope of the context is closed, or not at all without one.
func WithMemory(memory *budgeter.Memory) Option {
	return func(p *Pool) { p.memory = memory }
}

// WithSentCounter makes the pool call onSent with the address and the bytes of each write. The function must not block.
func WithSentCounter(onSent func(to netip.AddrPort, bytes int)) Option {
	return func(p *Pool) { p.onSent = onSent }
}

// WithMaxIdleTime limits how long a connection may have been idle before it is reused.
func WithMaxIdleTime(limit time.Duration) Option {
	return func(p *Pool) { p.maxIdleTime = limit }
}

// AcceptNoLength accepts responses whose body has no length. Such a body is complete when the stream ends without an
// error.
func AcceptNoLength() Option {
	return func(p *Pool) { p.acceptNoLength = true }
}

// New returns an empty pool of connections to address.
func New(address netip.AddrPort, clock timekeeper.Clock, options ...Option) *Pool {
	p := &Pool{
		address:     address,
		clock:       clock,
		dial:        dialer.Dial,
		maxAge:      DefaultMaxAge,
		maxBody:     DefaultMaxBody,
		maxIdleTime: DefaultMaxIdleTime,
		memory:      budgeter.NewMemory(math.MaxInt),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Exchange is one request, the response to fill in, and the limits on waiting for it.
type Exchange struct {
	// Accept reports whether a response belongs to the request; responses that do not are skipped. If nil, every
	// response is accepted.
	Accept func(header *fasthttp.ResponseHeader) bool
	// Deadline ends the exchange: dialing, sending and reading the response.
	Deadline time.Time
	// NewConnection requests a new connection that is closed after the exchange.
	NewConnection bool
	// OnSkipped is called with the header of each response that is skipped. It can be nil.
	OnSkipped func(header *fasthttp.ResponseHeader)
	// OnOverdue is called when ExpectedFirstByte has passed without a byte of the response. It returns how long to
	// wait until the next call, or zero to give up with ErrOverdue. It can be nil.
	OnOverdue func() time.Duration
	// ID is the id that responses to the request repeat; empty if they repeat none. A connection on which a request with
	// the same ID has failed is not used, because a copy of that failure could be taken for the response.
	ID string
	// Rejection returns what the response states that Accept took last. An unidentified rejection is skipped where it could be meant
	// for another request on the connection, and closes the connection elsewhere. If nil, no response is a rejection.
	Rejection func() Rejection
	// MaxIdle limits how long a reused connection may have been idle; zero means the pool's limit.
	MaxIdle time.Duration
	// ExpectedFirstByte is how long the first byte of a response usually takes at most. OnOverdue is not called if it
	// is zero.
	ExpectedFirstByte time.Duration
	Request           *fasthttp.Request
	Response          *fasthttp.Response
}

// Do sends the request once and reads the whole response. Errors wrap one of the package's sentinel errors. When ctx
// is done during the exchange, the connection is closed, which signals the cancellation to the receiver.
func (p *Pool) Do(ctx context.Context, x *Exchange) error {
	now := p.clock.Now()
	if !now.Before(x.Deadline) {
		return fmt.Errorf("%w: %w", ErrNotSent, ErrTimeout)
	}
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, ErrCancelled)
	}
	c, err := p.acquire(now, x)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrNotSent, p.address, err)
	}
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		defer stop()
	}
	if err := p.roundTrip(ctx, c, x, now); err != nil {
		_ = c.Close()
		return p.classify(ctx, err)
	}
	if !c.recordResponse(x) || x.NewConnection || x.Response.ConnectionClose() || ctx.Err() != nil || c.reader.Buffered() > 0 {
		_ = c.Close()
		return nil
	}
	c.keepAlive = keepAliveTimeout(x.Response)
	p.release(c)
	return nil
}

func (p *Pool) roundTrip(ctx context.Context, c *conn, x *Exchange, now time.Time) error {
	c.limited.remaining, c.limited.err = 2*p.maxBody+maxOverhead, nil
	if err := c.SetDeadline(x.Deadline); err != nil {
		return err
	}
	if err := x.Request.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	if err := p.awaitFirstByte(c, x, now); err != nil {
		return err
	}
	return p.readMatchingResponse(ctx, c, x)
}

// classify wraps an error of an exchange in the sentinel error for it, with the pool's address.
func (p *Pool) classify(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return fmt.Errorf("%w: %s", ErrCancelled, p.address)
	case isTooLong(err):
		return fmt.Errorf("%w: %s", ErrTooLong, p.address)
	case errors.Is(err, headchecker.ErrMalformed):
		return fmt.Errorf("%w: %s: %w", ErrMalformed, p.address, err)
	case errors.Is(err, ErrOverdue), errors.Is(err, ErrNoLength), errors.Is(err, ErrNoMemory), errors.Is(err, ErrForeign):
		return fmt.Errorf("%s: %w", p.address, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fmt.Errorf("%w: %s", ErrTimeout, p.address)
	default:
		return fmt.Errorf("%w: %s: %w", ErrLost, p.address, err)
	}
}

// Close closes the idle connections. Connections in use are closed after their exchange instead of being kept.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}
