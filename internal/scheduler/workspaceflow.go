package scheduler

import "time"

// workspaceLead is the number of requests that a workspace can be ahead of its share after a time in which it used less. With
// none, the smallest of 76 workspaces get 0.67 to 0.86 of their shares since their requests arrive at random intervals, and with
// 8 those of middle size 0.96.
const workspaceLead = 16

// workspaceFlow is the queue of one workspace within the flow of its neighbour. The workspaces of a neighbour share its slot-time by
// start-time fair queueing, as the neighbours share that of the rank.
type workspaceFlow struct {
	backlog time.Duration
	// finishTag and startTag are in the unit of flow.virtualTime.
	finishTag float64
	name      string
	queue     []*Waiter
	startTag  float64
	weight    float64
}

// earliestTag returns the start tag of a request of the cost that is not behind another one of the workspace.
func (w *workspaceFlow) earliestTag(virtualTime float64, cost time.Duration) float64 {
	return max(virtualTime-workspaceLead*cost.Seconds()/w.weight, w.finishTag)
}

// nextTag returns the start tag of a new request that is queued behind all others of the workspace.
func (w *workspaceFlow) nextTag(virtualTime float64, cost time.Duration) float64 {
	if len(w.queue) == 0 {
		return w.earliestTag(virtualTime, cost)
	}
	return w.startTag + w.backlog.Seconds()/w.weight
}

func (w *workspaceFlow) push(waiter *Waiter, virtualTime float64, cost time.Duration) {
	if len(w.queue) == 0 {
		w.startTag = w.earliestTag(virtualTime, cost)
	}
	w.queue = append(w.queue, waiter)
	w.backlog += cost
}

func (w *workspaceFlow) remove(index int, cost time.Duration) {
	if index == 0 {
		w.queue[0] = nil
		w.queue = w.queue[1:]
	} else {
		w.queue = append(w.queue[:index], w.queue[index+1:]...)
	}
	w.backlog = max(0, w.backlog-cost)
	if len(w.queue) == 0 {
		w.backlog = 0
	}
}

// charge accounts for the start of a request and returns its start tag.
func (w *workspaceFlow) charge(virtualTime float64, cost time.Duration, queued bool) float64 {
	startTag := w.startTag
	if !queued {
		startTag = w.earliestTag(virtualTime, cost)
	}
	w.finishTag = startTag + cost.Seconds()/w.weight
	w.startTag = w.finishTag
	return startTag
}

// correct accounts for the difference between the actual and the charged cost, within the same bounds as for a neighbour.
func (w *workspaceFlow) correct(difference time.Duration, virtualTime float64) {
	bound := maxDebt.Seconds() / w.weight
	w.finishTag += difference.Seconds() / w.weight
	w.finishTag = min(max(w.finishTag, virtualTime-bound), virtualTime+bound)
	w.startTag = w.finishTag
}

// firstIndex returns the index of the first selected waiter, or -1.
func (w *workspaceFlow) firstIndex(selects filter) int {
	for i, waiter := range w.queue {
		if selects(waiter) {
			return i
		}
	}
	return -1
}
