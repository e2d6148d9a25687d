package scheduler

import "time"

// slowPeriod is a period in which the upstream's VM is slow: a request that starts in it takes several times its usual
// time, to its end. Requests that are already running are not affected.
type slowPeriod struct {
	// remaining is how long the period is expected to last; zero outside a slow period.
	remaining time.Duration
	// slowdown is the ratio of the time that a request takes if it starts now to its usual time.
	slowdown float64
}

// SetSlowPeriod sets how many times its usual time a request takes if it starts now, and for how long that is expected
// to last. A remaining time of zero ends the slow period. Requests that lose less time by waiting for the end of the
// period than by starting now are held in the queue.
func (s *Scheduler) SetSlowPeriod(now time.Time, slowdown float64, remaining time.Duration) {
	s.slow = slowPeriod{remaining: remaining, slowdown: slowdown}
	s.dispatch(now)
	s.checkInvariants()
}

// expectedHold returns how long a request of the class is expected to be held because of a slow period, or zero if it
// can start at once.
func (s *Scheduler) expectedHold(class Class) time.Duration {
	extra := time.Duration((s.slow.slowdown - 1) * float64(s.expectedCost(class)))
	if extra <= s.slow.remaining {
		return 0
	}
	return s.slow.remaining
}

// isHeld reports whether the waiter has to wait for the end of a slow period. A reservation always has to: the request
// behind it can start elsewhere.
func (s *Scheduler) isHeld(w *Waiter) bool {
	if w.Reservation {
		return s.slow.remaining > 0
	}
	return s.expectedHold(w.Class) > 0
}
