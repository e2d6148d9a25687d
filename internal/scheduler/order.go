package scheduler

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

// dispatch hands free slots to queued waiters.
func (s *Scheduler) dispatch(now time.Time) {
	for s.running < s.slots && s.queued > 0 {
		w := s.next(now, false)
		if w == nil {
			return
		}
		s.start(w)
		w.Verdicts <- Verdict{}
	}
}

// next removes the waiter that rank and share entitle to be served. Waiters whose deadline can't be
// met any more are refused on the way. It returns nil when none is left.
func (s *Scheduler) next(now time.Time, callsOnly bool) *Waiter {
	for {
		rank := s.nextRank(callsOnly)
		if rank == nil {
			return nil
		}
		f := rank.nextFlow(callsOnly)
		w := s.popFrom(rank, f, callsOnly)
		if w.isLate(now) && s.queued > 0 {
			w.phase = phaseRefused
			w.Verdicts <- Verdict{Refusal: s.tooLate(w)}
			continue
		}
		if w.Reservation || !now.Add(minCost).After(w.Deadline) {
			return w
		}
		w.phase = phaseRefused
		w.Verdicts <- Verdict{Refusal: refuser.Later(refuser.ReasonDeadline, s.retryAfter(w.Class, 0), "the deadline passed in the queue")}
	}
}

func (s *Scheduler) popFrom(rank *rankState, f *flow, callsOnly bool) *Waiter {
	w := f.first(callsOnly)
	cost := w.charged
	if f.queue[0] == w {
		f.pop(cost)
	} else {
		f.remove(w, cost)
	}
	s.unqueue(rank, cost)
	return w
}

func (s *Scheduler) unqueue(rank *rankState, cost time.Duration) {
	rank.queued--
	rank.backlog = max(0, rank.backlog-cost)
	if rank.queued == 0 {
		rank.backlog = 0
	}
	s.queued--
}

// nextRank returns the most urgent rank that has credit, or else the most urgent with a backlog.
func (s *Scheduler) nextRank(callsOnly bool) *rankState {
	var first *rankState
	for _, rank := range s.ranks {
		if rank.queued == 0 || (callsOnly && !rank.hasCall()) {
			continue
		}
		if rank.credit > 0 {
			return rank
		}
		if first == nil {
			first = rank
		}
	}
	return first
}

func (r *rankState) hasCall() bool {
	for _, f := range r.flows {
		if f.first(true) != nil {
			return true
		}
	}
	return false
}

// nextFlow returns the flow with the smallest start tag; the name breaks ties.
func (r *rankState) nextFlow(callsOnly bool) *flow {
	var best *flow
	for _, f := range r.flows {
		if f.first(callsOnly) == nil {
			continue
		}
		if best == nil || f.start < best.start || (f.start == best.start && f.neighbour < best.neighbour) {
			best = f
		}
	}
	return best
}

func (f *flow) first(callsOnly bool) *Waiter {
	for _, w := range f.queue {
		if !callsOnly || !w.Reservation {
			return w
		}
	}
	return nil
}
