package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/meter"
	"github.com/marigoldrelay/marigoldrelay/internal/quantiler"
	"github.com/marigoldrelay/marigoldrelay/internal/router"
)

const (
	// minHedgeDelayFactor is the minimum delay of a hedge that is sent before the high quantile to meet the target
	// latency, in median latencies.
	minHedgeDelayFactor = 2.5
	// hedgeQuantile is the quantile of a route's latencies that is called the high one here.
	hedgeQuantile = 0.98
	// hedgeDurationFactor is the time allowed for a hedge to meet the target latency, in median latencies.
	hedgeDurationFactor = 1.5
	// maxHedgeAttempts is the maximum number of targets that a hedge is sent to, one after the other.
	maxHedgeAttempts = 3
	minHedgeDelay    = 5 * time.Millisecond
	medianQuantile   = 0.5
)

// latencyEstimates holds latency estimates for each pair of service and route. It is safe for concurrent use.
type latencyEstimates struct {
	mu     sync.Mutex
	routes map[string]*routeLatency
}

// routeLatency estimates latency quantiles of one route's responses.
type routeLatency struct {
	high   *quantiler.Estimate
	median *quantiler.Estimate
	// serviceTime is the median time at an upstream: the latency of a response without queueing.
	serviceTime *quantiler.Estimate
}

// observe records the total latency of a response and the part of it spent at the upstream.
func (l *routeLatency) observe(total, serviceTime time.Duration) {
	l.high.Observe(total)
	l.median.Observe(total)
	l.serviceTime.Observe(serviceTime)
}

func (l *latencyEstimates) forCall(call *Call) *routeLatency {
	key := call.Service + "/" + call.Route
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.routes == nil {
		l.routes = make(map[string]*routeLatency)
	}
	estimate, ok := l.routes[key]
	if !ok {
		estimate = &routeLatency{
			high: quantiler.New(hedgeQuantile), median: quantiler.New(medianQuantile), serviceTime: quantiler.New(medianQuantile),
		}
		l.routes[key] = estimate
	}
	return estimate
}

// hedge is a second attempt that starts if the first is overdue.
type hedge struct {
	call    *Call
	exclude []string
	// need is what the call required when its first attempt was sent.
	need    router.Need
	outcome chan carrier.Outcome
	req     *fasthttp.Request
	resp    *fasthttp.Response
	// cancelFirst cancels the first attempt.
	cancelFirst context.CancelFunc
	// firstTarget is the node of the first attempt.
	firstTarget string
	ctx         context.Context

	mu        sync.Mutex
	firstDone bool
	started   bool
}

// hedgeDelay returns the time after which the first attempt of a call is overdue: the high latency quantile of
// its route, or less if a hedge would otherwise miss the target latency. While there are too few samples it
// returns the target latency, or zero if the route sets none.
func (d *Dispatcher) hedgeDelay(call *Call) time.Duration {
	estimates := d.latencies.forCall(call)
	high, median := estimates.high.Value(), estimates.median.Value()
	if call.TargetLatency == 0 {
		return high
	}
	if high == 0 {
		return call.TargetLatency
	}
	latestStart := call.TargetLatency - time.Duration(hedgeDurationFactor*float64(median))
	return min(high, max(latestStart, time.Duration(minHedgeDelayFactor*float64(median))))
}

// sendHedged sends an attempt, and a hedge to another target if the first attempt is overdue. The first successful
// response wins and the other attempt is cancelled.
func (d *Dispatcher) sendHedged(ctx context.Context, call *Call, p *CallProgress, target gossiper.Member, optional bool, req *fasthttp.Request, resp *fasthttp.Response) carrier.Outcome {
	// Nested calls are not hedged, because the hedges of each level would multiply.
	if !call.Idempotent || call.Depth > 0 || p.Runs+1 >= call.Attempts {
		outcome := d.sendAttempt(ctx, call, target, d.nextAttempt(call, p, optional), req, resp)
		p.quota.spendToken(&outcome)
		return outcome
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	secondCtx, cancelSecond := context.WithCancel(ctx)
	defer cancelSecond()
	h := &hedge{
		call: call, ctx: secondCtx, exclude: append([]string{target.Name}, p.excluded...),
		outcome: make(chan carrier.Outcome, 1), req: &fasthttp.Request{}, resp: &fasthttp.Response{},
		cancelFirst: cancelFirst, firstTarget: target.Name, need: d.need(call, p),
	}
	req.Header.CopyTo(&h.req.Header)
	// The attempts share the body, which nothing changes.
	h.req.SetBodyRaw(req.Body())
	if delay := d.hedgeDelay(call); delay > 0 {
		timer := d.Clock.AfterFunc(max(delay, minHedgeDelay), func() {
			d.Targets.MarkOverdue(h.firstTarget)
			d.runHedge(h)
		})
		defer timer.Stop()
	}
	outcome := d.sendAttempt(firstCtx, call, target, d.nextAttempt(call, p, optional), req, resp)
	p.quota.spendToken(&outcome)
	if !h.endFirst() {
		return outcome
	}
	p.Hedged = true
	if isSuccess(&outcome, resp) {
		return outcome
	}
	secondOutcome := <-h.outcome
	p.countArrival(&secondOutcome)
	if isSuccess(&secondOutcome, h.resp) || (outcome.IsNotRun() && !secondOutcome.IsNotRun()) {
		h.resp.CopyTo(resp)
		return secondOutcome
	}
	return outcome
}

func isSuccess(outcome *carrier.Outcome, resp *fasthttp.Response) bool {
	return outcome.Refusal == nil && !isErrorResponse(resp)
}

// endFirst records that the first attempt has ended. It reports whether the hedge has started.
func (h *hedge) endFirst() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.firstDone = true
	return h.started
}

// start marks the hedge as started. It reports false if the first attempt has ended or the hedge has already
// started.
func (h *hedge) start() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstDone || h.started {
		return false
	}
	h.started = true
	return true
}

// runHedge sends the hedge if the retry budget and the workspace's quota allow it. The attempt is optional, so that a target takes it only if
// it can start it at once. If a target hands it back, or refuses it because of its upstream's limit on repeats,
// runHedge picks another one, up to maxHedgeAttempts.
func (d *Dispatcher) runHedge(h *hedge) {
	if !d.Retries.Spend(h.call.Neighbour) {
		d.reportRetryRefused(h.call, h.firstTarget, meter.RetryRefusalBudget)
		return
	}
	var quota quotaUse
	if !d.takeRetryToken(h.ctx, h.call, &quota, true, h.firstTarget) {
		return
	}
	defer d.returnToken(h.call, &quota)
	if !h.start() {
		d.Retries.Refund(h.call.Neighbour)
		return
	}
	var outcome carrier.Outcome
	for range maxHedgeAttempts {
		target, ok := d.Targets.Pick(h.need, h.exclude)
		if !ok {
			outcome.Refusal = noUpstreamRefusal(h.call)
			break
		}
		h.exclude = append(h.exclude, target.Name)
		if d.OnHedge != nil {
			d.OnHedge(h.call, h.firstTarget, target.Name)
		}
		// The first attempt may have reached an upstream, so the hedge counts as a retry.
		attempt := d.newAttempt(h.call, h.call.tryFor(1), true, true)
		outcome = d.sendAttempt(h.ctx, h.call, target.Member, attempt, h.req, h.resp)
		quota.spendToken(&outcome)
		if !isHandedBack(&outcome) && !isOverBudget(&outcome) || quota.isSpent {
			break
		}
	}
	if outcome.Reached() {
		d.Meter.Retried(meter.RetryHedge)
	} else {
		d.Retries.Refund(h.call.Neighbour)
	}
	success := isSuccess(&outcome, h.resp)
	if success {
		d.Meter.Event("hedges_won")
	}
	h.outcome <- outcome
	if success {
		h.cancelFirst()
	}
}
