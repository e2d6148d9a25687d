package scheduler

import (
	"time"
)

// charge accounts for the expected cost of a request that leaves the queue or was never queued.
func (s *Scheduler) charge(w *Waiter) {
	w.charged = s.expectedCost(w.Class)
	rank := s.rankOf(w.Class)
	startTag := s.flowOf(w.Class).charge(s.workspaceOf(w.Class), rank.virtualTime, w.charged, w.phase == phaseQueued)
	rank.virtualTime = max(rank.virtualTime, startTag)
	s.updateCredits(rank, w.charged)
}

// correct accounts for the difference between the actual and the charged cost of a request.
func (s *Scheduler) correct(class Class, difference time.Duration) {
	rank := s.rankOf(class)
	f := s.flowOf(class)
	f.correct(difference, rank.virtualTime)
	s.workspaceOf(class).correct(difference, f.virtualTime)
	s.updateCredits(rank, difference)
}

// updateCredits adjusts the credits of all ranks for slot-time that the consumer used, or returned if the cost
// is negative. Each rank earns its guaranteed share of the cost, and the consumer pays all of it. Credit and
// debt are bounded by creditWindow of all slots; the credit of a rank without a backlog is bounded by the mean
// cost of one request.
func (s *Scheduler) updateCredits(consumer *rankState, cost time.Duration) {
	maxCredit := creditWindow * time.Duration(max(1, s.slots))
	maxIdleCredit := time.Duration(s.meanCost * float64(time.Second))
	for i, rank := range s.ranks {
		earned := time.Duration(float64(cost) * s.rankConfig(i).GuaranteedShare)
		bound := maxIdleCredit
		if rank.queued > 0 {
			bound = maxCredit
		}
		rank.credit = min(rank.credit+earned, bound)
	}
	consumer.credit = max(consumer.credit-cost, -maxCredit)
	consumer.slotTime += cost
	s.totalSlotTime += cost
}

const (
	// rateSmoothing is the weight of a new window in the smoothed service rate of a rank.
	rateSmoothing = 0.5
	rateWindow    = 100 * time.Millisecond
)

// updateRates measures the service rate of every rank with a backlog, once per rateWindow.
func (s *Scheduler) updateRates(now time.Time) {
	elapsed := now.Sub(s.ratesUpdated)
	if elapsed < rateWindow {
		return
	}
	s.ratesUpdated = now
	for _, rank := range s.ranks {
		rank.updateRate(elapsed)
	}
}

// updateRate updates the service rate at the end of a window. The rate is known only if the rank had a backlog
// at both ends of the window. It includes requests that were bound to other servers.
func (r *rankState) updateRate(elapsed time.Duration) {
	rate := (r.slotTime - r.slotTimeAtUpdate).Seconds() / elapsed.Seconds()
	switch {
	case r.queued == 0 || !r.wasBacklogged:
		r.serviceRate = 0
	case r.serviceRate == 0:
		r.serviceRate = rate
	default:
		r.serviceRate += rateSmoothing * (rate - r.serviceRate)
	}
	r.wasBacklogged = r.queued > 0
	r.slotTimeAtUpdate = r.slotTime
}

// updateCost adds the actual slot-time of a request to the smoothed means.
func (s *Scheduler) updateCost(class Class, used time.Duration) {
	seconds := used.Seconds()
	s.updateClassCost(class, seconds)
	if class.Workspace != "" {
		s.updateClassCost(class.withoutWorkspace(), seconds)
	}
	s.meanCost += costSmoothing * (seconds - s.meanCost)
}

func (s *Scheduler) updateClassCost(class Class, seconds float64) {
	old, ok := s.costs[class]
	if !ok {
		old = seconds
	}
	s.costs[class] = old + costSmoothing*(seconds-old)
}

// Account is the slot-time that the requests of one class have used.
type Account struct {
	Class    Class
	SlotTime time.Duration
}

// Accounts returns the slot-time used by each class, in no particular order.
func (s *Scheduler) Accounts() []Account {
	var accounts []Account
	for i, rank := range s.ranks {
		for _, f := range rank.flows {
			class := Class{Rank: i, Neighbour: f.neighbour}
			accounts = append(accounts, Account{Class: class, SlotTime: f.slotTime})
		}
	}
	return accounts
}
