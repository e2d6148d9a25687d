package scheduler

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

// refuse returns why w should not be queued, or nil.
func (s *Scheduler) refuse(now time.Time, w *Waiter) *refuser.Refusal {
	if s.queued >= maxQueue {
		return refuser.Later(refuser.ReasonQueueFull, s.retryAfter(w.Class, 0), "the queue is full")
	}
	if w.Reservation {
		return nil
	}
	wait := s.ExpectedWait(w.Class)
	target := s.rankConfig(w.Class.Rank).TargetWait
	if !w.Useful.IsZero() {
		target = w.Useful.Sub(now)
	}
	// A neighbour can always have one request in the queue, so that expensive ones get their share.
	if wait+s.pause > target && len(s.flow(w.Class).queue) > 0 {
		return refuser.Later(refuser.ReasonQueueFull, s.retryAfter(w.Class, target), "the expected wait is too long")
	}
	if now.Add(wait + s.cost(w.Class)).After(w.Deadline) {
		return refuser.Later(refuser.ReasonDeadline, s.retryAfter(w.Class, w.Deadline.Sub(now)), "the deadline can't be met")
	}
	return nil
}

// SetPause tells for how long the upstream will make next to no progress.
func (s *Scheduler) SetPause(pause time.Duration) {
	s.pause = pause
}

// retryAfter returns how long the backlog takes to shrink to an acceptable wait.
func (s *Scheduler) retryAfter(class Class, acceptable time.Duration) time.Duration {
	return max(minRetryAfter, s.ExpectedWait(class)-max(0, acceptable)/2)
}

// ExpectedWait returns how long a new request of the class would wait for a slot: its rank's backlog
// at the rate at which the rank was served of late, or, where that is not known, the backlog before
// it at the rate that its rank and neighbour can claim.
func (s *Scheduler) ExpectedWait(class Class) time.Duration {
	if s.running < s.slots && s.queued == 0 {
		return 0
	}
	slots := float64(max(1, s.slots))
	rank := s.rank(class)
	own := s.flow(class)
	fair := s.fairPart(rank, own)
	before := 0.0
	for _, other := range s.ranks[:min(max(class.Rank, 0), len(s.ranks)-1)] {
		before += other.backlog.Seconds()
	}
	inRank := min(rank.backlog.Seconds(), own.backlog.Seconds()/fair)
	seconds := (before + inRank + s.mean) / slots
	if rank.rate > 0 {
		return time.Duration((inRank + s.cost(class).Seconds()) / rank.rate * float64(time.Second))
	}
	if share := s.rankConfig(class.Rank).GuaranteedShare; share > 0 {
		seconds = min(seconds, (inRank+s.mean)/(slots*share))
	}
	return time.Duration(seconds * float64(time.Second))
}

// fairPart returns the part of the rank's service that the flow gets while it has a backlog.
func (s *Scheduler) fairPart(rank *rankState, own *flow) float64 {
	sum := own.weight
	for _, f := range rank.flows {
		if f != own && len(f.queue) > 0 {
			sum += f.weight
		}
	}
	return own.weight / sum
}
