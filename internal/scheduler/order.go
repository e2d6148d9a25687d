package scheduler

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

// dispatch assigns free slots to queued waiters.
func (s *Scheduler) dispatch(now time.Time) {
	for s.running < s.slots && s.queued > 0 {
		w := s.next(now, false)
		if w == nil {
			return
		}
		s.start(w)
		w.Decisions <- Decision{}
	}
}

// next removes the waiter that is next by rank and share from the queue. It refuses the waiters before it that
// can no longer meet their deadline and, if others are queued, those whose answer would come too late. It
// returns nil when no waiter is left; requestsOnly skips reservations.
func (s *Scheduler) next(now time.Time, requestsOnly bool) *Waiter {
	for {
		rank := s.nextRank(requestsOnly)
		if rank == nil {
			return nil
		}
		f := rank.nextFlow(requestsOnly)
		w := s.dequeue(rank, f, requestsOnly)
		if w.isTooLate(now) && s.queued > 0 {
			w.phase = phaseRefused
			w.Decisions <- Decision{Refusal: s.tooLateRefusal(w)}
			continue
		}
		if w.Reservation || !now.Add(minCost).After(w.Deadline) {
			return w
		}
		w.phase = phaseRefused
		w.Decisions <- Decision{Refusal: refuser.NewWithRetryAfter(refuser.ReasonDeadline, s.retryAfter(w.Class, 0), "the deadline passed in the queue")}
	}
}

// dequeue removes the first waiter, or the first request, from the flow.
func (s *Scheduler) dequeue(rank *rankState, f *flow, requestsOnly bool) *Waiter {
	w := f.firstWaiter(requestsOnly)
	cost := w.charged
	if f.queue[0] == w {
		f.pop(cost)
	} else {
		f.remove(w, cost)
	}
	s.subtractQueued(rank, cost)
	return w
}

func (s *Scheduler) subtractQueued(rank *rankState, cost time.Duration) {
	rank.queued--
	rank.backlog = max(0, rank.backlog-cost)
	if rank.queued == 0 {
		rank.backlog = 0
	}
	s.queued--
}

// nextRank returns the most urgent rank with a backlog and credit, or else the most urgent one with a backlog.
func (s *Scheduler) nextRank(requestsOnly bool) *rankState {
	var mostUrgent *rankState
	for _, rank := range s.ranks {
		if rank.queued == 0 || (requestsOnly && !rank.hasRequest()) {
			continue
		}
		if rank.credit > 0 {
			return rank
		}
		if mostUrgent == nil {
			mostUrgent = rank
		}
	}
	return mostUrgent
}

func (r *rankState) hasRequest() bool {
	for _, f := range r.flows {
		if f.firstWaiter(true) != nil {
			return true
		}
	}
	return false
}

// nextFlow returns the flow with the smallest start tag; ties are broken by the neighbour's name.
func (r *rankState) nextFlow(requestsOnly bool) *flow {
	var best *flow
	for _, f := range r.flows {
		if f.firstWaiter(requestsOnly) == nil {
			continue
		}
		if best == nil || f.startTag < best.startTag || (f.startTag == best.startTag && f.neighbour < best.neighbour) {
			best = f
		}
	}
	return best
}

// firstWaiter returns the first waiter that is not skipped, or nil; requestsOnly skips reservations.
func (f *flow) firstWaiter(requestsOnly bool) *Waiter {
	for _, w := range f.queue {
		if !requestsOnly || !w.Reservation {
			return w
		}
	}
	return nil
}
