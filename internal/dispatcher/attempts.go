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

// CallProgress is the state of one call across its attempts.
type CallProgress struct {
	// Arrivals is the number of attempts that reached an upstream or may have.
	Arrivals int
	// HandBacks is the number of attempts that a node handed back.
	HandBacks int
	// Hedged is true if a hedge was started.
	Hedged bool
	// Load, LoadAge and Slow are what this node knew of the target of the last attempt when it picked it.
	Load    float64
	LoadAge time.Duration
	Slow    bool
	// OverBudget is the number of attempts that were refused because the upstream had reached its limit on
	// repeats, and then retried.
	OverBudget int
	// QueueFullRefusals is the number of attempts that were refused because of a full queue, and then retried.
	QueueFullRefusals int
	// RateLimited is the number of attempts that were refused because of their upstream's rate limit, and then retried.
	RateLimited int
	// Runs is the number of attempts that an upstream may have run.
	Runs int
	// Left is the number of attempts that went to another data centre.
	Left int
	// Target is the node of the last attempt.
	Target string
	// AttemptCount is the number of attempts without hedges.
	AttemptCount int

	// handedBack are the nodes that have handed the call back.
	handedBack []string
	// excluded are the nodes that the call is not sent to again.
	excluded []string
	// quota is the token of the first attempt, and of each one after an attempt that has reached an upstream. Hedges take their own.
	quota quotaUse
}

// runAttempts sends attempts of the call until one is not retried, and returns its refusal, or nil if resp holds
// the response.
func (d *Dispatcher) runAttempts(ctx context.Context, call *Call, p *CallProgress, req *fasthttp.Request, resp *fasthttp.Response) *refuser.Refusal {
	if !call.BelowRetry {
		d.Retries.Earn(call.Neighbour)
	}
	var outcome carrier.Outcome
	var saved savedOutcome
	for {
		choice, optional, ok := d.pickTarget(call, p)
		if !ok {
			if p.AttemptCount == 0 {
				outcome.Refusal = noUpstreamRefusal(call)
			}
			break
		}
		p.AttemptCount++
		p.Target = choice.Name
		p.Load, p.LoadAge, p.Slow = choice.Load, choice.LoadAge, choice.Slow
		if choice.Leaves {
			p.Left++
		}
		outcome = d.sendHedged(ctx, call, p, choice.Member, optional, req, resp)
		p.countArrival(&outcome)
		reason, retryable := d.retryReason(call, p, &outcome, resp)
		if !retryable && isOverBudget(&outcome) {
			d.reportRetryRefused(call, p.Target, meter.RetryRefusalUpstreamBudget)
		}
		if !retryable || !d.admitRetry(ctx, call, p, &outcome) {
			break
		}
		p.recordRetried(choice.Name, &outcome)
		saved.save(&outcome, resp)
		d.Meter.Retried(reason)
	}
	saved.restore(&outcome, resp)
	d.recordOutcome(call, &outcome, resp)
	d.setRetryAfter(call, outcome.Refusal)
	return outcome.Refusal
}

// savedOutcome holds the outcome of the last attempt that an upstream may have run, while the call is retried.
type savedOutcome struct {
	// response is nil if nothing is saved.
	response *fasthttp.Response
	outcome  carrier.Outcome
}

// save keeps the outcome of an attempt, unless the attempt is known not to have run.
func (s *savedOutcome) save(outcome *carrier.Outcome, resp *fasthttp.Response) {
	if outcome.IsNotRun() {
		return
	}
	s.outcome = *outcome
	s.response = &fasthttp.Response{}
	resp.CopyTo(s.response)
}

// restore replaces the outcome of a retry that has not run with the saved one. Otherwise the caller would be told
// that its request has not run, although an earlier attempt may have.
func (s *savedOutcome) restore(outcome *carrier.Outcome, resp *fasthttp.Response) {
	if s.response == nil || !outcome.IsNotRun() {
		return
	}
	*outcome = s.outcome
	s.response.CopyTo(resp)
}

const (
	// minRetryAfter gives a full upstream time to work off its queue.
	minRetryAfter = 300 * time.Millisecond
	// minQuotaRetryAfter is the least time after which a caller beyond its quota is told to retry, so that its retries leave time for
	// tokens to be refilled.
	minQuotaRetryAfter = 20 * time.Millisecond
	// usefulShare is the part of the remaining useful time after which such a caller is told to retry: its next answer is then still in
	// time, also with the jitter.
	usefulShare = 0.5
	// retryAfterDivisor limits the time after which a caller is told to retry, to 1/3 of its remaining time.
	retryAfterDivisor = 3
)

// setRetryAfter sets when the caller of a refused call should retry: with random jitter, so that callers don't
// retry all at once, and early enough to be served before the caller gives up. A call that an upstream has shed although
// it had room can be retried soon, at another upstream, and one beyond its quota when there is a token.
func (d *Dispatcher) setRetryAfter(call *Call, refusal *refuser.Refusal) {
	if refusal == nil || refusal.RetryAfter == 0 {
		return
	}
	retryAfter := refusal.RetryAfter
	switch refusal.Reason {
	case refuser.ReasonShed:
	case refuser.ReasonQuota:
		retryAfter = d.quotaRetryAfter(call, retryAfter)
	default:
		retryAfter = max(retryAfter, minRetryAfter)
	}
	retryAfter += rand.N(retryAfter / 2)
	remaining := call.CallerDeadline.Sub(d.Clock.Now())
	refusal.RetryAfter = max(time.Millisecond, min(retryAfter, remaining/retryAfterDivisor))
}

// quotaRetryAfter returns when the caller of a call beyond its quota should retry: when the granters expect a token for it, or earlier
// if the answer would then not be of full use any more. The chance of a token is the same then, while a late retry takes a token
// from a request that would be answered in time. If the useful time is over, there is no reason to retry earlier.
func (d *Dispatcher) quotaRetryAfter(call *Call, expected time.Duration) time.Duration {
	if call.TargetLatency > 0 {
		if left := d.usefulTimeLeft(call); left > 0 {
			expected = min(expected, time.Duration(usefulShare*float64(left)))
		}
	}
	return max(minQuotaRetryAfter, expected)
}

// usefulTimeLeft returns how long the call can wait and still be answered within the target latency if it then takes as long as usual.
// It is negative if it can't.
func (d *Dispatcher) usefulTimeLeft(call *Call) time.Duration {
	median := d.latencies.forCall(call).median.Value()
	if median == 0 {
		median = call.TargetLatency / 2
	}
	return call.TargetLatency - median - d.Clock.Now().Sub(call.Started)
}

// pickTarget picks the next target and reports whether the attempt is optional. It is optional if there are other
// nodes left, including those that handed the call back, and if the target is believed to have free slots and its
// usual speed, or the attempt is the call's first. Otherwise, and after maxHandBacks hand-backs, the attempt is not
// optional and can go to a node that handed the call back.
func (d *Dispatcher) pickTarget(call *Call, p *CallProgress) (choice router.Choice, optional, ok bool) {
	if p.HandBacks < maxHandBacks {
		exclude := append(append([]string(nil), p.excluded...), p.handedBack...)
		if choice, ok := d.Targets.Pick(d.need(call, p), exclude); ok && (choice.Responsive || p.AttemptCount == 0) {
			return choice, choice.Alternatives > 0 || len(p.handedBack) > 0, true
		}
	}
	choice, ok = d.Targets.Pick(d.need(call, p), p.excluded)
	return choice, false, ok
}

// need returns what the call requires of its next target.
func (d *Dispatcher) need(call *Call, p *CallProgress) router.Need {
	need := router.Need{
		AllowedRegions: call.AllowedRegions, Service: call.Service, TargetLatency: call.TargetLatency, Draw: call.Draw,
		Refused: p.QueueFullRefusals > 0, Returned: p.Left > 0,
	}
	if d.WeighsWaits {
		need.UsefulWait = d.inTimeWait(call)
	}
	return need
}

// inTimeWait returns how long the call can wait in a queue and still be answered within the target latency, or zero if the
// route sets none. It goes by the service time: the total latency holds the waits that the decision is to shorten.
func (d *Dispatcher) inTimeWait(call *Call) time.Duration {
	if call.TargetLatency == 0 {
		return 0
	}
	serviceTime := d.latencies.forCall(call).serviceTime.Value()
	if serviceTime == 0 {
		serviceTime = call.TargetLatency / unknownServiceTimeDivisor
	}
	spent := time.Duration(serviceTimeFactor*float64(serviceTime)) + d.Clock.Now().Sub(call.Started)
	return max(minUsefulWait, call.TargetLatency-spent)
}

const (
	// serviceTimeFactor is the time to allow at the upstream, in median service times.
	serviceTimeFactor = 1.5
	// unknownServiceTimeDivisor gives the service time until one is known, as a part of the target latency.
	unknownServiceTimeDivisor = 3
)

// lateWaitFactor limits the wait of a call whose caller has no time to retry, in target latencies. A later
// response would also make the calling upstream late for its own callers and keep one of its slots in use.
const lateWaitFactor = 1.5

// minUsefulWait is the useful wait of an attempt whose response will be late in any case. Zero would mean that there is
// no target latency.
const minUsefulWait = time.Millisecond

// callerCanRetry reports whether the caller of a refused call has time left to retry and be served. An upstream
// that calls another service usually has not.
func (d *Dispatcher) callerCanRetry(call *Call) bool {
	return call.CallerDeadline.Sub(d.Clock.Now()) >= minRetryAfter+call.TargetLatency
}

// usefulWait returns how long the call can wait in a queue and still be answered in time, or zero if the route
// sets no target latency. A call whose caller has no time to retry can wait longer: it is better served late than
// refused.
func (d *Dispatcher) usefulWait(call *Call) time.Duration {
	if call.TargetLatency == 0 {
		return 0
	}
	if !d.callerCanRetry(call) {
		// Use the service time, not the total latency: under overload the latency is mostly waiting time, and
		// all calls would be given up.
		serviceTime, remaining := d.latencies.forCall(call).serviceTime.Value(), call.CallerDeadline.Sub(d.Clock.Now())
		if serviceTime == 0 {
			serviceTime = remaining / 4
		}
		return max(minUsefulWait, min(remaining-2*serviceTime, time.Duration(lateWaitFactor*float64(call.TargetLatency))))
	}
	return max(minUsefulWait, d.usefulTimeLeft(call))
}

// recordRetried records the outcome of an attempt that is retried.
func (p *CallProgress) recordRetried(target string, outcome *carrier.Outcome) {
	switch {
	case isHandedBack(outcome):
		p.HandBacks++
		p.handedBack = append(p.handedBack, target)
	case !isConnectionFault(outcome):
		if outcome.IsRefusedAs(refuser.ReasonQueueFull) {
			p.QueueFullRefusals++
		}
		if isOverBudget(outcome) {
			p.OverBudget++
		}
		if outcome.IsRefusedAs(refuser.ReasonRateLimit) {
			p.RateLimited++
		}
		p.excluded = append(p.excluded, target)
	}
}

// countArrival counts an attempt that reached an upstream, and whether the upstream may have run it.
func (p *CallProgress) countArrival(outcome *carrier.Outcome) {
	if !outcome.Reached() {
		return
	}
	p.Arrivals++
	if !outcome.IsNotRun() {
		p.Runs++
	}
}

func isHandedBack(outcome *carrier.Outcome) bool {
	return outcome.IsRefusedAs(refuser.ReasonBusy)
}

// isOverBudget reports whether a node refused a retry because its upstream has reached its limit on repeats.
func isOverBudget(outcome *carrier.Outcome) bool {
	return outcome.IsRefusedAs(refuser.ReasonRetryBudget)
}

func noUpstreamRefusal(call *Call) *refuser.Refusal {
	if len(call.AllowedRegions) > 0 {
		return refuser.NewWithRetryAfter(refuser.ReasonNoRegion, noUpstreamRetry, "no server of the service is ready in an allowed region")
	}
	return refuser.NewWithRetryAfter(refuser.ReasonNoUpstream, noUpstreamRetry, "no server of the service is ready")
}

// nextAttempt returns the next attempt of the call.
func (d *Dispatcher) nextAttempt(call *Call, p *CallProgress, optional bool) carrier.Attempt {
	return d.newAttempt(call, call.tryFor(p.Arrivals), optional, p.HandBacks > 0)
}

func (d *Dispatcher) newAttempt(call *Call, try carrier.Try, optional, handedOff bool) carrier.Attempt {
	return carrier.Attempt{
		Age:            d.Clock.Now().Sub(call.Started),
		AllowedRegions: call.AllowedRegions,
		Call:           call.ID,
		Caller:         call.Caller,
		RootCall:       call.RootCall,
		Depth:          call.Depth,
		HandedOff:      handedOff,
		Idempotent:     call.Idempotent,
		Key:            call.Key,
		Neighbour:      call.Neighbour,
		Optional:       optional,
		Rank:           call.Rank,
		RequestID:      call.RequestID,
		Service:        call.Service,
		SharesOf:       call.SharesOf,
		Try:            try,
		UsefulWait:     d.usefulWait(call),
		Workspace:      call.Workspace,
	}
}

// tryFor returns the kind of an attempt that follows the given number of arrivals at upstreams.
func (c *Call) tryFor(arrivals int) carrier.Try {
	switch {
	case c.BelowRetry:
		return carrier.TryBelowRetry
	case arrivals > 0:
		return carrier.TryRetry
	default:
		return carrier.TryFirst
	}
}

// sendAttempt sends the attempt to the target and records the outcome for later picks and attempts.
func (d *Dispatcher) sendAttempt(ctx context.Context, call *Call, target gossiper.Member, attempt carrier.Attempt, req *fasthttp.Request, resp *fasthttp.Response) carrier.Outcome {
	resp.Reset()
	d.Targets.RecordCallStart(target.Name)
	attempt.Conditions = d.Conditions.For(call.Service, target.Name)
	outcome := d.Sender.Send(ctx, target, attempt, req, resp, call.Deadline)
	if outcome.Condition != nil {
		d.Conditions.Record(call.Service, *outcome.Condition)
	}
	d.Targets.RecordCallEnd(target.Name, outcome.Load, isTargetFailure(&outcome, resp))
	return outcome
}

// isTargetFailure reports whether the outcome counts as a failure of the target.
func isTargetFailure(outcome *carrier.Outcome, resp *fasthttp.Response) bool {
	if outcome.Refusal == nil {
		return isErrorResponse(resp)
	}
	if isConnectionFault(outcome) {
		return false
	}
	switch outcome.Refusal.Reason {
	case refuser.ReasonBusy, refuser.ReasonCancelled, refuser.ReasonDeadline, refuser.ReasonEvacuated, refuser.ReasonPoison,
		refuser.ReasonQuarantined, refuser.ReasonQueueFull, refuser.ReasonRateLimit, refuser.ReasonRetryBudget:
		return false
	default:
		return true
	}
}

// isConnectionFault reports whether the attempt never reached the target although the target is healthy: the
// connection was lost or got no response, and the target has barred the attempt since.
func isConnectionFault(outcome *carrier.Outcome) bool {
	return outcome.IsNotRun() && outcome.IsRefusedAs(refuser.ReasonUpstreamLost)
}

func isErrorResponse(resp *fasthttp.Response) bool {
	switch resp.StatusCode() {
	case fasthttp.StatusInternalServerError, fasthttp.StatusBadGateway, fasthttp.StatusServiceUnavailable,
		fasthttp.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// retryReason reports whether a retry could help and is safe, and the reason for it.
func (d *Dispatcher) retryReason(call *Call, p *CallProgress, outcome *carrier.Outcome, resp *fasthttp.Response) (meter.RetryReason, bool) {
	refusal := outcome.Refusal
	switch {
	case refusal == nil:
		return meter.RetryFailed, call.Idempotent && isErrorResponse(resp)
	case refusal.Reason == refuser.ReasonBusy:
		return meter.RetryHandedBack, true
	case refusal.Reason == refuser.ReasonQueueFull && p.QueueFullRefusals < maxQueueFullRefusals && !d.callerCanRetry(call):
		return meter.RetryNotRun, true
	case refusal.Reason == refuser.ReasonQueueFull && d.canLeave(call, p):
		return meter.RetryElsewhere, true
	case refusal.Reason == refuser.ReasonRateLimit:
		return meter.RetryRateLimited, p.RateLimited < maxRateLimited
	case refusal.Reason == refuser.ReasonRetryBudget:
		return meter.RetryOverUpstreamBudget, p.OverBudget < maxOverBudget
	case refusal.IsNotRun():
		return meter.RetryNotRun, isLocalRefusal(refusal.Reason)
	default:
		return meter.RetryFailed, call.Idempotent && outcome.Lost && refusal.Reason != refuser.ReasonCancelled
	}
}

// canLeave reports whether the call, which its target has refused for lack of room, can be answered in time in another data
// centre. It leaves at most once.
func (d *Dispatcher) canLeave(call *Call, p *CallProgress) bool {
	if d.HasRoomElsewhere == nil || p.Left > 0 {
		return false
	}
	return d.HasRoomElsewhere(d.need(call, p), append([]string{p.Target}, p.excluded...))
}

// isLocalRefusal reports whether the reason applies to one node only. A refusal for lack of capacity does not: it
// reflects the queues of the whole service, and a retry would only add to the overload. retryReason makes an
// exception for callers that have no time to retry.
func isLocalRefusal(reason refuser.Reason) bool {
	switch reason {
	case refuser.ReasonDraining, refuser.ReasonEvacuated, refuser.ReasonNoUpstream, refuser.ReasonQuarantined,
		refuser.ReasonShed, refuser.ReasonUpstreamLost:
		return true
	default:
		return false
	}
}

// admitRetry reports whether the call's limits, the retry budget and the workspace's quota allow another attempt. The retry
// spends budget only if the last attempt reached an upstream or may have.
func (d *Dispatcher) admitRetry(ctx context.Context, call *Call, p *CallProgress, outcome *carrier.Outcome) bool {
	var reason meter.RetryRefusal
	switch {
	case outcome.RetrySpent:
		reason = meter.RetryRefusalNested
	case p.AttemptCount >= maxCallAttempts || p.Runs >= call.Attempts:
		reason = meter.RetryRefusalAttempts
	case !d.Clock.Now().Before(call.Deadline):
		reason = meter.RetryRefusalDeadline
	case outcome.Reached() && !d.Retries.Spend(call.Neighbour):
		reason = meter.RetryRefusalBudget
	default:
		return d.takeRetryToken(ctx, call, &p.quota, outcome.Reached(), p.Target)
	}
	d.reportRetryRefused(call, p.Target, reason)
	return false
}

func (d *Dispatcher) reportRetryRefused(call *Call, target string, reason meter.RetryRefusal) {
	d.Meter.RetryRefused(reason)
	if d.OnRetryRefused != nil {
		d.OnRetryRefused(call, target, reason)
	}
}

func (d *Dispatcher) recordOutcome(call *Call, outcome *carrier.Outcome, resp *fasthttp.Response) {
	failed := outcome.Refusal != nil || isErrorResponse(resp)
	if failed && call.ParentCall != "" {
		d.OnNestedFailure(call.ParentCall)
	}
	if outcome.Refusal == nil {
		total := d.Clock.Now().Sub(call.Started)
		if !failed {
			d.latencies.forCall(call).observe(total, outcome.UpstreamTime)
		}
		d.Meter.Answered(call.Service, call.Rank, total, total-outcome.UpstreamTime)
	}
}
