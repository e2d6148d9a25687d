package forwarder

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/headereditor"
)

// keepAliveFraction is the fraction of the server's Keep-Alive timeout for which an idle connection is reused.
const keepAliveFraction = 0.7

// maxKeepAliveSeconds is the longest timeout of a Keep-Alive header that is followed; a longer one is no limit.
const maxKeepAliveSeconds = 1e6

// keepAliveTimeout returns how long the connection may be idle according to the Keep-Alive header of the response: the
// shortest time in any of its lines, or zero if it gives no timeout.
func keepAliveTimeout(resp *fasthttp.Response) time.Duration {
	var shortest time.Duration
	for parameter := range strings.SplitSeq(headereditor.Joined(&resp.Header, fasthttp.HeaderKeepAlive), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || seconds < 0 || seconds > maxKeepAliveSeconds {
			continue
		}
		if timeout := time.Duration(keepAliveFraction * seconds * float64(time.Second)); shortest == 0 || timeout < shortest {
			shortest = timeout
		}
	}
	return shortest
}

// acquire returns a reusable idle connection or dials a new one. It closes idle connections that can't be reused.
func (p *Pool) acquire(now time.Time, x *Exchange) (*conn, error) {
	if c := p.acquireIdle(now, x); c != nil {
		return c, nil
	}
	timeout := min(DefaultDialTimeout, x.Deadline.Sub(now))
	raw, err := p.dial(p.address, timeout)
	if err != nil {
		return nil, err
	}
	c := newConn(raw, now)
	if p.onSent != nil {
		c.countSent(func(bytes int) { p.onSent(p.address, bytes) })
	}
	return c, nil
}

// acquireIdle returns a reusable idle connection, or nil. It closes idle connections that can't be reused, and keeps those
// on which a request with the same id has failed.
func (p *Pool) acquireIdle(now time.Time, x *Exchange) *conn {
	var passedOver []*conn
	defer func() { p.keep(passedOver...) }()
	for !x.NewConnection {
		c := p.popIdle()
		switch {
		case c == nil:
			return nil
		case !p.isReusable(c, now, x.MaxIdle):
			_ = c.Close()
		case c.hasFailed(x.ID):
			passedOver = append(passedOver, c)
		default:
			return c
		}
	}
	return nil
}

// isReusable reports whether an idle connection is within its limits of age and idle time and has no unread input.
func (p *Pool) isReusable(c *conn, now time.Time, maxIdle time.Duration) bool {
	if maxIdle == 0 {
		maxIdle = p.maxIdleTime
	}
	if c.keepAlive > 0 {
		maxIdle = min(maxIdle, c.keepAlive)
	}
	if now.Sub(c.opened) > p.maxAge || now.Sub(c.lastUsed) > maxIdle {
		return false
	}
	return c.isClean()
}

// popIdle removes and returns the idle connection that was released last, or nil.
func (p *Pool) popIdle() *conn {
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

// release keeps c for reuse, or closes it if the pool is closed or full.
func (p *Pool) release(c *conn) {
	c.lastUsed = p.clock.Now()
	p.keep(c)
}

// keep adds the connections to the idle ones, or closes them if the pool is closed or full.
func (p *Pool) keep(conns ...*conn) {
	for _, c := range conns {
		p.mu.Lock()
		kept := !p.closed && len(p.idle) < DefaultMaxIdle
		if kept {
			p.idle = append(p.idle, c)
		}
		p.mu.Unlock()
		if !kept {
			_ = c.Close()
		}
	}
}

// CloseIdle closes the idle connections. The pool stays usable.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}
