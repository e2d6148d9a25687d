package executor

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxNotifiedPeers limits how many entry nodes get a load notice, so that the cost does not grow with
	// the fleet.
	maxNotifiedPeers = 12
	// minNoticeInterval is the minimum time between two load notices.
	minNoticeInterval = 10 * time.Millisecond
	// peerTTL is how long after its last attempt an entry node still gets load notices.
	peerTTL = 3 * time.Second
)

// loadCondition is the state of the upstream that entry nodes need for picking a target.
type loadCondition struct {
	full bool
	slow bool
}

// loadNotices is the state for notifying the nodes that have recently sent attempts when the upstream
// becomes full or slow, and when it has free slots or its usual speed again.
type loadNotices struct {
	lastSentAt    time.Time
	peers         map[string]time.Time
	pending       bool
	lastCondition loadCondition
}

// recordPeer records the time at which another node sent an attempt.
func (e *Executor) recordPeer(x *Execution) {
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

// notifyPeers sends a load notice if the condition has changed since the last one: at once, or when
// minNoticeInterval has passed. It is called with mu held.
func (e *Executor) notifyPeers() {
	now := e.Clock.Now()
	if e.notices.pending || e.currentCondition() == e.notices.lastCondition {
		return
	}
	wait := minNoticeInterval - now.Sub(e.notices.lastSentAt)
	if wait <= 0 {
		e.sendNotice(now)
		return
	}
	e.notices.pending = true
	e.Clock.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.notices.pending = false
		if e.currentCondition() != e.notices.lastCondition {
			e.sendNotice(e.Clock.Now())
		}
	})
}

// currentCondition returns the upstream's condition. Once reported full, an upstream counts as full until two slots
// are free and its rate limit allows a burst, so that single requests at the limit cause no notices. It is called with
// mu held.
func (e *Executor) currentCondition() loadCondition {
	free := e.schedule.Slots() - e.schedule.Running()
	now := e.Clock.Now()
	full := free <= 0 || e.schedule.Queued() > 0 || e.schedule.IsThrottled(now)
	if e.notices.lastCondition.full && (free < 2 || !e.schedule.IsReplenished(now)) {
		full = true
	}
	return loadCondition{full: full, slow: e.isSlow()}
}

func (e *Executor) sendNotice(now time.Time) {
	e.notices.lastCondition = e.currentCondition()
	e.notices.lastSentAt = now
	e.Meter.Event("load_notices")
	go e.Links.SendLoad(e.recentPeers(now), e.currentLoad())
}

// recentPeers returns up to maxNotifiedPeers nodes that have sent an attempt within peerTTL, the most recent
// ones first, and forgets older ones. It is called with mu held.
func (e *Executor) recentPeers(now time.Time) []string {
	var names []string
	for name, at := range e.notices.peers {
		if now.Sub(at) > peerTTL {
			delete(e.notices.peers, name)
			continue
		}
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return e.notices.peers[b].Compare(e.notices.peers[a])
	})
	return names[:min(len(names), maxNotifiedPeers)]
}
