package scheduler

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

// admissionRefusal returns a refusal if w should not be queued, or nil.
func (s *Scheduler) admissionRefusal(now time.Time, w *Waiter) *refuser.Refusal {
	if s.queued >= maxQueued {
		return refuser.NewWithRetryAfter(refuser.ReasonQueueFull, s.retryAfter(now, w.Class, 0), "the queue is full")
	}
	if w.Reservation {
		return nil
	}
	wait := s.ExpectedWait(now, w.Class)
	target := s.rankConfig(w.Class.Rank).TargetWait
	if !w.UsefulUntil.IsZero() {
		target = w.UsefulUntil.Sub(now)
	}
	// A neighbour can always have one request of each rank queued, so that a neighbour whose requests are
	// expensive gets its share.
	if wait+s.expectedHold(w.Class) > target && s.flowOf(w.Class).queued > 0 {
		return refuser.NewWithRetryAfter(s.lateReason(refuser.ReasonQueueFull), s.retryAfter(now, w.Class, target), "the expected wait is too long")
	}
	if now.Add(wait + s.expectedCost(w.Class)).After(w.Deadline) {
		return refuser.NewWithRetryAfter(s.lateReason(refuser.ReasonDeadline), s.retryAfter(now, w.Class, w.Deadline.Sub(now)), "the deadline can't be met")
	}
	return nil
}

// retryAfter returns the time after which a retry can be accepted: when the expected wait has dropped to half
// of the acceptable one, and at least minRetryAfter.
func (s *Scheduler) retryAfter(now time.Time, class Class, acceptable time.Duration) time.Duration {
	return max(minRetryAfter, s.ExpectedWait(now, class)-max(0, acceptable)/2)
}

// ExpectedWait returns how long a new request of the class would wait for a slot and for the rate limit; zero if it can
// start at once.
func (s *Scheduler) ExpectedWait(now time.Time, class Class) time.Duration {
	return max(s.expectedSlotWait(class), s.expectedRateDelay(now, class))
}

// expectedSlotWait returns how long a new request of the class would wait for a slot; zero if one is free and
// nothing is queued. It divides the backlog ahead of the request in its rank by the recent service rate of the
// rank. Where that rate is not known, it assumes that all slots serve the backlog ahead, including that of more
// urgent ranks, or that the rank is served at its guaranteed share, whichever gives the shorter wait.
func (s *Scheduler) expectedSlotWait(class Class) time.Duration {
	if s.running < s.slots && s.queued == 0 {
		return 0
	}
	slots := float64(max(1, s.slots))
	rank := s.rankOf(class)
	own := s.flowOf(class)
	fair := s.fairFraction(rank, own)
	urgentBacklog := 0.0
	for _, other := range s.moreUrgent(class) {
		urgentBacklog += other.backlog.Seconds()
	}
	rankBacklog := min(rank.backlog.Seconds(), s.backlogAhead(class).Seconds()/fair)
	seconds := (urgentBacklog + rankBacklog + s.meanCost) / slots
	if rank.serviceRate > 0 {
		return time.Duration((rankBacklog + s.expectedCost(class).Seconds()) / rank.serviceRate * float64(time.Second))
	}
	if share := s.rankConfig(class.Rank).GuaranteedShare; share > 0 {
		seconds = min(seconds, (rankBacklog+s.meanCost)/(slots*share))
	}
	return time.Duration(seconds * float64(time.Second))
}

// backlogAhead returns the expected slot-time that the neighbour's requests of the rank are given before a new request of the
// class: that of the queued ones, but at most what fair shares of the workspaces let go first.
func (s *Scheduler) backlogAhead(class Class) time.Duration {
	f := s.flowOf(class)
	own, ok := f.workspaces[class.Workspace]
	if !ok {
		own = s.newWorkspaceFlow(class.Workspace)
	}
	return f.backlogAhead(own, s.expectedCost(class))
}

// fairFraction returns the fraction of the rank's service that the flow gets while it has a backlog.
func (s *Scheduler) fairFraction(rank *rankState, own *flow) float64 {
	sum := own.weight
	for _, f := range rank.flows {
		if f != own && f.queued > 0 {
			sum += f.weight
		}
	}
	return own.weight / sum
}
