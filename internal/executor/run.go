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
)

const (
	apartPause = 5 * time.Millisecond
	apartTries = 100
	// spentTime is how long a failure below a call is remembered.
	spentTime = 30 * time.Second
)

// run sends the attempt to the upstream in the slot that w holds.
func (e *Executor) run(ctx context.Context, x *Execution, w *scheduler.Waiter) carrier.Outcome {
	begun, alone := e.enter(x)
	for tries := 0; !alone && tries < apartTries; tries++ {
		timekeeper.Sleep(ctx, e.Clock, apartPause)
		begun, alone = e.enter(x)
	}
	if !alone {
		e.release(w)
		return carrier.Outcome{Refusal: refuser.New(refuser.ReasonQuarantined, "another request that was part of a crash runs here")}
	}
	if begun.instance == "" {
		e.release(w)
		return carrier.Outcome{Refusal: refuser.New(refuser.ReasonNoUpstream, "the upstream beside the node was replaced")}
	}
	undo, refusal := e.bookArrival(x)
	if refusal != nil {
		e.withdrawRun(x, w)
		return carrier.Outcome{Refusal: refusal}
	}
	if !x.Attempt.Idempotent {
		// What has begun to run is finished, so that its outcome can be asked for.
		ctx = context.WithoutCancel(ctx)
	}
	out := &fasthttp.Request{}
	x.Request.Header.CopyTo(&out.Header)
	out.SetBodyRaw(x.Request.Body())
	e.Stamp(&x.Attempt, out, begun.instance, x.Deadline)
	started := e.Clock.Now()
	err := e.Upstream.Do(ctx, out, x.Response, x.Deadline)
	used := e.Clock.Now().Sub(started)
	outcome := carrier.Outcome{Arrived: !errors.Is(err, forwarder.ErrNotSent), Used: used}
	if outcome.Arrived {
		e.Meter.Arrived(x.Attempt.Service, x.Attempt.Try.String())
	} else {
		undo()
	}
	if err != nil {
		outcome.Refusal = e.explain(ctx, begun.instance, err)
		outcome.Lost = x.Attempt.Idempotent && !outcome.Refusal.IsNotRun()
		x.Response.Reset()
	}
	if err == nil {
		e.exonerate(x)
	}
	e.leave(x, w, limiter.Sample{
		Class: x.Attempt.Rank, Latency: used, Result: e.resultOf(x.Response, err), Running: begun.running,
		Steady: err == nil && begun.steady,
	})
	return outcome
}

// exonerate notes that a request has run without a crash, and tells all if it was part of one.
func (e *Executor) exonerate(x *Execution) {
	e.mu.Lock()
	fingerprint := e.inFlight[x]
	e.mu.Unlock()
	e.proven.Add(fingerprint)
	if e.Quarantiner.IsEmpty() {
		return
	}
	if e.Quarantiner.Clear(fingerprint) {
		go e.Links.ReportInnocent(context.Background(), quarantiner.Acquittal{Fingerprint: fingerprint, Service: x.Attempt.Service})
	}
}

// beginning is what was known of the upstream when a request began to run there.
type beginning struct {
	// instance is empty where the upstream serves another service by now.
	instance string
	// running is the number of requests that ran, this one included.
	running int
	// steady is true where the VM ran at its usual speed.
	steady bool
}

// enter notes that the attempt runs. It reports false when the request and one that runs here were both
// part of a crash: such requests run apart, so that the next crash tells which of them caused it.
func (e *Executor) enter(x *Execution) (begun beginning, alone bool) {
	fingerprint := e.fingerprint(x)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.announcement.Service != x.Attempt.Service {
		return beginning{}, true
	}
	if e.Quarantiner.IsSuspect(fingerprint) {
		for _, other := range e.inFlight {
			if other != fingerprint && e.Quarantiner.IsSuspect(other) {
				return beginning{}, false
			}
		}
	}
	e.inFlight[x] = fingerprint
	return beginning{instance: e.announcement.Instance, running: e.schedule.Running(), steady: e.isSteady()}, true
}

// withdrawRun frees the slot of an attempt that is not sent to the upstream after all.
func (e *Executor) withdrawRun(x *Execution, w *scheduler.Waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.inFlight, x)
	e.schedule.Release(e.Clock.Now(), w)
}

// leave frees the slot and teaches the limit.
func (e *Executor) leave(x *Execution, w *scheduler.Waiter, sample limiter.Sample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	sample.Steady = sample.Steady && e.isSteady()
	sample.Running = (sample.Running + e.schedule.Running() + 1) / 2
	delete(e.inFlight, x)
	e.limit.Observe(now, sample)
	e.schedule.Done(now, w, sample.Latency)
	e.applyLimit()
	e.tell()
}

func (e *Executor) resultOf(resp *fasthttp.Response, err error) limiter.Result {
	if err != nil {
		// An upstream that reports its load and sheds below its slots is ill, not full: fewer requests
		// at once would not help.
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

// explain turns an error of the upstream's connection into a refusal.
func (e *Executor) explain(ctx context.Context, instance string, err error) *refuser.Refusal {
	switch {
	case errors.Is(err, forwarder.ErrNotSent):
		if errors.Is(err, syscall.ECONNREFUSED) {
			e.OnDown(instance)
		}
		return refuser.New(refuser.ReasonNoUpstream, "the upstream takes no connection")
	case errors.Is(err, ErrShed):
		return refuser.Later(refuser.ReasonShed, sweepInterval, "the upstream has no room")
	case errors.Is(err, ErrMisdirected):
		e.OnDown(instance)
		return refuser.New(refuser.ReasonNoUpstream, "another instance has the upstream's address")
	case errors.Is(err, forwarder.ErrTimeout):
		return refuser.Unknown(refuser.ReasonDeadline, "the upstream did not answer before the deadline")
	case errors.Is(err, forwarder.ErrCancelled):
		return refuser.Unknown(refuser.ReasonCancelled, "the caller went away")
	case errors.Is(err, forwarder.ErrForeign):
		return refuser.Unknown(refuser.ReasonUpstreamFailed, "the upstream's answer belongs to another request or is not its own")
	case errors.Is(err, forwarder.ErrTooLong):
		return refuser.Unknown(refuser.ReasonUpstreamFailed, "the upstream's answer is too long")
	case errors.Is(err, forwarder.ErrUnframed):
		return refuser.Unknown(refuser.ReasonUpstreamFailed, "the upstream's answer has no length")
	default:
		e.reportCrash(ctx, instance)
		return refuser.Unknown(refuser.ReasonUpstreamLost, "the upstream closed the connection before its whole answer")
	}
}

// crashReport is the report of one crash; done is closed when the service's nodes have heard of it.
type crashReport struct {
	done     chan struct{}
	instance string
}

// reportCrash tells the service's nodes what ran when the upstream's process went away. It returns
// after they have heard, so that a repeated request meets nodes that know of it.
func (e *Executor) reportCrash(ctx context.Context, instance string) {
	e.mu.Lock()
	report := e.crash
	first := report == nil || report.instance != instance
	if first {
		report = &crashReport{done: make(chan struct{}), instance: instance}
		e.crash = report
	}
	crash := quarantiner.Crash{Instance: instance, Service: e.announcement.Service}
	for _, fingerprint := range e.inFlight {
		if !e.proven.Has(fingerprint) {
			crash.Fingerprints = append(crash.Fingerprints, fingerprint)
		}
	}
	e.mu.Unlock()
	if !first {
		<-report.done
		return
	}
	defer close(report.done)
	if !e.Upstream.IsDown(ctx, instance) {
		e.mu.Lock()
		e.crash = nil
		e.mu.Unlock()
		return
	}
	e.Meter.Event("upstream_crashes")
	e.OnDown(instance)
	if len(crash.Fingerprints) == 0 {
		return
	}
	e.Quarantiner.Report(crash)
	e.Links.ReportCrash(ctx, crash)
}

// Find returns the attempt that the upstream runs for a call, by the call's id or by the one that its
// caller gave it. Empty ids match nothing.
func (e *Executor) Find(call, request string) (carrier.Attempt, bool) {
	if call == "" && request == "" {
		return carrier.Attempt{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for x := range e.inFlight {
		a := &x.Attempt
		if (call != "" && a.Call == call) || (request != "" && a.Request == request) {
			return *a, true
		}
	}
	return carrier.Attempt{}, false
}

// FailedBelow notes that a call made on behalf of the given one failed for good, so that nobody
// above retries it again.
func (e *Executor) FailedBelow(call string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spent[call] = e.Clock.Now().Add(spentTime)
}
