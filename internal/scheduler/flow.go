package scheduler

import (
	"slices"
	"time"
)

// flow is the queue and the slot-time account of one neighbour within one rank. The flows of a rank share its
// slot-time by start-time fair queueing (Goyal, Vin and Cheng, 1996).
type flow struct {
	// active are the workspaces with queued requests.
	active []*workspaceFlow
	// backlog is the expected slot-time of the queued requests.
	backlog time.Duration
	// dropAt is the number of workspaces at which idle ones are dropped.
	dropAt int
	// finishTag is the tag at which the last charged request ends, in the unit of rankState.virtualTime.
	finishTag float64
	neighbour string
	queued    int
	// startTag is the tag at which the next queued request starts, in the same unit.
	startTag float64
	slotTime time.Duration
	// virtualTime is that of the workspaces, in seconds of slot-time per unit of their weights.
	virtualTime float64
	weight      float64
	// workspaces holds the workspaces that have had requests. Requests without a workspace are those of the empty name.
	workspaces map[string]*workspaceFlow
}

func (f *flow) push(w *Waiter, to *workspaceFlow, virtualTime float64, cost time.Duration) {
	if f.queued == 0 {
		f.startTag = max(virtualTime, f.finishTag)
	}
	if len(to.queue) == 0 {
		f.active = append(f.active, to)
	}
	to.push(w, f.virtualTime, cost)
	f.queued++
	f.backlog += cost
}

// removeAt removes the waiter at an index of the workspace's queue.
func (f *flow) removeAt(from *workspaceFlow, index int, cost time.Duration) {
	from.remove(index, cost)
	if len(from.queue) == 0 {
		f.active = slices.Delete(f.active, slices.Index(f.active, from), slices.Index(f.active, from)+1)
	}
	f.queued--
	f.backlog = max(0, f.backlog-cost)
	if f.queued == 0 {
		f.backlog = 0
	}
}

func (f *flow) remove(w *Waiter, from *workspaceFlow, cost time.Duration) bool {
	index := slices.Index(from.queue, w)
	if index < 0 {
		return false
	}
	f.removeAt(from, index, cost)
	return true
}

// first returns the workspace with a selected waiter and the smallest start tag, and the index of its first selected waiter. Ties
// are broken by the workspace's name. The result is nil if there is no selected waiter.
func (f *flow) first(selects filter) (*workspaceFlow, int) {
	var best *workspaceFlow
	bestIndex := 0
	for _, w := range f.active {
		if best != nil && (w.startTag > best.startTag || (w.startTag == best.startTag && w.name > best.name)) {
			continue
		}
		if index := w.firstIndex(selects); index >= 0 {
			best, bestIndex = w, index
		}
	}
	return best, bestIndex
}

// queuedWaiters returns the queued waiters.
func (f *flow) queuedWaiters() []*Waiter {
	var waiters []*Waiter
	for _, w := range f.active {
		waiters = append(waiters, w.queue...)
	}
	return waiters
}

// backlogAhead returns the expected slot-time that the neighbour's requests are given before a new request of the workspace.
func (f *flow) backlogAhead(own *workspaceFlow, cost time.Duration) time.Duration {
	weights, others := own.weight, false
	for _, w := range f.active {
		if w.name != own.name {
			weights += w.weight
			others = true
		}
	}
	if !others {
		return f.backlog
	}
	ahead := max(0, own.nextTag(f.virtualTime, cost)-f.virtualTime) * weights
	return min(f.backlog, time.Duration(min(ahead, f.backlog.Seconds())*float64(time.Second)))
}

// charge accounts for the start of a request of the workspace and returns the neighbour's start tag. The start tag of a request
// that was not queued is at least the rank's virtual time.
func (f *flow) charge(to *workspaceFlow, virtualTime float64, cost time.Duration, queued bool) float64 {
	f.virtualTime = max(f.virtualTime, to.charge(f.virtualTime, cost, queued))
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
