package gossiper

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
)

// update is a record that is still being spread.
type update struct {
	member Member
	// order is higher for newer updates.
	order int
	// sendCount is the number of packets that the record was selected for.
	sendCount int
}

// merge stores a record in the view if it is newer than the one there.
func (g *Gossiper) merge(m Member) {
	if m.Name == g.self {
		g.mergeSelf(m)
		return
	}
	old, ok := g.members[m.Name]
	if ok && !m.isNewer(&old.Member) {
		return
	}
	if ok {
		asserter.That(!old.isNewer(&m), "gossip-monotonic", "the record of %s went back to an older one", m.Name)
	}
	var earlier *Member
	if ok {
		earlier = old.unforgotten(&m)
	}
	g.put(m)
	if earlier != nil {
		g.members[m.Name].earlier, g.members[m.Name].remindersLeft = earlier, maxReminders
	}
	g.changed = append(g.changed, m)
}

// maxReminders is how often a restarted member is told which upstream was leaving.
const maxReminders = 5

// unforgotten returns the record of an earlier process of the member that names a leaving upstream, if the next record is of
// a process that doesn't know it, or nil.
func (e *entry) unforgotten(next *Member) *Member {
	if next.LeavingInstance != "" {
		return nil
	}
	if e.LeavingInstance != "" && next.Incarnation > e.Incarnation {
		earlier := e.Member
		return &earlier
	}
	return e.earlier
}

// remind sends a member that was restarted the record of its earlier process, whose upstream was leaving: what that process
// has acknowledged binds this one.
func (g *Gossiper) remind(member *entry) {
	if member.earlier == nil || member.remindersLeft == 0 {
		return
	}
	member.remindersLeft--
	g.enqueue(member.Control, &Packet{Kind: KindUpdate, Members: []Member{*member.earlier}})
}

// put stores a record, updates the view's hash and begins to spread the record.
func (g *Gossiper) put(m Member) {
	if old, ok := g.members[m.Name]; ok {
		g.viewHash ^= old.hash()
	}
	g.viewHash ^= m.hash()
	g.members[m.Name] = &entry{Member: m, since: g.clock.Now()}
	g.lastOrder++
	g.updates[m.Name] = &update{member: m, order: g.lastOrder}
}

// mergeSelf handles a record of this member from another one. If it is newer than the member's own record,
// it is refuted: the own record is spread with a higher sequence number and, where the other incarnation is
// higher, an incarnation above that. A member that has left refutes nothing. What the record says of a leaving upstream is
// passed to the observer.
func (g *Gossiper) mergeSelf(m Member) {
	self := g.members[g.self].Member
	if m.LeavingInstance != "" && m.Leaving() != self.Leaving() {
		g.remembered = append(g.remembered, m.Leaving())
	}
	if g.hasLeft || !m.isNewer(&self) {
		return
	}
	g.counters.Refutations++
	if m.Incarnation > self.Incarnation {
		self.Incarnation = m.Incarnation + 1
	}
	self.Sequence = max(self.Sequence, m.Sequence) + 1
	g.put(self)
	g.changed = append(g.changed, self)
}

// spread sends pending updates and the document version to fanout random members. If the budget does not allow the updates, it
// sends the version alone, which is small. It stops when the budget is used up; what was not sent stays pending.
func (g *Gossiper) spread() {
	if len(g.updates) == 0 && g.versionSendsLeft == 0 {
		return
	}
	isSent, isOverBudget := false, false
	for _, m := range g.pickSpreadPeers() {
		switch {
		case g.budget.Allows(bytesPerRecord * min(maxPiggyback, len(g.updates))):
			g.enqueue(m.Control, &Packet{Kind: KindUpdate})
			isSent = true
		case g.versionSendsLeft > 0 && g.budget.Allows(bytesPerVersion):
			g.enqueueAsIs(m.Control, &Packet{Kind: KindUpdate}, false)
			isSent, isOverBudget = true, true
		default:
			isOverBudget = true
		}
	}
	if isOverBudget {
		g.counters.OverBudget++
	}
	if isSent {
		g.versionSendsLeft = max(0, g.versionSendsLeft-1)
	}
}

// startWindow is how long after its start a member prefers none of its data centre: most others may be starting as well, and their
// records have to reach everybody soon.
const startWindow = 5 * time.Second

func (g *Gossiper) isStarting() bool {
	return g.clock.Now().Sub(g.started) < startWindow
}

// pickSpreadPeers returns up to fanout other members to send updates to: each with the probability localSpread a random one of
// the same data centre, if there are any left, and any random one otherwise.
func (g *Gossiper) pickSpreadPeers() []*entry {
	if g.localSpread == 0 || g.isStarting() {
		return g.pickPeers(fanout, "")
	}
	ownDataCentre := g.members[g.self].DataCentre
	var local []*entry
	for _, name := range g.sortedNames() {
		if m := g.members[name]; g.isActivePeer(m) && m.DataCentre == ownDataCentre {
			local = append(local, m)
		}
	}
	g.random.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	var picked []*entry
	for range fanout {
		if len(local) > 0 && g.random.Float64() < g.localSpread {
			picked, local = append(picked, local[0]), local[1:]
		}
	}
	for _, m := range g.pickPeers(fanout, "") {
		if len(picked) < fanout && !slices.Contains(picked, m) {
			picked = append(picked, m)
		}
	}
	return picked
}

// maxRetransmits returns the number of times an update is sent, so that all members very likely receive it.
// It grows with the logarithm of the number of members.
func (g *Gossiper) maxRetransmits() int {
	return int(math.Ceil(retransmitFactor * math.Log10(float64(len(g.members)+10))))
}

// piggyback returns up to maxRecords of the updates that were sent least often, and removes those from the
// pending ones that have now been sent maxRetransmits times.
func (g *Gossiper) piggyback(maxRecords int) []Member {
	names := make([]string, 0, len(g.updates))
	for name := range g.updates {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := g.updates[a], g.updates[b]
		if x.sendCount != y.sendCount {
			return x.sendCount - y.sendCount
		}
		// Among updates sent equally often the newest goes first, so that a drain is not delayed when many members
		// start at once.
		return y.order - x.order
	})
	limit := g.maxRetransmits()
	var members []Member
	for _, name := range names[:min(maxRecords, len(names))] {
		u := g.updates[name]
		members = append(members, u.member)
		u.sendCount++
		if u.sendCount >= limit {
			delete(g.updates, name)
		}
	}
	return members
}

// enqueue fills in the sender's fields of a packet, adds pending updates up to maxPiggyback records, and
// queues it in the outbox. Records that don't fit into MaxPacketBytes are cut off the end.
func (g *Gossiper) enqueue(to netip.AddrPort, p *Packet) {
	p.Members = append(p.Members, g.piggyback(maxPiggyback-len(p.Members))...)
	g.enqueueAsIs(to, p, false)
}

// enqueueAsIs fills in the sender's fields of a packet and queues it in the outbox, without pending updates.
func (g *Gossiper) enqueueAsIs(to netip.AddrPort, p *Packet, isHeartbeat bool) {
	p.Sender = g.self
	p.Version = g.version
	if p.Kind == KindPing || p.Kind == KindAck {
		p.ViewHash = g.viewHash
	}
	data, err := g.codec.Encode(p)
	for err == nil && len(data) > MaxPacketBytes && len(p.Members) > 0 {
		p.Members = p.Members[:len(p.Members)-1]
		data, err = g.codec.Encode(p)
	}
	if err != nil || !asserter.That(len(data) <= MaxPacketBytes, "gossip-packet-size", "%d bytes", len(data)) {
		return
	}
	g.counters.PacketsSent++
	g.counters.BytesSent += uint64(len(data))
	g.outbox = append(g.outbox, datagram{data: data, isHeartbeat: isHeartbeat, to: to})
}

// spreadTime is how long an update usually takes to reach all members.
const spreadTime = time.Second

// hasFreshUpdates reports whether updates are being spread and all of them are younger than spreadTime. Views are not
// compared meanwhile, because they become equal by themselves. Many updates, as at the start of a deployment, would take
// minutes to spread within the budget.
func (g *Gossiper) hasFreshUpdates(now time.Time) bool {
	for name := range g.updates {
		if now.Sub(g.members[name].since) >= spreadTime {
			return false
		}
	}
	return len(g.updates) > 0
}
