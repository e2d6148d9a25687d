package executor

import (
	"context"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/quarantiner"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/scheduler"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// precheck returns a refusal if the attempt can be neither run nor queued here, or nil.
func (e *Executor) precheck(x *Execution) *refuser.Refusal {
	if refusal := e.checkQuarantine(x); refusal != nil {
		return refusal
	}
	if refusal := e.checkRepeatBudget(x); refusal != nil {
		return refusal
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if x.Attempt.Grant != 0 {
		return nil
	}
	return e.stateRefusal(x)
}

// stateRefusal returns a refusal if the node drains or its upstream is not ready for the attempt, or nil. It is called
// with mu held.
func (e *Executor) stateRefusal(x *Execution) *refuser.Refusal {
	state := e.announcement.State
	if e.draining.Load() || state == announcer.StateDraining || e.conditions.leaving {
		return refuser.New(refuser.ReasonDraining, "the server is leaving")
	}
	if state != announcer.StateReady || e.announcement.Service != x.Attempt.Service {
		return refuser.New(refuser.ReasonNoUpstream, "no ready upstream of the service at this node")
	}
	return nil
}

// checkQuarantine returns a refusal for a request that has crashed upstreams, or nil.
func (e *Executor) checkQuarantine(x *Execution) *refuser.Refusal {
	if e.Quarantiner.IsEmpty() {
		return nil
	}
	remaining := e.Quarantiner.QuarantineLeft(e.fingerprint(x))
	if remaining <= 0 {
		return nil
	}
	return refuser.NewWithRetryAfter(refuser.ReasonPoison, remaining, "requests like this one have crashed upstreams")
}

func (e *Executor) fingerprint(x *Execution) quarantiner.Fingerprint {
	req := x.Request
	return quarantiner.FingerprintOf(x.Attempt.Service, req.Header.Method(), req.Header.RequestURI(), req.Body())
}

func (e *Executor) class(x *Execution) scheduler.Class {
	class := scheduler.Class{Neighbour: x.Attempt.Neighbour, Workspace: x.Attempt.Workspace}
	if document := e.document.Load(); document != nil {
		class.Rank, _ = document.RankIndex(x.Attempt.Rank)
	}
	return class
}

// admit runs the attempt in a free slot, hands it off to a sibling, or queues it. An optional attempt is
// refused instead if it can't start promptly.
func (e *Executor) admit(ctx context.Context, x *Execution) carrier.Outcome {
	if x.Attempt.Grant != 0 {
		return e.runGranted(ctx, x)
	}
	e.refreshLoad(ctx)
	now := e.Clock.Now()
	w := scheduler.NewWaiter(now, e.class(x), x.Deadline)
	w.UsefulUntil = x.usefulUntil(now)
	e.mu.Lock()
	if x.Attempt.Optional && !e.canStartPromptly() {
		e.mu.Unlock()
		e.Meter.Event("handed_back")
		return carrier.Outcome{Refusal: refuser.NewWithRetryAfter(refuser.ReasonBusy, sweepInterval, "the upstream is full or slow and the sender has another")}
	}
	hasSlot := e.schedule.TryRun(now, w)
	overloaded := !hasSlot && e.schedule.ExpectedWait(now, w.Class) > x.Deadline.Sub(now)
	e.notifyPeers()
	e.mu.Unlock()
	if hasSlot {
		return e.run(ctx, x, w)
	}
	if !x.Attempt.HandedOff && !overloaded {
		if outcome, ok := e.handOff(ctx, x); ok {
			return outcome
		}
	}
	return e.runQueued(ctx, x, now)
}

// handOff sends the attempt to another node that Siblings selects. It reports false when there is none, or
// when it has certainly not run the attempt and this node should queue it.
func (e *Executor) handOff(ctx context.Context, x *Execution) (carrier.Outcome, bool) {
	sibling, ok := e.Siblings.PickForHandOff(x.Attempt.Service, []string{e.Name})
	if !ok {
		return carrier.Outcome{}, false
	}
	e.Meter.Event("hand_ons")
	a := x.Attempt
	a.HandedOff = true
	outcome := e.Sender.Send(ctx, sibling, a, x.Request, x.Response, x.Deadline)
	if !outcome.IsNotRun() || outcome.Reached() {
		return outcome, true
	}
	// A full sibling has evaluated the expected wait, so that its refusal is final. A sibling that can't be
	// reached or is draining has not.
	switch outcome.Refusal.Reason {
	case refuser.ReasonQueueFull, refuser.ReasonDeadline, refuser.ReasonPoison:
		return outcome, true
	default:
		return carrier.Outcome{}, false
	}
}
