package scheduler

import "time"

// flow is the queue and the slot-time account of one neighbour within one rank. The flows of a rank share its
// slot-time by start-time fair queueing (Goyal, Vin and Cheng, 1996).
type flow struct {
	// backlog is the expected slot-time of the queued requests.
	backlog time.Duration
	// finishTag is the tag at which the last charged request ends, in the unit of rankState.virtualTime.
	finishTag float64
	neighbour string
	queue     []*Waiter
	// startTag is the tag at which the next queued request starts, in the same unit.
	startTag float64
	slotTime time.Duration
	weight   float64
}

func (f *flow) push(w *Waiter, virtualTime float64, cost time.Duration) {
	if len(f.queue) == 0 {
		f.startTag = max(virtualTime, f.finishTag)
	}
	f.queue = append(f.queue, w)
	f.backlog += cost
}

func (f *flow) pop(cost time.Duration) *Waiter {
	w := f.queue[0]
	f.queue[0] = nil
	f.queue = f.queue[1:]
	f.subtractBacklog(cost)
	return w
}

func (f *flow) remove(w *Waiter, cost time.Duration) bool {
	for i, queued := range f.queue {
		if queued != w {
			continue
		}
		f.queue = append(f.queue[:i], f.queue[i+1:]...)
		f.subtractBacklog(cost)
		return true
	}
	return false
}

func (f *flow) subtractBacklog(cost time.Duration) {
	f.backlog = max(0, f.backlog-cost)
	if len(f.queue) == 0 {
		f.backlog = 0
	}
}

// charge accounts for the start of a request and returns its start tag. The start tag of a request that was
// not queued is at least the rank's virtual time.
func (f *flow) charge(virtualTime float64, cost time.Duration, queued bool) float64 {
	startTag := f.startTag
	if !queued {
		startTag = max(virtualTime, f.finishTag)
	}
	f.finishTag = startTag + cost.Seconds()/f.weight
	f.startTag = f.finishTag
	f.slotTime += cost
	return startTag
}

// correct accounts for the difference between the actual and the charged cost. Credit and debt are bounded by
// maxDebt, so that a wrong cost estimate has no lasting effect.
func (f *flow) correct(difference time.Duration, virtualTime float64) {
	f.slotTime += difference
	bound := maxDebt.Seconds() / f.weight
	f.finishTag += difference.Seconds() / f.weight
	f.finishTag = min(max(f.finishTag, virtualTime-bound), virtualTime+bound)
	f.startTag = f.finishTag
}
