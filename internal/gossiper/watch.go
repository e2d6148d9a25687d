package gossiper

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// watchTicks is the number of ticks between two pings of a watched member.
	watchTicks = 2
	// maxTickGap is the time between two ticks above which this process itself was paused.
	maxTickGap = 3 * TickInterval
	// introductions is the number of pings of a watch that carry this member's own record. The watched member may know that
	// of an earlier process, or of another disk.
	introductions = 5
)

// Contact tells how long ago a watched member was last heard from.
type Contact struct {
	// Heard reports whether a packet has arrived from the member since the watch began.
	Heard bool
	// Silence is the time since the last packet from the member or, if later, since the watch began or this process
	// went on after a pause. It is zero for a member that was only watched until it was heard.
	Silence time.Duration
}

// watch is the state of one watched member.
type watch struct {
	heard bool
	// pings is the number of pings so far.
	pings int
	// since is the start of the current silence.
	since time.Time
	// untilHeard is true if the watch is over when the member has been heard from.
	untilHeard bool
}

// isOver reports whether the member is no longer pinged.
func (w *watch) isOver() bool {
	return w.untilHeard && w.heard
}

// Watch makes the gossiper ping the named members at a fixed interval, which does not grow with the number of members,
// until the next call of Watch or, if untilHeard is true, until a packet from the member arrives. A member that was watched
// in the same way before keeps its contact; the names need not be known. The first pings carry this member's own record, so
// that a watched member knows this one soon.
func (g *Gossiper) Watch(names []string, untilHeard bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	watched := make(map[string]*watch, len(names))
	for _, name := range names {
		if name == g.self {
			continue
		}
		watched[name] = g.watched[name]
		if w := watched[name]; w == nil || w.untilHeard != untilHeard {
			watched[name] = &watch{since: g.clock.Now(), untilHeard: untilHeard}
		}
	}
	g.watched = watched
}

// Contacts returns the contact with each watched member, by name.
func (g *Gossiper) Contacts() map[string]Contact {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	contacts := make(map[string]Contact, len(g.watched))
	for name, w := range g.watched {
		contacts[name] = Contact{Heard: w.heard}
		if !w.isOver() {
			contacts[name] = Contact{Heard: w.heard, Silence: now.Sub(w.since)}
		}
	}
	return contacts
}

// recordContact ends the silence of the sender of a packet, if it is watched.
func (g *Gossiper) recordContact(now time.Time, sender string) {
	if w := g.watched[sender]; w != nil {
		w.heard, w.since = true, now
	}
}

// tickWatch pings the watched members whose addresses are known. After a pause of this process every silence begins
// anew, because the packets of that time may be lost.
func (g *Gossiper) tickWatch(now time.Time) {
	if now.Sub(g.lastTick) > maxTickGap {
		for _, w := range g.watched {
			w.since = now
		}
	}
	g.lastTick = now
	if g.ticks%watchTicks != 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(g.watched)) {
		if m, ok := g.members[name]; ok && m.Status != StatusLeft && !g.watched[name].isOver() {
			g.sendHeartbeat(m, g.watched[name])
		}
	}
}

// sendHeartbeat pings a watched member, with this member's own record at first and until it was heard from. The ping belongs
// to no probe.
func (g *Gossiper) sendHeartbeat(target *entry, w *watch) {
	p := &Packet{Kind: KindPing, Target: target.Name}
	w.pings++
	if !w.heard || w.pings <= introductions {
		p.Members = []Member{g.members[g.self].Member}
	}
	g.enqueueAsIs(target.Control, p, true)
}

// acknowledge answers a ping, unless it is meant for another member. A ping that belongs to no probe is answered without
// updates.
func (g *Gossiper) acknowledge(from netip.AddrPort, ping *Packet) {
	if ping.Target != "" && ping.Target != g.self {
		return
	}
	ack := &Packet{Kind: KindAck, Sequence: ping.Sequence}
	if ping.Sequence == 0 && ping.Target != "" {
		g.enqueueAsIs(from, ack, true)
		return
	}
	g.enqueue(from, ack)
}
