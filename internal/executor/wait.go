package executor

import (
	"context"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/scheduler"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// runQueued queues the attempt, with this node as its home, and runs it in the first slot that becomes free
// here or at a sibling. It queues again if a sibling did not keep its slot, up to maxBindings times in all.
func (e *Executor) runQueued(ctx context.Context, x *Execution, arrived time.Time) carrier.Outcome {
	for range maxBindings {
		decision, w, refusal := e.awaitDecision(ctx, x, arrived)
		if refusal != nil {
			return carrier.Outcome{Refusal: refusal}
		}
		if !decision.Bound {
			return e.run(ctx, x, w)
		}
		outcome, final := e.sendBound(ctx, x, decision.Binding)
		if final {
			return outcome
		}
		e.Meter.Event("bindings_undone")
	}
	return carrier.Outcome{Refusal: refuser.NewWithRetryAfter(refuser.ReasonQueueFull, sweepInterval, "no sibling kept its promised slot")}
}

// awaitDecision submits the attempt to the scheduler and waits for its decision. It returns a refusal when
// the attempt is refused or cancelled.
func (e *Executor) awaitDecision(ctx context.Context, x *Execution, arrived time.Time) (scheduler.Decision, *scheduler.Waiter, *refuser.Refusal) {
	w := e.newWaiter(x, arrived)
	queued, refusal := e.submit(x, w)
	if !queued {
		return scheduler.Decision{}, w, refusal
	}
	e.placeReservation(x)
	select {
	case decision := <-w.Decisions:
		if decision.Refusal == nil && ctx.Err() != nil {
			return e.abandon(w, decision)
		}
		return decision, w, decision.Refusal
	case <-ctx.Done():
		return e.withdraw(w)
	}
}

// submit passes the attempt's waiter to the scheduler. The node may have begun to drain, or lost its upstream, since the
// attempt arrived: nothing would then take the waiter from the queue.
func (e *Executor) submit(x *Execution, w *scheduler.Waiter) (queued bool, refusal *refuser.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal := e.stateRefusal(x); refusal != nil {
		return false, refusal
	}
	return e.schedule.Submit(e.Clock.Now(), w)
}

// withdraw removes a cancelled waiter from the queue, or returns the slot that it was granted meanwhile.
func (e *Executor) withdraw(w *scheduler.Waiter) (scheduler.Decision, *scheduler.Waiter, *refuser.Refusal) {
	e.mu.Lock()
	withdrawn := e.schedule.Withdraw(w)
	e.mu.Unlock()
	if withdrawn {
		return scheduler.Decision{}, w, refuser.New(refuser.ReasonCancelled, "the caller went away")
	}
	return e.abandon(w, <-w.Decisions)
}

// abandon returns the slot of a cancelled waiter. A slot at a sibling expires by itself.
func (e *Executor) abandon(w *scheduler.Waiter, decision scheduler.Decision) (scheduler.Decision, *scheduler.Waiter, *refuser.Refusal) {
	if decision.Refusal != nil {
		return decision, w, decision.Refusal
	}
	if !decision.Bound {
		e.mu.Lock()
		e.schedule.Release(e.Clock.Now(), w)
		e.mu.Unlock()
	}
	return decision, w, refuser.New(refuser.ReasonCancelled, "the caller went away")
}

// sendBound sends the attempt to the sibling that holds a slot for it. It reports false when the sibling has
// certainly not run it and another slot can help; for a quarantined request or an exhausted repeat budget
// none can.
func (e *Executor) sendBound(ctx context.Context, x *Execution, binding scheduler.Binding) (carrier.Outcome, bool) {
	to, ok := e.Siblings.Member(binding.Server)
	if !ok {
		return carrier.Outcome{}, false
	}
	a := x.Attempt
	a.HandedOff = true
	a.Grant = binding.Grant
	outcome := e.Sender.Send(ctx, to, a, x.Request, x.Response, x.Deadline)
	if !outcome.IsNotRun() || outcome.Reached() {
		return outcome, true
	}
	return outcome, outcome.IsRefusedAs(refuser.ReasonPoison) || outcome.IsRefusedAs(refuser.ReasonRetryBudget)
}

// ReserveRequest asks a sibling to pull a request of the class from Home when it has a free slot. Timeout is
// the time left until the request's deadline.
type ReserveRequest struct {
	Home      string        `json:"home"`
	Neighbour string        `json:"neighbour"`
	Rank      int           `json:"rank"`
	Timeout   time.Duration `json:"timeout"`
	Workspace string        `json:"workspace,omitempty"`
}

// placeReservation places one reservation with a sibling if the byte budget allows it. It does not wait for
// the message.
func (e *Executor) placeReservation(x *Execution) {
	sibling, ok := e.Siblings.PickForReservation(x.siblingNeed(), []string{e.Name})
	if !ok {
		return
	}
	if !e.Bytes.Allows(reservationBytes) {
		e.Meter.Event("reservations_over_budget")
		return
	}
	e.Meter.Event("reservations")
	class := e.class(x)
	request := ReserveRequest{
		Home:      e.Name,
		Neighbour: class.Neighbour,
		Rank:      class.Rank,
		Timeout:   x.Deadline.Sub(e.Clock.Now()),
		Workspace: class.Workspace,
	}
	go func() {
		if err := e.Links.Reserve(context.Background(), sibling, request); err != nil {
			e.Meter.Event("reservations_lost")
		}
	}()
}

// Reserve queues the reservation of a sibling, or pulls a request for it if a slot is free. It does not
// block.
func (e *Executor) Reserve(request ReserveRequest) {
	now := e.Clock.Now()
	class := scheduler.Class{Neighbour: request.Neighbour, Rank: request.Rank, Workspace: request.Workspace}
	w := scheduler.NewReservation(now, class, now.Add(request.Timeout))
	e.mu.Lock()
	if e.announcement.State != announcer.StateReady || e.conditions.leaving || e.evacuated || e.limit.FailureRate() > maxFailureRate ||
		e.isSlow() || e.schedule.IsThrottled(now) {
		// An upstream that fails fast frees its slots fast; it must not attract work that way.
		e.mu.Unlock()
		e.Meter.Event("reservations_declined")
		return
	}
	queued, refusal := e.schedule.Submit(now, w)
	e.mu.Unlock()
	switch {
	case refusal != nil:
		e.Meter.Event("reservations_declined")
	case queued:
		go e.awaitReservation(w, request.Home)
	default:
		go e.pullFromHome(w, request.Home)
	}
}

func (e *Executor) awaitReservation(w *scheduler.Waiter, home string) {
	decision := <-w.Decisions
	if decision.Refusal != nil || decision.Bound {
		return
	}
	e.pullFromHome(w, home)
}

// PullRequest offers the slot that the node From holds under Grant.
type PullRequest struct {
	From  string `json:"from"`
	Grant uint64 `json:"grant"`
}

// PullReply reports whether a request was bound to the offered slot, and if so, gives its class.
type PullReply struct {
	Bound     bool   `json:"bound"`
	Neighbour string `json:"neighbour,omitempty"`
	Rank      int    `json:"rank,omitempty"`
	Workspace string `json:"workspace,omitempty"`
}

// pullFromHome asks the home for a request to run in the slot that w holds. The slot is held until the
// request arrives, or for grantTimeout after the reply.
func (e *Executor) pullFromHome(w *scheduler.Waiter, home string) {
	member, ok := e.Siblings.Member(home)
	if !ok {
		e.release(w)
		return
	}
	e.mu.Lock()
	if e.limit.FailureRate() > maxFailureRate {
		e.schedule.Release(e.Clock.Now(), w)
		e.mu.Unlock()
		e.Meter.Event("reservations_declined")
		return
	}
	e.lastGrant++
	grant := e.lastGrant
	e.grants[grant] = w
	e.mu.Unlock()
	e.Meter.Event("pulls")
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	reply, err := e.Links.Pull(ctx, member, PullRequest{From: e.Name, Grant: grant})
	if err != nil || !reply.Bound {
		e.releaseGrant(grant)
		return
	}
	e.mu.Lock()
	if _, held := e.grants[grant]; held {
		e.schedule.Reclassify(w, scheduler.Class{Neighbour: reply.Neighbour, Rank: reply.Rank, Workspace: reply.Workspace})
	}
	e.mu.Unlock()
	e.Clock.AfterFunc(grantTimeout, func() { e.releaseGrant(grant) })
}

// releaseGrant frees the slot held under a grant, unless the request has arrived.
func (e *Executor) releaseGrant(grant uint64) {
	if w := e.takeGrant(grant); w != nil {
		e.release(w)
	}
}

// takeGrant removes a grant and returns the waiter that holds its slot, or nil if the grant has expired or
// was used.
func (e *Executor) takeGrant(grant uint64) *scheduler.Waiter {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.grants[grant]
	delete(e.grants, grant)
	return w
}

func (e *Executor) release(w *scheduler.Waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.schedule.Release(e.Clock.Now(), w)
}

// Pull binds the request that is next in the scheduler's order, among those that can run in the sibling's region, to the
// offered slot of the sibling.
func (e *Executor) Pull(request PullRequest) PullReply {
	from, _ := e.Siblings.Member(request.From)
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.schedule.BindNext(e.Clock.Now(), scheduler.Binding{Grant: request.Grant, Region: from.Region, Server: request.From})
	if w == nil {
		e.Meter.Event("pulls_void")
		return PullReply{}
	}
	return PullReply{Bound: true, Neighbour: w.Class.Neighbour, Rank: w.Class.Rank, Workspace: w.Class.Workspace}
}

// runGranted runs the attempt in the slot that this node holds for it under the attempt's grant.
func (e *Executor) runGranted(ctx context.Context, x *Execution) carrier.Outcome {
	w := e.takeGrant(x.Attempt.Grant)
	if w == nil {
		return carrier.Outcome{Refusal: refuser.New(refuser.ReasonQueueFull, "the promised slot has lapsed")}
	}
	return e.run(ctx, x, w)
}
