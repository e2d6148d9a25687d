package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// repeatAfter is how long a call of an idempotent method waits for its response before it is sent again. The wait doubles
	// with each try.
	repeatAfter = 300 * time.Millisecond
	// maxTries is how often a call of an idempotent method is sent at most.
	maxTries = 3
	// maxRepeatedBytes is the size of the largest params that are sent again beside a call that is under way.
	maxRepeatedBytes = 16 << 10
	// thinLinkBytesPerSecond is what a link carries at least for control traffic, a part of 1 Mbps.
	thinLinkBytesPerSecond = 64 << 10
	// methodPing is a method that every messenger has, and that does nothing.
	methodPing = "ping"
)

// transferTime returns how long a number of bytes takes at most on a thin link.
func transferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / thinLinkBytesPerSecond
}

// CallIdempotent is like Call for a method that the peer may run more than once. A call without a response within repeatAfter
// is sent again over a new connection, since the kept one may be silent, and so is one whose kept connection turns out
// to be closed. The first response counts. A call with more than maxRepeatedBytes is sent once, over a connection on which the peer has
// just answered, and gets the time that its bytes take.
func (m *Messenger) CallIdempotent(ctx context.Context, to netip.AddrPort, purpose Purpose, method string, params, result any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	peer := endpoint{to, purpose}
	if len(encoded) <= maxRepeatedBytes {
		return m.callRepeatedly(ctx, peer, method, json.RawMessage(encoded), result)
	}
	var rpcErr *jsonrpc2.Error
	// An earlier version of a peer has no such method, and has answered all the same.
	if err := m.callRepeatedly(ctx, peer, methodPing, struct{}{}, nil); err != nil && !errors.As(err, &rpcErr) {
		return err
	}
	return m.callWithin(ctx, callTimeout+transferTime(len(encoded)), peer, method, json.RawMessage(encoded), result)
}

// callRepeatedly sends a call, and again while there is no response. The errors are those of Call.
func (m *Messenger) callRepeatedly(ctx context.Context, to endpoint, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := &repeatedCall{messenger: m, to: to, method: method, params: params, results: make(chan tryResult, maxTries)}
	response, err := c.run(ctx)
	if err != nil || result == nil {
		return err
	}
	return json.Unmarshal(response, result)
}

// repeatedCall is a call of CallIdempotent.
type repeatedCall struct {
	messenger *Messenger
	to        endpoint
	method    string
	params    any
	// results gets the result of each try.
	results chan tryResult
	// tries is the number of tries so far, and running that of those without a result.
	tries, running int
}

// tryResult is the result of one try: a response, or the error of Call.
type tryResult struct {
	err      error
	response json.RawMessage
	// isKept is true if the connection was open before the try.
	isKept bool
}

// run sends the call until there is a response, ctx is done, or a new connection fails as well.
func (c *repeatedCall) run(ctx context.Context) (json.RawMessage, error) {
	out := c.try(ctx)
	wait := repeatAfter
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %s: %s: %w", ErrUnreachable, c.to.address, c.method, ctx.Err())
		case r := <-c.results:
			c.running--
			if !errors.Is(r.err, ErrUnreachable) {
				return r.response, r.err
			}
			switch {
			case r.isKept && c.tries < maxTries:
				out = c.try(ctx)
			case c.running == 0:
				return nil, r.err
			}
		case <-timer.C:
			if c.tries < maxTries {
				c.messenger.retire(c.to, out)
				out = c.try(ctx)
				wait *= 2
				timer.Reset(wait)
			}
		}
	}
}

// try sends the call once in the background, and returns the connection that it uses.
func (c *repeatedCall) try(ctx context.Context) *outgoingConn {
	c.tries++
	c.running++
	out, err := c.messenger.outgoingTo(c.to)
	if err != nil {
		c.results <- tryResult{err: fmt.Errorf("%w: %w", ErrUnreachable, err)}
		return nil
	}
	isKept := out.isReady()
	go func() {
		r := tryResult{isKept: isKept}
		r.err = c.messenger.callOver(ctx, c.to, out, c.method, c.params, &r.response)
		c.results <- r
	}()
	return out
}

// callOver calls a method over the connection, which is closed if there is no response although the caller has waited for it.
func (m *Messenger) callOver(ctx context.Context, to endpoint, out *outgoingConn, method string, params, result any) error {
	conn, err := out.await(ctx, to)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	var rpcErr *jsonrpc2.Error
	if err == nil || errors.As(err, &rpcErr) {
		return err
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		// A missing response can mean that the connection is dead. The next call opens a new one.
		m.closeOutgoing(to, conn)
	}
	return fmt.Errorf("%w: %s: %s: %w", ErrUnreachable, to.address, method, err)
}

// retire makes further calls open a new connection. The one that is retired is closed when all calls that use it are over.
func (m *Messenger) retire(to endpoint, out *outgoingConn) {
	if out == nil {
		return
	}
	m.removeOutgoing(to, out)
	time.AfterFunc(callTimeout, func() {
		if out.isReady() && out.conn != nil {
			_ = out.conn.Close()
		}
	})
}
