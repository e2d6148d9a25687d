package scheduler

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/pacer"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

// SetPacers replaces the pacers, for a new process of the upstream. Waiters that have a slot keep theirs.
func (s *Scheduler) SetPacers(now time.Time, p *pacer.Pair) {
	s.pacers = p
	s.dispatch(now)
	s.checkInvariants()
}

// SetRateLimit sets the upstream's rate limit in requests per second; zero means none. Requests that have a slot but are
// not sent yet count as sent under the new limit.
func (s *Scheduler) SetRateLimit(now time.Time, perSecond float64) {
	s.pacers.Named.SetLimit(now, perSecond)
	s.dispatch(now)
	s.checkInvariants()
}

// SetColdRate sets the requests per second that the upstream bears while it is cold; zero means that it is not cold.
// It is independent of the rate limit, and the lower of the two applies. The requests of the last second count.
func (s *Scheduler) SetColdRate(now time.Time, perSecond float64) {
	if perSecond == s.pacers.Cold.Limit() {
		return
	}
	s.pacers.Cold.SetLimit(now, perSecond)
	s.dispatch(now)
	s.checkInvariants()
}

// ColdRate returns the requests per second that the upstream bears while it is cold, or zero if it is not cold.
func (s *Scheduler) ColdRate() float64 {
	return s.pacers.Cold.Limit()
}

// RateLimit returns the upstream's rate limit in requests per second, or zero if there is none.
func (s *Scheduler) RateLimit() float64 {
	return s.pacers.Named.Limit()
}

// RateLimitUse returns the fraction of what the upstream was promised that the present window uses; zero without a limit.
func (s *Scheduler) RateLimitUse(now time.Time) float64 {
	return s.pacers.Named.WindowUse(now)
}

// IsThrottled reports whether the upstream's rate limit, or that while it is cold, keeps a request from starting now.
func (s *Scheduler) IsThrottled(now time.Time) bool {
	return !s.pacers.Allows(now)
}

// IsReplenished reports whether the upstream's rate limit allows a whole burst now.
func (s *Scheduler) IsReplenished(now time.Time) bool {
	return s.pacers.IsReplenished(now)
}

// rateDelay returns how long the upstream's rate limit would delay a request that is queued now behind all others; zero
// without a limit.
func (s *Scheduler) rateDelay(now time.Time) time.Duration {
	return s.rateDelayBehind(now, float64(s.queued))
}

// ReportedDelay returns the start delay that entry nodes are told. While a cold upstream has more requests than it bears, it is
// the time until a whole burst can start: each of many entries sends to it seldom, and would otherwise find it free whenever the
// short time until the next request has passed, and be refused because the others do the same.
func (s *Scheduler) ReportedDelay(now time.Time) time.Duration {
	delay := s.rateDelay(now)
	if !s.IsThrottled(now) {
		return delay
	}
	return max(delay, s.pacers.Cold.ReplenishedAt(now).Sub(now))
}

func (s *Scheduler) rateDelayBehind(now time.Time, ahead float64) time.Duration {
	return s.pacers.Next(now).Sub(now) + time.Duration(ahead*float64(s.pacers.Interval()))
}

// expectedRateDelay returns how long the upstream's rate limit is expected to delay a new request of the class: behind
// the queued requests of more urgent ranks, and those of its own rank that its neighbour's share lets go first.
func (s *Scheduler) expectedRateDelay(now time.Time, class Class) time.Duration {
	if !s.pacers.IsLimited() {
		return 0
	}
	rank, own := s.rankOf(class), s.flowOf(class)
	ownAhead := float64(own.queued)
	if own.backlog > 0 {
		ownAhead *= s.backlogAhead(class).Seconds() / own.backlog.Seconds()
	}
	ahead := min(float64(rank.queued), ownAhead/s.fairFraction(rank, own))
	for _, other := range s.moreUrgent(class) {
		ahead += float64(other.queued)
	}
	return s.rateDelayBehind(now, ahead)
}

// moreUrgent returns the ranks that are more urgent than the class.
func (s *Scheduler) moreUrgent(class Class) []*rankState {
	return s.ranks[:min(max(class.Rank, 0), len(s.ranks)-1)]
}

// SendNow records that the running waiter's request is sent to the upstream now.
func (s *Scheduler) SendNow(now time.Time, w *Waiter) {
	if w.pacers == nil {
		return
	}
	w.pacers.Sent(now)
	if w.pacers != s.pacers {
		// The upstream's process was replaced since the waiter got its slot. The new one gets the request as well.
		s.pacers.Cold.Count(now)
	}
	w.pacers = nil
}

// CountSent counts a request other than a waiter's that was sent to the upstream while it had a rate limit.
func (s *Scheduler) CountSent(now time.Time) {
	if s.pacers.Named.IsLimited() {
		s.pacers.Named.Count(now)
	}
}

// cancelSend gives back the permission of a waiter whose request was not sent.
func (w *Waiter) cancelSend() {
	if w.pacers == nil {
		return
	}
	w.pacers.Cancel()
	w.pacers = nil
}

// lateReason returns the reason for refusing a request that can't start in time: the upstream's rate limit where that keeps
// requests from free slots, and the given one elsewhere.
func (s *Scheduler) lateReason(reason refuser.Reason) refuser.Reason {
	if s.pacers.IsLimited() && s.running < s.slots {
		return refuser.ReasonRateLimit
	}
	return reason
}
