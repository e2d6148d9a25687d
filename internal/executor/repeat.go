package executor

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

const (
	// nestedRepeatFraction is the fraction of the repeat budget that is open to calls nested in a repeated
	// run. Retrying a single call costs one arrival and saves a run, while repeating a run costs all of its
	// nested calls.
	nestedRepeatFraction = 0.5
	// repeatRetryAfter is the retry-after time of a repeat that is refused for lack of budget.
	repeatRetryAfter = 100 * time.Millisecond
)

// repeatFraction returns the fraction of the repeat budget that is open to an attempt.
func repeatFraction(try carrier.Try) float64 {
	if try == carrier.TryBelowRetry {
		return nestedRepeatFraction
	}
	return 1
}

// checkRepeatBudget returns a refusal for a repeat that the repeat budget does not cover now, or nil.
func (e *Executor) checkRepeatBudget(x *Execution) *refuser.Refusal {
	if x.Attempt.Try == carrier.TryFirst || e.Repeats.Allows(repeatFraction(x.Attempt.Try)) {
		return nil
	}
	return repeatBudgetRefusal()
}

func repeatBudgetRefusal() *refuser.Refusal {
	return refuser.NewWithRetryAfter(refuser.ReasonRetryBudget, repeatRetryAfter, "the upstream has had as many repeats as it may")
}

// recordArrival counts an attempt that is about to be sent to the upstream. It returns a function that
// reverts this, or a refusal for a repeat that the repeat budget does not cover.
func (e *Executor) recordArrival(x *Execution) (undo func(), refusal *refuser.Refusal) {
	if x.Attempt.Try == carrier.TryFirst {
		e.Repeats.CountFirst(x.requestArrived)
		return func() { e.Repeats.UndoFirst(x.requestArrived) }, nil
	}
	now := e.Clock.Now()
	if !e.Repeats.Take(repeatFraction(x.Attempt.Try)) {
		return nil, repeatBudgetRefusal()
	}
	return func() { e.Repeats.UndoTake(now) }, nil
}
