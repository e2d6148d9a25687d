package listener

import "github.com/valyala/fasthttp"

// UnansweredCause is the reason why a request, or a part of one, got no whole response.
type UnansweredCause string

// The causes. With those that IsOwn reports, the fault lies with this process.
const (
	// CauseAborted means that Abort has closed the connection.
	CauseAborted UnansweredCause = "aborted"
	// CauseBehindLast means that the request arrived behind a request whose response closes the connection.
	CauseBehindLast UnansweredCause = "behind-last"
	// CauseCallerGone means that the caller has closed the connection or its end can't be reached.
	CauseCallerGone UnansweredCause = "caller-gone"
	// CauseClosedAsIdle means that the connection was closed as idle after the request had begun to arrive.
	CauseClosedAsIdle UnansweredCause = "closed-as-idle"
	// CauseUnread means that the request arrived while the connection was being closed as idle, and was not read.
	CauseUnread UnansweredCause = "unread"
)

// UnansweredCauses returns all causes.
func UnansweredCauses() []UnansweredCause {
	return []UnansweredCause{CauseAborted, CauseBehindLast, CauseCallerGone, CauseClosedAsIdle, CauseUnread}
}

// IsOwn reports whether this process has read a request and could have answered it.
func (c UnansweredCause) IsOwn() bool {
	return c == CauseAborted || c == CauseClosedAsIdle
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

// endCause returns the cause for the requests that are unanswered when the connection can't be used any more. It is
// called with mu held.
func (c *conn) endCause() UnansweredCause {
	if c.closedAsIdle {
		return CauseClosedAsIdle
	}
	return CauseCallerGone
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
	if c.reading {
		c.reportUnanswered(CauseAborted, nil)
	}
}
