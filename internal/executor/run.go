package executor

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/limiter"
	"github.com/marigoldrelay/marigoldrelay/internal/quarantiner"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/scheduler"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	// suspectRetryInterval and maxSuspectRetries limit how long a crash suspect waits for another one to end.
	suspectRetryInterval = 5 * time.Millisecond
	maxSuspectRetries    = 100
	// retrySpentTTL is how long the failure of a nested call is remembered for its parent call.
	retrySpentTTL = 30 * time.Second
)

// run sends the attempt to the upstream in the slot that w holds.
func (e *Executor) run(ctx context.Context, x *Execution, w *scheduler.Waiter) carrier.Outcome {
	atStart, admitted := e.registerRun(x)
	for retries := 0; !admitted && retries < maxSuspectRetries; retries++ {
		timekeeper.Sleep(ctx, e.Clock, suspectRetryInterval)
		atStart, admitted = e.registerRun(x)
	}
	if !admitted {
		e.release(w)
		return carrier.Outcome{Refusal: refuser.New(refuser.ReasonQuarantined, "another request that was part of a crash runs here")}
	}
	if atStart.run == nil {
		e.release(w)
		return carrier.Outcome{Refusal: e.goneRefusal(x)}
	}
	undo, refusal := e.recordArrival(x)
	if refusal != nil {
		e.abortRun(x, w)
		return carrier.Outcome{Refusal: refusal}
	}
	if !x.Attempt.Idempotent {
		// A non-idempotent request is not cancelled once it has started, so that its outcome can be queried.
		uncancelled, release := e.withoutCancel(ctx)
		defer release()
		ctx = uncancelled
	}
	out := &fasthttp.Request{}
	x.Request.Header.CopyTo(&out.Header)
	out.SetBodyRaw(x.Request.Body())
	e.AddContext(&x.Attempt, out, atStart.process.Instance, x.Deadline)
	started := e.markSent(w)
	err := e.Upstream.Do(ctx, out, x.Response, x.Deadline)
	upstreamTime := e.Clock.Now().Sub(started)
	outcome := carrier.Outcome{Arrived: !errors.Is(err, forwarder.ErrNotSent), UpstreamTime: upstreamTime}
	if outcome.Arrived {
		e.Meter.Arrived(x.Attempt.Service, x.Attempt.Try.String())
	} else {
		undo()
	}
	if err != nil {
		outcome.Refusal = e.refusalFor(ctx, x, &atStart, err)
		outcome.Lost = x.Attempt.Idempotent && !outcome.Refusal.IsNotRun()
		x.Response.Reset()
	}
	if err == nil {
		e.clearSuspicion(x)
	}
	e.finishRun(x, w, limiter.Sample{
		Class: x.Attempt.Rank, Latency: upstreamTime, Result: e.classifyResult(x.Response, err), Running: atStart.running,
		Steady: err == nil && atStart.steady,
	})
	return outcome
}

// markSent records that the request of the waiter is sent to the upstream now, and returns the time.
func (e *Executor) markSent(w *scheduler.Waiter) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	e.schedule.SendNow(now, w)
	return now
}

// clearSuspicion records that a request has run without a crash. If the request was a crash suspect, the
// other nodes of the service are notified.
func (e *Executor) clearSuspicion(x *Execution) {
	e.mu.Lock()
	request := e.inFlight[x]
	clear(request.run.lost)
	e.mu.Unlock()
	fingerprint := request.fingerprint
	request.run.safe.Add(fingerprint)
	if e.Quarantiner.IsEmpty() {
		return
	}
	if e.Quarantiner.Clear(fingerprint) {
		go e.Links.ReportCleared(context.Background(), quarantiner.ClearedSuspect{Fingerprint: fingerprint, Service: x.Attempt.Service})
	}
}

// startState is the state of the upstream when a request started to run there.
type startState struct {
	process announcer.Process
	// run is nil where the upstream now serves another service, leaves or is evacuated.
	run *upstreamRun
	// running is the number of running requests, including this one.
	running int
	// steady is true where the VM was running at its usual speed.
	steady bool
}

// withoutCancel returns a copy of ctx that only Stop cancels, and a function to call when it is no longer used.
func (e *Executor) withoutCancel(ctx context.Context) (uncancelled context.Context, release func()) {
	uncancelled, cancel := context.WithCancel(context.WithoutCancel(ctx))
	unregister := context.AfterFunc(e.stopped, cancel)
	return uncancelled, func() {
		unregister()
		cancel()
	}
}

// registerRun registers the attempt as in flight. It reports false when both this request and another one in
// flight are crash suspects: suspects with different fingerprints don't run at the same time, so that the
// next crash shows which of them caused it. If the upstream now serves another service, leaves or is evacuated, nothing is
// registered and the run in atStart is nil.
func (e *Executor) registerRun(x *Execution) (atStart startState, admitted bool) {
	fingerprint := e.fingerprint(x)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.announcement.Service != x.Attempt.Service || e.conditions.leaving || e.evacuated {
		return startState{}, true
	}
	if e.Quarantiner.IsSuspect(fingerprint) {
		for _, other := range e.inFlight {
			if other.fingerprint != fingerprint && e.Quarantiner.IsSuspect(other.fingerprint) {
				return startState{}, false
			}
		}
	}
	e.inFlight[x] = runningRequest{fingerprint: fingerprint, run: e.upstreamRun}
	return startState{
		process: e.announcement.Process(), run: e.upstreamRun, running: e.schedule.Running(), steady: e.isSteady(),
	}, true
}

// goneRefusal returns the refusal of an attempt whose upstream was replaced or leaves.
func (e *Executor) goneRefusal(x *Execution) *refuser.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal := e.stateRefusal(x); refusal != nil {
		return refusal
	}
	return refuser.New(refuser.ReasonNoUpstream, "the upstream beside the node was replaced")
}

// abortRun frees the slot of a registered attempt that is not sent to the upstream after all.
func (e *Executor) abortRun(x *Execution, w *scheduler.Waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.inFlight, x)
	e.schedule.Release(e.Clock.Now(), w)
}

// finishRun frees the slot and updates the limit from the sample.
func (e *Executor) finishRun(x *Execution, w *scheduler.Waiter, sample limiter.Sample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	sample.Steady = sample.Steady && e.isSteady()
	sample.Running = (sample.Running + e.schedule.Running() + 1) / 2
	delete(e.inFlight, x)
	if document := e.document.Load(); document != nil && len(document.Workspaces) > 0 {
		e.ended.add(now, &x.Attempt)
	}
	e.limit.Observe(now, sample)
	e.schedule.Done(now, w, sample.Latency)
	e.applyLimit()
	e.notifyPeers()
}

// classifyResult distinguishes the limiter's answered and failed results. Answers with the status 429,
// 502, 503 or 504 and most errors count as failed; a cancelled or shed request counts as answered.
func (e *Executor) classifyResult(resp *fasthttp.Response, err error) limiter.Result {
	if err != nil {
		// An upstream that reports its load and sheds requests below its number of slots is faulty, not
		// full: fewer concurrent requests would not help.
		if errors.Is(err, forwarder.ErrCancelled) || errors.Is(err, ErrShed) {
			return limiter.ResultAnswered
		}
		return limiter.ResultFailed
	}
	switch resp.StatusCode() {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusBadGateway,
		fasthttp.StatusServiceUnavailable, fasthttp.StatusGatewayTimeout:
		return limiter.ResultFailed
	default:
		return limiter.ResultAnswered
	}
}

// refusalFor converts an error of Upstream.Do into a refusal. It reports the upstream as down or crashed where
// the error indicates that.
func (e *Executor) refusalFor(ctx context.Context, x *Execution, atStart *startState, err error) *refuser.Refusal {
	switch {
	case errors.Is(err, forwarder.ErrNotSent):
		if errors.Is(err, syscall.ECONNREFUSED) {
			e.reportRefused(ctx, atStart.run)
		}
		return refuser.New(refuser.ReasonNoUpstream, "the upstream takes no connection")
	case errors.Is(err, ErrShed):
		return refuser.NewWithRetryAfter(refuser.ReasonShed, sweepInterval, "the upstream has no room")
	case errors.Is(err, ErrMisdirected):
		e.OnUpstreamDown(atStart.process)
		return refuser.New(refuser.ReasonNoUpstream, "another instance has the upstream's address")
	case errors.Is(err, forwarder.ErrTimeout):
		return refuser.NewPossiblyRun(refuser.ReasonDeadline, "the upstream did not answer before the deadline")
	case errors.Is(err, forwarder.ErrCancelled):
		return refuser.NewPossiblyRun(refuser.ReasonCancelled, "the caller went away")
	case errors.Is(err, forwarder.ErrForeign):
		return refuser.NewPossiblyRun(refuser.ReasonUpstreamFailed, "the upstream's answer belongs to another request or is not its own")
	case errors.Is(err, forwarder.ErrTooLong):
		return refuser.NewPossiblyRun(refuser.ReasonUpstreamFailed, "the upstream's answer is too long")
	case errors.Is(err, forwarder.ErrMalformed):
		if e.OnMalformedAnswer != nil {
			e.OnMalformedAnswer(x, atStart.process, err)
		}
		// A process can write such bytes as it crashes.
		e.reportLoss(ctx, x)
		return refuser.NewPossiblyRun(refuser.ReasonUpstreamFailed, "the upstream's answer is malformed")
	case errors.Is(err, forwarder.ErrNoMemory):
		e.Meter.Event("answers_given_up")
		return refuser.NewPossiblyRun(refuser.ReasonAnswerMemory, "the node has no memory for the upstream's answer")
	case errors.Is(err, forwarder.ErrNoLength):
		return refuser.NewPossiblyRun(refuser.ReasonUpstreamFailed, "the upstream's answer has no length")
	default:
		e.reportLoss(ctx, x)
		return refuser.NewPossiblyRun(refuser.ReasonUpstreamLost, "the upstream closed the connection before its whole answer")
	}
}

// FindRunning returns the running attempt of a call, looked up by the call's id or by the request id that its
// caller gave it. Empty ids match nothing.
func (e *Executor) FindRunning(call, request string) (carrier.Attempt, bool) {
	if call == "" && request == "" {
		return carrier.Attempt{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for x := range e.inFlight {
		a := &x.Attempt
		if (call != "" && a.Call == call) || (request != "" && a.RequestID == request) {
			return *a, true
		}
	}
	return carrier.Attempt{}, false
}

// FindEnded is like FindRunning for an attempt that has ended at the upstream within the last seconds. It returns the
// workspace in whose share it ran. Attempts are remembered only where the document has workspaces.
func (e *Executor) FindEnded(call, request string) (workspace string, ok bool) {
	if call == "" && request == "" {
		return "", false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended.find(e.Clock.Now(), call, request)
}

// RecordNestedFailure records that a call nested in the given one has finally failed. The outcome of the given call
// reports this in RetrySpent, so that no caller further up retries it again.
func (e *Executor) RecordNestedFailure(call string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retrySpent[call] = e.Clock.Now().Add(retrySpentTTL)
}
