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
)

const (
	// hedgeFloor is how many usual latencies a try gets at least before the next one begins.
	hedgeFloor    = 2.5
	hedgeQuantile = 0.98
	// hedgeRoom is how many usual latencies a second try needs to be in time.
	hedgeRoom     = 1.5
	maxHedgeTries = 3
	minHedgeDelay = 5 * time.Millisecond
	usualQuantile = 0.5
)

// latencies estimates the usual and the high latency of each route's answers.
type latencies struct {
	mu     sync.Mutex
	routes map[string]*latency
}

// latency estimates quantiles of one route.
type latency struct {
	high  *quantiler.Estimate
	usual *quantiler.Estimate
	// work is the usual time at an upstream: what an answer takes where no queue is before it.
	work *quantiler.Estimate
}

// observe takes an answer's whole latency and the part of it at the upstream.
func (l *latency) observe(taken, used time.Duration) {
	l.high.Observe(taken)
	l.usual.Observe(taken)
	l.work.Observe(used)
}

func (l *latencies) of(call *Call) *latency {
	key := call.Service + "/" + call.Route
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.routes == nil {
		l.routes = make(map[string]*latency)
	}
	estimate, ok := l.routes[key]
	if !ok {
		estimate = &latency{
			high: quantiler.New(hedgeQuantile), usual: quantiler.New(usualQuantile), work: quantiler.New(usualQuantile),
		}
		l.routes[key] = estimate
	}
	return estimate
}

// hedge is a second try that starts when the first is overdue or its upstream has turned slow.
type hedge struct {
	call    *Call
	exclude []string
	outcome chan carrier.Outcome
	req     *fasthttp.Request
	resp    *fasthttp.Response
	// stopFirst cancels the first try.
	stopFirst context.CancelFunc
	target    string
	ctx       context.Context

	mu      sync.Mutex
	over    bool
	started bool
}

// hedges are the second tries that may be begun, by the node of the first.
type hedges struct {
	mu       sync.Mutex
	byTarget map[string]map[*hedge]struct{}
}

func (h *hedges) add(one *hedge) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byTarget == nil {
		h.byTarget = make(map[string]map[*hedge]struct{})
	}
	if h.byTarget[one.target] == nil {
		h.byTarget[one.target] = make(map[*hedge]struct{})
	}
	h.byTarget[one.target][one] = struct{}{}
}

func (h *hedges) remove(one *hedge) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byTarget[one.target], one)
	if len(h.byTarget[one.target]) == 0 {
		delete(h.byTarget, one.target)
	}
}

func (h *hedges) at(target string) []*hedge {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []*hedge
	for one := range h.byTarget[target] {
		all = append(all, one)
	}
	return all
}

// LoadSeen takes a node's word on the load of its upstream. When that has turned slow, the calls that
// wait for it try elsewhere.
func (d *Dispatcher) LoadSeen(target string, load carrier.Load) {
	if !d.Targets.LoadSeen(target, load) {
		return
	}
	for _, h := range d.hedges.at(target) {
		// A relaxed call has time to wait for the end of the slow span; its timer looks after it.
		if !d.need(h.call).Relaxed {
			go d.runHedge(h, meter.RetrySlow)
		}
	}
}

// hedgeDelay returns after what time the first try of a call is overdue, or zero while too little is
// known: at the high quantile of its route, or earlier if a second try would not be in time any more.
func (d *Dispatcher) hedgeDelay(call *Call) time.Duration {
	known := d.latencies.of(call)
	high, usual := known.high.Value(), known.usual.Value()
	if call.Target == 0 {
		return high
	}
	if high == 0 {
		return call.Target
	}
	last := call.Target - time.Duration(hedgeRoom*float64(usual))
	return min(high, max(last, time.Duration(hedgeFloor*float64(usual))))
}

// tryHedged makes a try, and a second one at another target if the first is overdue or its upstream
// turns slow. The first good answer wins and the other try is cancelled.
func (d *Dispatcher) tryHedged(ctx context.Context, call *Call, j *Journey, target gossiper.Member, optional bool, req *fasthttp.Request, resp *fasthttp.Response) carrier.Outcome {
	// Calls that other calls make are not hedged, because hedges at each level would multiply.
	if !call.Idempotent || call.Depth > 0 || j.Runs+1 >= call.Attempts {
		return d.try(ctx, call, target, d.attempt(call, j, optional), req, resp)
	}
	first, stopFirst := context.WithCancel(ctx)
	defer stopFirst()
	second, stopSecond := context.WithCancel(ctx)
	defer stopSecond()
	h := &hedge{
		call: call, ctx: second, exclude: append([]string{target.Name}, j.failed...),
		outcome: make(chan carrier.Outcome, 1), req: &fasthttp.Request{}, resp: &fasthttp.Response{},
		stopFirst: stopFirst, target: target.Name,
	}
	req.CopyTo(h.req)
	d.hedges.add(h)
	defer d.hedges.remove(h)
	if delay := d.hedgeDelay(call); delay > 0 {
		timer := d.Clock.AfterFunc(max(delay, minHedgeDelay), func() {
			d.Targets.Overdue(h.target)
			d.runHedge(h, meter.RetryHedge)
		})
		defer timer.Stop()
	}
	outcome := d.try(first, call, target, d.attempt(call, j, optional), req, resp)
	if !h.finish() {
		return outcome
	}
	j.Hedged = true
	if isGood(&outcome, resp) {
		return outcome
	}
	other := <-h.outcome
	j.count(&other)
	if isGood(&other, h.resp) || (outcome.IsNotRun() && !other.IsNotRun()) {
		h.resp.CopyTo(resp)
		return other
	}
	return outcome
}

func isGood(outcome *carrier.Outcome, resp *fasthttp.Response) bool {
	return outcome.Refusal == nil && !isErrorAnswer(resp)
}

// finish marks the first try as over. It reports whether the second has started.
func (h *hedge) finish() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.over = true
	return h.started
}

// begin reports whether the second try is to be made: the first is not over and no other one has begun.
func (h *hedge) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over || h.started {
		return false
	}
	h.started = true
	return true
}

// runHedge makes the second try if the budget allows and a target takes it at once.
func (d *Dispatcher) runHedge(h *hedge, reason meter.RetryReason) {
	if !d.Retries.Spend(h.call.Neighbour) {
		d.notRetried(h.call, h.target, meter.RetryRefusalBudget)
		return
	}
	if !h.begin() {
		d.Retries.Refund(h.call.Neighbour)
		return
	}
	var outcome carrier.Outcome
	for range maxHedgeTries {
		target, ok := d.Targets.Pick(d.need(h.call), h.exclude)
		if !ok {
			outcome.Refusal = noUpstream()
			break
		}
		h.exclude = append(h.exclude, target.Name)
		if d.Hedged != nil {
			d.Hedged(h.call, h.target, target.Name, reason)
		}
		// The first try may have arrived.
		attempt := d.newAttempt(h.call, h.call.tryAfter(1), true, true)
		outcome = d.try(h.ctx, h.call, target.Member, attempt, h.req, h.resp)
		if !isHandBack(&outcome) && !isOverBudget(&outcome) {
			break
		}
	}
	if outcome.Reached() {
		d.Meter.Retried(reason)
	} else {
		d.Retries.Refund(h.call.Neighbour)
	}
	good := isGood(&outcome, h.resp)
	if good {
		d.Meter.Event("hedges_won")
	}
	h.outcome <- outcome
	if good {
		h.stopFirst()
	}
}
