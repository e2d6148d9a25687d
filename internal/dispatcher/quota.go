package dispatcher

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/meter"
	"github.com/marigoldrelay/marigoldrelay/internal/quotakeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

// Quotas takes tokens for the requests of workspaces whose number is limited over all nodes.
type Quotas interface {
	// Return puts back a token whose request has reached no upstream.
	Return(workspace string, token quotakeeper.Token)
	// Take takes a token and waits for one at most the given time. The refusal is nil if it has one, or if the workspace needs
	// none: the token is then zero.
	Take(ctx context.Context, workspace string, limit time.Duration) (quotakeeper.Token, *refuser.Refusal)
}

// quotaUse is the token that a call holds for its next arrival at an upstream.
type quotaUse struct {
	isHeld bool
	// isSpent is true if a token was used for an arrival.
	isSpent bool
	token   quotakeeper.Token
}

// runWithinQuota runs the attempts of the call if its workspace has a token left. A refused call spends no retry budget and sends
// nothing.
func (d *Dispatcher) runWithinQuota(ctx context.Context, call *Call, p *CallProgress, req *fasthttp.Request, resp *fasthttp.Response) *refuser.Refusal {
	if refusal := d.takeToken(ctx, call, &p.quota); refusal != nil {
		d.setRetryAfter(call, refusal)
		return refusal
	}
	defer d.returnToken(call, &p.quota)
	return d.runAttempts(ctx, call, p, req, resp)
}

// needsToken reports whether the call counts in the quota of its workspace. Nested calls do not.
func (c *Call) needsToken() bool {
	return c.Workspace != "" && c.ParentCall == "" && c.Depth == 0
}

// takeToken takes a token for the next attempt of the call, unless it holds one or needs none.
func (d *Dispatcher) takeToken(ctx context.Context, call *Call, use *quotaUse) *refuser.Refusal {
	if d.Quotas == nil || use.isHeld || !call.needsToken() {
		return nil
	}
	token, refusal := d.Quotas.Take(ctx, call.Workspace, call.Deadline.Sub(d.Clock.Now()))
	if refusal == nil {
		use.token, use.isHeld = token, true
	}
	return refusal
}

// takeRetryToken takes a token for a retry or a hedge after an attempt at the target. Without one, it gives back the retry budget if
// that was spent, and reports the refusal unless the caller has gone away.
func (d *Dispatcher) takeRetryToken(ctx context.Context, call *Call, use *quotaUse, spent bool, target string) bool {
	refusal := d.takeToken(ctx, call, use)
	if refusal == nil {
		return true
	}
	if spent {
		d.Retries.Refund(call.Neighbour)
	}
	if refusal.Reason != refuser.ReasonCancelled {
		d.reportRetryRefused(call, target, meter.RetryRefusalQuota)
	}
	return false
}

// spendToken records that the attempt for which the token was taken has reached an upstream, or may have.
func (u *quotaUse) spendToken(outcome *carrier.Outcome) {
	if u.isHeld && (outcome.Reached() || !outcome.IsNotRun()) {
		u.isHeld, u.isSpent = false, true
	}
}

// returnToken puts back the token of an attempt that has reached no upstream.
func (d *Dispatcher) returnToken(call *Call, use *quotaUse) {
	if use.isHeld {
		use.isHeld = false
		d.Quotas.Return(call.Workspace, use.token)
	}
}
