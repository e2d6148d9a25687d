// Package forwarder sends HTTP requests over pooled connections that it owns. It never sends a
// request twice, and a connection that saw a timeout, a cancel or a short body is closed.
package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// Errors of Pool.Do. After ErrNotSent no byte of the request has left. After the others the
// receiver may have got the request.
var (
	ErrCancelled = merry.Sentinel("cancelled")
	ErrForeign   = merry.Sentinel("answers to other requests")
	ErrLost      = merry.Sentinel("connection lost")
	ErrNotSent   = merry.Sentinel("not sent")
	ErrOverdue   = merry.Sentinel("answer overdue")
	ErrTimeout   = merry.Sentinel("deadline passed")
	ErrTooLong   = merry.Sentinel("answer too long")
	ErrUnframed  = merry.Sentinel("answer without a length")
)

// Defaults of a Pool.
const (
	DefaultDialTimeout = time.Second
	DefaultMaxAge      = 5 * time.Minute
	DefaultMaxIdle     = 256
	DefaultMaxIdleTime = 4 * time.Second
	DefaultMaxBody     = 16 << 20
	// ShortMaxBody suits the answers of health and load endpoints.
	ShortMaxBody = 64 << 10
)

// Lengths that the HTTP library reports for bodies without a length.
const (
	// maxForeign bounds how many answers are read in search of the own.
	maxForeign = 3
	// maxInterim bounds the interim answers before one.
	maxInterim = 8
	// maxOverhead is what an answer may have beside its body: its head, and the framing of a body in chunks as
	// long as that is no longer than the body.
	maxOverhead = 1 << 20
	// chunkedLength is that of a body in chunks.
	chunkedLength = -1
	// unframedLength is that of a body that only the end of the stream bounds.
	unframedLength = -2
)

// Pool keeps connections to one address. It is safe for concurrent use.
type Pool struct {
	address     netip.AddrPort
	clock       timekeeper.Clock
	dial        func(netip.AddrPort, time.Duration) (net.Conn, error)
	maxAge      time.Duration
	maxBody     int
	maxIdleTime time.Duration
	unframed    bool

	mu     sync.Mutex
	closed bool
	idle   []*conn
}

// Option changes a Pool under construction.
type Option func(*Pool)

// WithDialer replaces the TCP dialer.
func WithDialer(dial func(netip.AddrPort, time.Duration) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithMaxBody bounds an answer's body in bytes.
func WithMaxBody(limit int) Option {
	return func(p *Pool) { p.maxBody = limit }
}

// WithMaxIdleTime bounds how long a connection that is used again has been idle.
func WithMaxIdleTime(limit time.Duration) Option {
	return func(p *Pool) { p.maxIdleTime = limit }
}

// WithUnframed takes answers without a length: such a body is whole when the stream ends in order.
func WithUnframed() Option {
	return func(p *Pool) { p.unframed = true }
}

// New returns a pool of connections to address.
func New(address netip.AddrPort, clock timekeeper.Clock, options ...Option) *Pool {
	p := &Pool{
		address:     address,
		clock:       clock,
		dial:        dialTCP,
		maxAge:      DefaultMaxAge,
		maxBody:     DefaultMaxBody,
		maxIdleTime: DefaultMaxIdleTime,
	}
	for _, option := range options {
		option(p)
	}
	return p
}

func dialTCP(address netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address.String(), timeout)
}

// Exchange is one request with the place for its answer.
type Exchange struct {
	// Accept reports whether an answer belongs to the request; nil takes every answer. One that does
	// not is skipped.
	Accept   func(header *fasthttp.ResponseHeader) bool
	Deadline time.Time
	// Fresh asks for a connection of its own that is closed afterwards.
	Fresh bool
	// Overdue is called when Patience has passed without a byte of the answer. It returns how long to
	// wait until the next call, or zero to give up. It is not called where it is nil.
	Overdue func() time.Duration
	// MaxIdle bounds how long the connection may have been idle; zero for the pool's bound.
	MaxIdle time.Duration
	// Patience is how long an answer's first byte usually takes at most.
	Patience time.Duration
	Request  *fasthttp.Request
	Response *fasthttp.Response
}

// Do sends the request once and reads the whole answer. The error wraps one of this package's
// sentinels. A done ctx closes the connection, which tells the receiver to stop.
func (p *Pool) Do(ctx context.Context, x *Exchange) error {
	now := p.clock.Now()
	if !now.Before(x.Deadline) {
		return fmt.Errorf("%w: %w", ErrNotSent, ErrTimeout)
	}
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, ErrCancelled)
	}
	c, err := p.take(now, x)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrNotSent, p.address, err)
	}
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		defer stop()
	}
	if err := p.exchange(c, x, now); err != nil {
		_ = c.Close()
		return p.classify(ctx, err)
	}
	if x.Fresh || x.Response.ConnectionClose() || ctx.Err() != nil || c.reader.Buffered() > 0 {
		_ = c.Close()
		return nil
	}
	c.keepAlive = keepAliveOf(x.Response)
	p.put(c)
	return nil
}

// keepAlivePart is the part of the time that the other end keeps an idle connection for which it is
// used.
const keepAlivePart = 0.7

// keepAliveOf returns how long the connection may be idle by the answer's Keep-Alive field, or zero.
func keepAliveOf(resp *fasthttp.Response) time.Duration {
	for parameter := range strings.SplitSeq(string(resp.Header.Peek(fasthttp.HeaderKeepAlive)), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.ParseFloat(text, 64); err == nil {
			return time.Duration(keepAlivePart * seconds * float64(time.Second))
		}
	}
	return 0
}

func (p *Pool) exchange(c *conn, x *Exchange, now time.Time) error {
	c.limit.left = 2*p.maxBody + maxOverhead
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
	return p.readAnswer(c, x)
}

// readAnswer reads one whole answer. A body that only the end of the stream bounds is an error,
// because nobody can tell whether it is whole.
func (p *Pool) readAnswer(c *conn, x *Exchange) error {
	for range maxForeign {
		if err := p.readOne(c, x); err != nil {
			return err
		}
		if x.Accept == nil || x.Accept(&x.Response.Header) {
			return nil
		}
		if x.Response.ConnectionClose() {
			return ErrForeign
		}
		x.Response.Reset()
	}
	return ErrForeign
}

func (p *Pool) readOne(c *conn, x *Exchange) error {
	header := &x.Response.Header
	if err := readFinalHeader(c, header); err != nil {
		return err
	}
	x.Response.SkipBody = x.Request.Header.IsHead() || hasNoBody(header.StatusCode())
	if x.Response.SkipBody {
		return nil
	}
	framing := header.ContentLength()
	if framing == unframedLength && !p.unframed {
		return ErrUnframed
	}
	if err := x.Response.ReadBody(c.reader, p.maxBody); err != nil {
		return err
	}
	if framing == chunkedLength {
		return header.ReadTrailer(c.reader)
	}
	return nil
}

// readFinalHeader reads the header of an answer and skips those of interim ones before it.
func readFinalHeader(c *conn, header *fasthttp.ResponseHeader) error {
	for range maxInterim {
		if err := header.Read(c.reader); err != nil {
			return err
		}
		if header.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return ErrTooLong
}

// hasNoBody reports whether answers with the status never have a body (RFC 9110, section 6.4.1).
func hasNoBody(status int) bool {
	return status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

func (p *Pool) awaitFirstByte(c *conn, x *Exchange, now time.Time) error {
	if x.Patience <= 0 || x.Overdue == nil {
		return nil
	}
	patience := x.Patience
	for now.Add(patience).Before(x.Deadline) {
		if err := c.SetReadDeadline(now.Add(patience)); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		patience = x.Overdue()
		if patience <= 0 {
			return ErrOverdue
		}
		now = p.clock.Now()
	}
	return c.SetReadDeadline(x.Deadline)
}

func (p *Pool) classify(ctx context.Context, err error) error {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case ctx.Err() != nil:
		return fmt.Errorf("%w: %s", ErrCancelled, p.address)
	case errors.Is(err, ErrTooLong), errors.Is(err, fasthttp.ErrBodyTooLarge), errors.As(err, &small):
		return fmt.Errorf("%w: %s", ErrTooLong, p.address)
	case errors.Is(err, ErrOverdue), errors.Is(err, ErrUnframed), errors.Is(err, ErrForeign):
		return fmt.Errorf("%s: %w", p.address, err)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, fasthttp.ErrTimeout):
		return fmt.Errorf("%w: %s", ErrTimeout, p.address)
	default:
		return fmt.Errorf("%w: %s: %w", ErrLost, p.address, err)
	}
}

// take returns a clean idle connection or opens one.
func (p *Pool) take(now time.Time, x *Exchange) (*conn, error) {
	for !x.Fresh {
		c := p.pop()
		if c == nil {
			break
		}
		if p.isFit(c, now, x.MaxIdle) {
			return c, nil
		}
		_ = c.Close()
	}
	timeout := min(DefaultDialTimeout, x.Deadline.Sub(now))
	raw, err := p.dial(p.address, timeout)
	if err != nil {
		return nil, err
	}
	return newConn(raw, now), nil
}

func (p *Pool) isFit(c *conn, now time.Time, maxIdle time.Duration) bool {
	if maxIdle == 0 {
		maxIdle = p.maxIdleTime
	}
	if c.keepAlive > 0 {
		maxIdle = min(maxIdle, c.keepAlive)
	}
	if now.Sub(c.opened) > p.maxAge || now.Sub(c.used) > maxIdle {
		return false
	}
	return c.isClean()
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

func (p *Pool) put(c *conn) {
	c.used = p.clock.Now()
	p.mu.Lock()
	keep := !p.closed && len(p.idle) < DefaultMaxIdle
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// CloseIdle closes the connections that no request uses. The pool stays usable.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Close closes the idle connections and keeps no more.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}
