package executor

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

const (
	// belowPart is the part of the bound on repeats that may be in use when a call below a further try comes:
	// a further try of a call saves a run, and costs one arrival; a further run costs all of its calls.
	belowPart = 0.5
	// repeatPause is when a repeat over the bound is worth another try.
	repeatPause = 100 * time.Millisecond
)

// repeatPart returns the part of the bound on repeats that is open to an attempt.
func repeatPart(try carrier.Try) float64 {
	if try == carrier.TryBelowFurther {
		return belowPart
	}
	return 1
}

// overRepeats returns the refusal of a repeat for which there is no room now, or nil.
func (e *Executor) overRepeats(x *Execution) *refuser.Refusal {
	if x.Attempt.Try == carrier.TryFirst || e.Repeats.Allows(repeatPart(x.Attempt.Try)) {
		return nil
	}
	return overRepeats()
}

func overRepeats() *refuser.Refusal {
	return refuser.Later(refuser.ReasonRetryBudget, repeatPause, "the upstream has had as many repeats as it may")
}

// bookArrival books that the attempt arrives at the upstream now. It returns how to take that back, or the
// refusal of a repeat for which there is no room.
func (e *Executor) bookArrival(x *Execution) (undo func(), refusal *refuser.Refusal) {
	if x.Attempt.Try == carrier.TryFirst {
		e.Repeats.First(x.began)
		return func() { e.Repeats.UndoFirst(x.began) }, nil
	}
	now := e.Clock.Now()
	if !e.Repeats.Take(repeatPart(x.Attempt.Try)) {
		return nil, overRepeats()
	}
	return func() { e.Repeats.UndoTake(now) }, nil
}
