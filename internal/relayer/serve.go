package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/administrator"
	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/leavekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/listener"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// memoryRetryAfter is when the sender of a request whose body has found no room should send it again: bodies that stall make room
// in less.
const memoryRetryAfter = time.Second

// announceTimeout limits how long an announcement waits until its leave is stored. The announcer waits for a second.
const announceTimeout = 900 * time.Millisecond

// serveCaller handles a request from outside or from an upstream.
func (n *Node) serveCaller(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	if refusal := n.dispatcher.Dispatch(ctx, req, resp); refusal != nil {
		refusal.WriteWith(resp, n.interpreter.FormatRetryAfter)
	}
}

// servePeer handles an attempt from another node or a query about the outcome of one.
func (n *Node) servePeer(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	if string(req.Header.RequestURI()) == carrier.ResolvePath {
		carrier.ServeResolve(n.secrets.PeerSigner, n.clock, n.isOwnIncarnation, n.recorder, req, resp)
		return
	}
	attempt, err := carrier.ReadAttempt(n.secrets.PeerSigner, req, n.readRequestID)
	if err != nil {
		n.meter.Event("unsigned_attempts")
		refuser.New(refuser.ReasonUnauthorized, err.Error()).Write(resp)
		return
	}
	outcome := n.executeAttempt(ctx, attempt, req, resp)
	carrier.WriteOutcome(attempt, resp, outcome)
}

// readRequestID returns the id in the header of a request, or the empty string if it has none or more than one.
func (n *Node) readRequestID(header *fasthttp.RequestHeader) string {
	// An error concerns the request's other fields, which the entry node has checked.
	request, _ := n.interpreter.ReadRequest(header)
	return request.ID
}

// isOwnIncarnation reports whether an incarnation is the one of the node's start or its current one in gossip.
func (n *Node) isOwnIncarnation(incarnation uint64) bool {
	return incarnation == n.incarnation || incarnation == n.gossiper.Self().Incarnation
}

// executeAttempt runs an attempt on the executor, unless it was sent to an earlier incarnation of this node.
func (n *Node) executeAttempt(ctx context.Context, attempt *carrier.Attempt, req *fasthttp.Request, resp *fasthttp.Response) carrier.Outcome {
	if !n.isOwnIncarnation(attempt.Incarnation) {
		return carrier.Outcome{Refusal: refuser.New(refuser.ReasonNoUpstream, "the attempt is for an earlier start of this node")}
	}
	return n.executor.Execute(ctx, &executor.Execution{
		Attempt:  *attempt,
		Deadline: n.clock.Now().Add(attempt.Timeout),
		Request:  req,
		Response: resp,
	})
}

// serveAnnouncement handles an announcement of the upstream beside the node and answers with the lease.
func (n *Node) serveAnnouncement(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != announcer.Path || !ctx.IsPost() {
		refuser.New(refuser.ReasonNoRoute, "want POST "+announcer.Path).Write(&ctx.Response)
		return
	}
	var a announcer.Announcement
	if err := json.Unmarshal(ctx.PostBody(), &a); err != nil {
		refuser.New(refuser.ReasonBadRequest, err.Error()).Write(&ctx.Response)
		return
	}
	confirmCtx, cancel := context.WithTimeout(n.register.callCtx, announceTimeout)
	defer cancel()
	lease, err := n.announce(confirmCtx, a)
	if err != nil {
		refuser.New(announceRefusal(err), err.Error()).Write(&ctx.Response)
		return
	}
	administrator.WriteJSON(ctx, lease)
}

// announceRefusal returns the reason for which an announcement is not acknowledged.
func announceRefusal(err error) refuser.Reason {
	if leavekeeper.IsNotStored(err) {
		return refuser.ReasonLeaveNotStored
	}
	return refuser.ReasonBadRequest
}

// refuseUnreadable refuses a request that can't be read, with the reason that fits the error, and counts the
// refusal.
func (n *Node) refuseUnreadable(resp *fasthttp.Response, err error) {
	if errors.Is(err, listener.ErrNoMemory) {
		n.meter.Refused(refuser.ReasonRequestMemory)
		n.memoryWatch.report(shortageMemory)
		refuser.NewWithRetryAfter(refuser.ReasonRequestMemory, memoryRetryAfter, "there is no memory for the request's body").
			WriteWith(resp, n.interpreter.FormatRetryAfter)
		return
	}
	reason := refuser.ReasonBadRequest
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(err, &small):
		reason = refuser.ReasonHeaderTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		reason = refuser.ReasonBodyTooLarge
	case errors.As(err, &network) && network.Timeout():
		reason = refuser.ReasonRequestTimeout
	}
	n.meter.Refused(reason)
	refuser.New(reason, "the request can't be read").Write(resp)
}
