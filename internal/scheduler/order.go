package scheduler

import "time"

// dispatch assigns free slots to queued waiters.
func (s *Scheduler) dispatch(now time.Time) {
	s.throttled = false
	for s.running < s.slots && s.queued > 0 {
		if s.IsThrottled(now) {
			s.throttled = true
			return
		}
		w := s.next(now, s.isStartable)
		if w == nil {
			return
		}
		s.start(now, w)
		w.Decisions <- Decision{}
	}
}

// filter selects the waiters that can be taken from the queue.
type filter func(*Waiter) bool

// isRequest selects all waiters but reservations.
func isRequest(w *Waiter) bool {
	return !w.Reservation
}

// isStartable selects the waiters that can start in a free slot now.
func (s *Scheduler) isStartable(w *Waiter) bool {
	return !s.isHeld(w)
}

// hasStartable reports whether a queued waiter can start in a free slot now.
func (s *Scheduler) hasStartable() bool {
	return s.queued > 0 && s.nextRank(s.isStartable) != nil
}

// next removes the waiter that is next by rank and share among the selected ones from the queue. It refuses the
// waiters before it that can no longer meet their deadline and, if others are queued, those whose answer would come
// too late. It returns nil when no selected waiter is left.
func (s *Scheduler) next(now time.Time, selects filter) *Waiter {
	for {
		rank := s.nextRank(selects)
		if rank == nil {
			return nil
		}
		f := rank.nextFlow(selects)
		w := s.dequeue(rank, f, selects)
		if w.isTooLate(now) && s.queued > 0 {
			w.phase = phaseRefused
			w.Decisions <- Decision{Refusal: s.tooLateRefusal(now, w)}
			continue
		}
		if w.Reservation || !now.Add(minCost).After(w.Deadline) {
			return w
		}
		w.phase = phaseRefused
		w.Decisions <- Decision{Refusal: s.expiredRefusal(now, w)}
	}
}

// dequeue removes the first selected waiter from the flow.
func (s *Scheduler) dequeue(rank *rankState, f *flow, selects filter) *Waiter {
	from, index := f.first(selects)
	w := from.queue[index]
	f.removeAt(from, index, w.charged)
	s.subtractQueued(rank, w.charged)
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

// nextRank returns the most urgent rank with a selected waiter and credit, or else the most urgent one with a selected
// waiter.
func (s *Scheduler) nextRank(selects filter) *rankState {
	var mostUrgent *rankState
	for _, rank := range s.ranks {
		if rank.queued == 0 || rank.nextFlow(selects) == nil {
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

// nextFlow returns the flow with a selected waiter and the smallest start tag; ties are broken by the neighbour's name.
func (r *rankState) nextFlow(selects filter) *flow {
	var best *flow
	for _, f := range r.flows {
		if best != nil && (f.startTag > best.startTag || (f.startTag == best.startTag && f.neighbour > best.neighbour)) {
			continue
		}
		if from, _ := f.first(selects); from != nil {
			best = f
		}
	}
	return best
}
