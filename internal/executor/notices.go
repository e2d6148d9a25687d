package executor

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxPeers bounds the entry nodes that are told of the load, so that the cost does not grow with the
	// fleet.
	maxPeers = 12
	// noticeInterval is the least time between two notices.
	noticeInterval = 10 * time.Millisecond
	// peerTime is for how long a node that has sent attempts is told of the load.
	peerTime = 3 * time.Second
)

// condition is what an entry node must know to pick a target.
type condition struct {
	full bool
	slow bool
}

// notices tells the nodes that have sent attempts of late when the upstream fills up, turns slow, or
// has room and its usual speed again.
type notices struct {
	at      time.Time
	peers   map[string]time.Time
	pending bool
	told    condition
}

// notePeer remembers the node that has sent the attempt.
func (e *Executor) notePeer(x *Execution) {
	entry, _, _ := strings.Cut(x.Attempt.Sender, ".")
	if entry == e.Name || entry == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.notices.peers == nil {
		e.notices.peers = make(map[string]time.Time)
	}
	e.notices.peers[entry] = e.Clock.Now()
}

// tell sends a notice if the condition has changed, at once or when the interval is over. It is called
// with mu held.
func (e *Executor) tell() {
	now := e.Clock.Now()
	if e.notices.pending || e.condition() == e.notices.told {
		return
	}
	wait := noticeInterval - now.Sub(e.notices.at)
	if wait <= 0 {
		e.sendNotice(now)
		return
	}
	e.notices.pending = true
	e.Clock.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.notices.pending = false
		if e.condition() != e.notices.told {
			e.sendNotice(e.Clock.Now())
		}
	})
}

// condition returns the present condition. An upstream that was full has room again from two free
// slots on, so that single requests at the limit cause no notices. It is called with mu held.
func (e *Executor) condition() condition {
	free := e.schedule.Slots() - e.schedule.Running()
	full := free <= 0 || e.schedule.Queued() > 0
	if e.notices.told.full && free < 2 {
		full = true
	}
	return condition{full: full, slow: e.isSlow()}
}

func (e *Executor) sendNotice(now time.Time) {
	e.notices.told = e.condition()
	e.notices.at = now
	e.Meter.Event("load_notices")
	go e.Links.TellLoad(e.recentPeers(now), e.currentLoad())
}

// recentPeers returns the nodes that have sent attempts last.
func (e *Executor) recentPeers(now time.Time) []string {
	var names []string
	for name, at := range e.notices.peers {
		if now.Sub(at) > peerTime {
			delete(e.notices.peers, name)
			continue
		}
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return e.notices.peers[b].Compare(e.notices.peers[a])
	})
	return names[:min(len(names), maxPeers)]
}
