package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/meter"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/router"
)

// Journey is the way of one call through its tries.
type Journey struct {
	// Arrivals is the number of tries that an upstream got.
	Arrivals int
	// HandBacks is the number of tries that a node handed back.
	HandBacks int
	// Hedged is true where a second try was begun beside the first.
	Hedged bool
	// Load, LoadAge and Slow are what was believed of the target of the last try.
	Load    float64
	LoadAge time.Duration
	Slow    bool
	// OverBudget is the number of nodes that took no further try because their upstream has had as many
	// repeats as it may.
	OverBudget int
	// Refusals is the number of nodes that had no room in their queue.
	Refusals int
	// Runs is the number of tries that an upstream may have run.
	Runs int
	// Target is the node of the last try.
	Target string
	// Tries is the number of tries, hedges left out.
	Tries int

	// busy are the nodes that have handed the call back.
	busy []string
	// failed are the nodes that it is not sent to again.
	failed []string
}

// run makes tries until one is final.
func (d *Dispatcher) run(ctx context.Context, call *Call, j *Journey, req *fasthttp.Request, resp *fasthttp.Response) *refuser.Refusal {
	if !call.BelowFurther {
		d.Retries.Earn(call.Neighbour)
	}
	var outcome carrier.Outcome
	var ran kept
	for {
		choice, optional, ok := d.choose(call, j)
		if !ok {
			if j.Tries == 0 {
				outcome.Refusal = noUpstream()
			}
			break
		}
		j.Tries++
		j.Target = choice.Name
		j.Load, j.LoadAge, j.Slow = choice.Load, choice.LoadAge, choice.Slow
		outcome = d.tryHedged(ctx, call, j, choice.Member, optional, req, resp)
		j.count(&outcome)
		reason, again := d.again(call, j, &outcome, resp)
		if !again && isOverBudget(&outcome) {
			d.notRetried(call, j.Target, meter.RetryRefusalUpstream)
		}
		if !again || !d.mayRetry(call, j, &outcome) {
			break
		}
		j.note(choice.Name, &outcome)
		ran.keep(&outcome, resp)
		d.Meter.Retried(reason)
	}
	ran.restore(&outcome, resp)
	d.finish(call, &outcome, resp)
	d.advise(call, outcome.Refusal)
	return outcome.Refusal
}

// kept is how the last try ended that an upstream may have run, while further ones are made.
type kept struct {
	// answer is nil where nothing is kept.
	answer  *fasthttp.Response
	outcome carrier.Outcome
}

// keep takes the outcome of a try unless the try has certainly not run.
func (k *kept) keep(outcome *carrier.Outcome, resp *fasthttp.Response) {
	if outcome.IsNotRun() {
		return
	}
	k.outcome = *outcome
	k.answer = &fasthttp.Response{}
	resp.CopyTo(k.answer)
}

// restore puts what is kept in place of a further try that has not run: the caller must not be told that its
// request has not.
func (k *kept) restore(outcome *carrier.Outcome, resp *fasthttp.Response) {
	if k.answer == nil || !outcome.IsNotRun() {
		return
	}
	*outcome = k.outcome
	k.answer.CopyTo(resp)
}

const (
	// minRetryAfter gives an upstream that is full the time to work its queue off.
	minRetryAfter = 300 * time.Millisecond
	// retryPart is the part of the caller's time that may pass before it comes back.
	retryPart = 3
)

// advise tells the caller of a refusal when to come back: not all at once, and early enough to be
// served.
func (d *Dispatcher) advise(call *Call, refusal *refuser.Refusal) {
	if refusal == nil || refusal.RetryAfter == 0 {
		return
	}
	wanted := max(refusal.RetryAfter, minRetryAfter)
	wanted += rand.N(wanted / 2)
	left := call.Until.Sub(d.Clock.Now())
	refusal.RetryAfter = max(time.Millisecond, min(wanted, left/retryPart))
}

// choose picks the next target. The attempt is optional while the call has others to go to that are
// believed to have room and their usual speed.
func (d *Dispatcher) choose(call *Call, j *Journey) (choice router.Choice, optional, ok bool) {
	if j.HandBacks < maxHandBacks {
		exclude := append(append([]string(nil), j.failed...), j.busy...)
		if choice, ok := d.Targets.Pick(d.need(call), exclude); ok && (choice.Prompt || j.Tries == 0) {
			return choice, choice.Others > 0 || len(j.busy) > 0, true
		}
	}
	choice, ok = d.Targets.Pick(d.need(call), j.failed)
	return choice, false, ok
}

// slowSpan is for how long an upstream that shares its VM can be slow: two spans of half a second.
const slowSpan = time.Second

// need returns what the call asks of its target.
func (d *Dispatcher) need(call *Call) router.Need {
	work := d.latencies.of(call).work.Value()
	left := call.Target - d.Clock.Now().Sub(call.Started) - work
	return router.Need{Relaxed: work > 0 && left > slowSpan, Service: call.Service, Target: call.Target}
}

// patience is how many target latencies a call waits whose caller can't come back: what is later is late
// for the callers of the upstream that makes it as well, and keeps a slot there in use.
const patience = 1.5

// minUseful tells a node that the answer will be late in any case.
const minUseful = time.Millisecond

// canComeBack reports whether the caller of a refused call would have the time to be served later. An
// upstream that calls another has not.
func (d *Dispatcher) canComeBack(call *Call) bool {
	return call.Until.Sub(d.Clock.Now()) >= minRetryAfter+call.Target
}

// useful returns how long the call may wait for its start to be answered in time, or zero. A caller that
// has no time to come back is better served late than refused.
func (d *Dispatcher) useful(call *Call) time.Duration {
	if call.Target == 0 {
		return 0
	}
	known := d.latencies.of(call)
	now := d.Clock.Now()
	if !d.canComeBack(call) {
		// The whole latency would not do: in a flood it is made of waits, and all would be given up.
		work, left := known.work.Value(), call.Until.Sub(now)
		if work == 0 {
			work = left / 4
		}
		return max(minUseful, min(left-2*work, time.Duration(patience*float64(call.Target))))
	}
	usual := known.usual.Value()
	if usual == 0 {
		usual = call.Target / 2
	}
	return max(minUseful, call.Target-usual-now.Sub(call.Started))
}

// note books a try that is followed by another.
func (j *Journey) note(target string, outcome *carrier.Outcome) {
	switch {
	case isHandBack(outcome):
		j.HandBacks++
		j.busy = append(j.busy, target)
	case !isConnectionFault(outcome):
		if outcome.IsRefusedAs(refuser.ReasonQueueFull) {
			j.Refusals++
		}
		if isOverBudget(outcome) {
			j.OverBudget++
		}
		j.failed = append(j.failed, target)
	}
}

// count books whether an upstream has got the try and may have run it.
func (j *Journey) count(outcome *carrier.Outcome) {
	if !outcome.Reached() {
		return
	}
	j.Arrivals++
	if !outcome.IsNotRun() {
		j.Runs++
	}
}

func isHandBack(outcome *carrier.Outcome) bool {
	return outcome.IsRefusedAs(refuser.ReasonBusy)
}

// isOverBudget reports whether a node took no further try because its upstream has had as many repeats as it may.
func isOverBudget(outcome *carrier.Outcome) bool {
	return outcome.IsRefusedAs(refuser.ReasonRetryBudget)
}

func noUpstream() *refuser.Refusal {
	return refuser.Later(refuser.ReasonNoUpstream, noUpstreamRetry, "no server of the service is ready")
}

// attempt returns the next attempt of the call on its journey.
func (d *Dispatcher) attempt(call *Call, j *Journey, optional bool) carrier.Attempt {
	return d.newAttempt(call, call.tryAfter(j.Arrivals), optional, j.HandBacks > 0)
}

func (d *Dispatcher) newAttempt(call *Call, try carrier.Try, optional, handedOn bool) carrier.Attempt {
	return carrier.Attempt{
		Age:        d.Clock.Now().Sub(call.Started),
		Call:       call.ID,
		Caller:     call.Caller,
		Chain:      call.Chain,
		Depth:      call.Depth,
		HandedOn:   handedOn,
		Idempotent: call.Idempotent,
		Key:        call.Key,
		Neighbour:  call.Neighbour,
		Optional:   optional,
		Rank:       call.Rank,
		Relaxed:    d.need(call).Relaxed,
		Request:    call.Request,
		Service:    call.Service,
		Try:        try,
		Useful:     d.useful(call),
	}
}

// tryAfter tells of an attempt that follows the given number of arrivals whether it is the call's first.
func (c *Call) tryAfter(arrivals int) carrier.Try {
	switch {
	case c.BelowFurther:
		return carrier.TryBelowFurther
	case arrivals > 0:
		return carrier.TryFurther
	default:
		return carrier.TryFirst
	}
}

// try sends the attempt to the target and learns from its outcome.
func (d *Dispatcher) try(ctx context.Context, call *Call, target gossiper.Member, attempt carrier.Attempt, req *fasthttp.Request, resp *fasthttp.Response) carrier.Outcome {
	resp.Reset()
	d.Targets.Sent(target.Name)
	outcome := d.Sender.Send(ctx, target, attempt, req, resp, call.Deadline)
	d.Targets.Learn(target.Name, outcome.Load, isFailure(&outcome, resp))
	return outcome
}

// isFailure reports whether the outcome speaks against the target.
func isFailure(outcome *carrier.Outcome, resp *fasthttp.Response) bool {
	if outcome.Refusal == nil {
		return isErrorAnswer(resp)
	}
	if isConnectionFault(outcome) {
		return false
	}
	switch outcome.Refusal.Reason {
	case refuser.ReasonBusy, refuser.ReasonCancelled, refuser.ReasonDeadline, refuser.ReasonPoison,
		refuser.ReasonQuarantined, refuser.ReasonQueueFull, refuser.ReasonRetryBudget:
		return false
	default:
		return true
	}
}

// isConnectionFault reports whether the attempt never reached the target although the target is
// well: the connection was lost or went silent, and the target has barred the attempt since.
func isConnectionFault(outcome *carrier.Outcome) bool {
	return outcome.IsNotRun() && outcome.IsRefusedAs(refuser.ReasonUpstreamLost)
}

func isErrorAnswer(resp *fasthttp.Response) bool {
	switch resp.StatusCode() {
	case fasthttp.StatusInternalServerError, fasthttp.StatusBadGateway, fasthttp.StatusServiceUnavailable,
		fasthttp.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// again reports whether a further try could help and is safe, and why.
func (d *Dispatcher) again(call *Call, j *Journey, outcome *carrier.Outcome, resp *fasthttp.Response) (meter.RetryReason, bool) {
	refusal := outcome.Refusal
	switch {
	case refusal == nil:
		return meter.RetryFailed, call.Idempotent && isErrorAnswer(resp)
	case refusal.Reason == refuser.ReasonBusy:
		return meter.RetryHandedBack, true
	case refusal.Reason == refuser.ReasonQueueFull && j.Refusals < maxRefusals && !d.canComeBack(call):
		return meter.RetryNotRun, true
	case refusal.Reason == refuser.ReasonRetryBudget:
		return meter.RetryElsewhere, j.OverBudget < maxOverBudget
	case refusal.IsNotRun():
		return meter.RetryNotRun, isLocalRefusal(refusal.Reason)
	default:
		return meter.RetryFailed, call.Idempotent && outcome.Lost && refusal.Reason != refuser.ReasonCancelled
	}
}

// isLocalRefusal reports whether the reason holds for one node only. A refusal for want of room is
// the judgement of the service's queues: another try would only add to the flood, unless the caller has
// no other chance.
func isLocalRefusal(reason refuser.Reason) bool {
	switch reason {
	case refuser.ReasonDraining, refuser.ReasonNoUpstream, refuser.ReasonQuarantined, refuser.ReasonShed,
		refuser.ReasonUpstreamLost:
		return true
	default:
		return false
	}
}

// mayRetry reports whether the call can have another try. One that reached no upstream costs nothing
// of the budget.
func (d *Dispatcher) mayRetry(call *Call, j *Journey, outcome *carrier.Outcome) bool {
	var reason meter.RetryRefusal
	switch {
	case outcome.Spent:
		reason = meter.RetryRefusalNested
	case j.Tries >= maxTries || j.Runs >= call.Attempts:
		reason = meter.RetryRefusalTries
	case !d.Clock.Now().Before(call.Deadline):
		reason = meter.RetryRefusalDeadline
	case outcome.Reached() && !d.Retries.Spend(call.Neighbour):
		reason = meter.RetryRefusalBudget
	default:
		return true
	}
	d.notRetried(call, j.Target, reason)
	return false
}

func (d *Dispatcher) notRetried(call *Call, target string, reason meter.RetryRefusal) {
	d.Meter.RetryRefused(reason)
	if d.NotRetried != nil {
		d.NotRetried(call, target, reason)
	}
}

func (d *Dispatcher) finish(call *Call, outcome *carrier.Outcome, resp *fasthttp.Response) {
	failed := outcome.Refusal != nil || isErrorAnswer(resp)
	if failed && call.Parent != "" {
		d.FailedBelow(call.Parent)
	}
	if outcome.Refusal == nil {
		total := d.Clock.Now().Sub(call.Started)
		if !failed {
			d.latencies.of(call).observe(total, outcome.Used)
		}
		d.Meter.Answered(call.Service, call.Rank, total, total-outcome.Used)
	}
}
