package listener

import "github.com/valyala/fasthttp"

// UnansweredCause is the reason why a request, or a part of one, got no whole response.
type UnansweredCause string

// The causes. IsOwn reports whether one is a fault of this process.
const (
	// CauseAborted means that Abort has closed the connection while the request was processed.
	CauseAborted UnansweredCause = "aborted"
	// CauseBehindLast means that the request arrived behind a request whose response closes the connection.
	CauseBehindLast UnansweredCause = "behind-last"
	// CauseCallerGone means that the caller has closed the connection or can't be reached.
	CauseCallerGone UnansweredCause = "caller-gone"
	// CauseIncomplete means that Abort has closed the connection before the whole request had arrived.
	CauseIncomplete UnansweredCause = "incomplete"
)

// UnansweredCauses returns all causes.
func UnansweredCauses() []UnansweredCause {
	return []UnansweredCause{CauseAborted, CauseBehindLast, CauseCallerGone, CauseIncomplete}
}

// IsOwn reports whether this process had the whole request and could have answered it.
func (c UnansweredCause) IsOwn() bool {
	return c == CauseAborted
}

// reportUnanswered reports a request that ends without a whole response. The request is nil if it was not read in full
// or its handler still runs.
func (c *conn) reportUnanswered(cause UnansweredCause, req *fasthttp.Request) {
	if c.listener.OnUnanswered != nil {
		c.listener.OnUnanswered(cause, req)
	}
}

// reportQueue reports all requests in the queue. It is called with mu held.
func (c *conn) reportQueue(cause UnansweredCause) {
	for _, x := range c.queue {
		req := x.request
		if x.started && !x.done {
			// The handler may be changing it.
			req = nil
		}
		c.reportUnanswered(cause, req)
	}
}

// markAborted notes that the listener aborts the connection, and reports the requests that this ends.
func (c *conn) markAborted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return
	}
	c.aborted = true
	c.reportQueue(CauseAborted)
	if c.receiving {
		c.reportUnanswered(CauseIncomplete, nil)
	}
}
