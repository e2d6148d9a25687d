package gossiper

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// probe is a ping that waits for its ack.
type probe struct {
	// indirect is true once other members were asked to ping the target.
	indirect bool
	sentAt   time.Time
	target   string
}

// relay is a ping sent on behalf of another member. The ack is passed on to origin with the origin's
// sequence number.
type relay struct {
	expires  time.Time
	origin   netip.AddrPort
	sequence uint64
}

// handleAck ends the probe of the sequence number, or passes the ack of a relayed ping on.
func (g *Gossiper) handleAck(now time.Time, sequence uint64) {
	if r, ok := g.relays[sequence]; ok {
		delete(g.relays, sequence)
		if now.Before(r.expires) {
			g.enqueue(r.origin, &Packet{Kind: KindAck, Sequence: r.sequence})
		}
		return
	}
	delete(g.probes, sequence)
}

// relayPing pings the target of an indirect ping and removes expired relays.
func (g *Gossiper) relayPing(now time.Time, from netip.AddrPort, p *Packet) {
	target, ok := g.members[p.Target]
	if !ok {
		return
	}
	g.sequence++
	g.relays[g.sequence] = relay{expires: now.Add(probeInterval), origin: from, sequence: p.Sequence}
	g.enqueue(target.Control, &Packet{Kind: KindPing, Sequence: g.sequence, Target: p.Target})
	for sequence, r := range g.relays {
		if now.After(r.expires) {
			delete(g.relays, sequence)
		}
	}
}

// probeNext probes the next member. Members of the same data centre are probed more often.
func (g *Gossiper) probeNext(now time.Time) {
	target := g.nextProbeTarget()
	if target == nil {
		return
	}
	g.sequence++
	g.probes[g.sequence] = &probe{sentAt: now, target: target.Name}
	g.ping(target, g.sequence)
}

// ping sends a ping. The sequence number zero belongs to no probe, so that the ack of such a ping ends
// none.
func (g *Gossiper) ping(target *entry, sequence uint64) {
	p := &Packet{Kind: KindPing, Sequence: sequence, Target: target.Name}
	if target.Status != StatusAlive {
		// The member has to receive its own record to refute the suspicion or death.
		p.Members = append(p.Members, target.Member)
	}
	g.enqueue(target.Control, p)
}

// nextProbeTarget returns the next member of the round, or nil if there is none to probe.
func (g *Gossiper) nextProbeTarget() *entry {
	for range 2 {
		for len(g.probeQueue) > 0 {
			name := g.probeQueue[0]
			g.probeQueue = g.probeQueue[1:]
			if m, ok := g.members[name]; ok && g.isActivePeer(m) {
				return m
			}
		}
		g.refillProbeQueue()
	}
	return nil
}

// isActivePeer reports whether m is another member that is alive or suspect.
func (g *Gossiper) isActivePeer(m *entry) bool {
	return m.Name != g.self && m.Status <= StatusSuspect
}

// refillProbeQueue starts a new round in random order: every member once, and random members of the local
// data centre again, if there are any, so that they make up at least localProbeShare of the probes.
func (g *Gossiper) refillProbeQueue() {
	ownDataCentre := g.members[g.self].DataCentre
	var localNames, remoteNames []string
	for _, name := range g.sortedNames() {
		m := g.members[name]
		switch {
		case !g.isActivePeer(m):
		case m.DataCentre == ownDataCentre:
			localNames = append(localNames, name)
		default:
			remoteNames = append(remoteNames, name)
		}
	}
	round := append(slices.Clone(localNames), remoteNames...)
	extraLocal := int(float64(len(remoteNames))*localProbeShare/(1-localProbeShare)) - len(localNames)
	for len(localNames) > 0 && extraLocal > 0 && len(remoteNames) > 0 {
		round = append(round, localNames[g.random.IntN(len(localNames))])
		extraLocal--
	}
	g.random.Shuffle(len(round), func(i, j int) { round[i], round[j] = round[j], round[i] })
	g.probeQueue = round
}

func (g *Gossiper) sortedNames() []string {
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// checkProbes sends indirect pings for probes without an ack after ackTimeout, and suspects the targets of
// probes without one after probeInterval.
func (g *Gossiper) checkProbes(now time.Time) {
	for _, sequence := range sortedKeys(g.probes) {
		p := g.probes[sequence]
		switch waited := now.Sub(p.sentAt); {
		case waited >= probeInterval:
			delete(g.probes, sequence)
			g.markSuspect(p.target)
		case waited >= ackTimeout && !p.indirect:
			p.indirect = true
			g.sendIndirectPings(p.target, sequence)
		}
	}
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// sendIndirectPings asks random members to ping the target.
func (g *Gossiper) sendIndirectPings(target string, sequence uint64) {
	for _, helper := range g.pickPeers(indirectProbers, target) {
		g.enqueue(helper.Control, &Packet{Kind: KindIndirectPing, Sequence: sequence, Target: target})
	}
}

// pickPeers returns up to n random other members that are alive or suspect, without the excluded one. It
// makes at most 10 draws per wanted member.
func (g *Gossiper) pickPeers(n int, exclude string) []*entry {
	names := g.sortedNames()
	var picked []*entry
	for draws := 0; len(picked) < n && draws < 10*n; draws++ {
		m := g.members[names[g.random.IntN(len(names))]]
		if m.Name == exclude || !g.isActivePeer(m) || slices.Contains(picked, m) {
			continue
		}
		picked = append(picked, m)
	}
	return picked
}

// markSuspect changes an alive member to suspect and pings it with its changed record.
func (g *Gossiper) markSuspect(name string) {
	m, ok := g.members[name]
	if !ok || m.Status != StatusAlive {
		return
	}
	g.counters.Suspicions++
	suspected := m.Member
	suspected.Status = StatusSuspect
	g.merge(suspected)
	g.ping(g.members[name], 0)
}

// suspicionTimeout returns how long a member can stay suspect before it is declared dead. It grows with the
// logarithm of the number of members.
func (g *Gossiper) suspicionTimeout() time.Duration {
	scale := math.Log10(float64(max(10, len(g.members))))
	return time.Duration(float64(suspicionBase) * scale)
}

// checkSuspects pings suspect members, declares those dead whose suspicion timed out, and removes the
// records of members that have long been dead or left.
func (g *Gossiper) checkSuspects(now time.Time) {
	limit := g.suspicionTimeout()
	for _, name := range g.sortedNames() {
		m := g.members[name]
		age := now.Sub(m.since)
		switch {
		case m.Status == StatusSuspect && age < limit && g.ticks%suspectPingTicks == 0:
			g.ping(m, 0)
		case m.Status == StatusSuspect && age >= limit:
			g.counters.Deaths++
			dead := m.Member
			dead.Status = StatusDead
			g.merge(dead)
		case m.Status >= StatusDead && age >= deadRetention:
			g.viewHash ^= m.hash()
			delete(g.members, name)
			delete(g.updates, name)
		}
	}
}

// reconnect pings a random seed unless it is known as alive, and a random dead member, so that the sides of
// a healed network partition find each other again.
func (g *Gossiper) reconnect() {
	alive := make(map[netip.AddrPort]bool)
	var dead []*entry
	for _, name := range g.sortedNames() {
		m := g.members[name]
		alive[m.Control] = alive[m.Control] || m.Status == StatusAlive
		if m.Status == StatusDead {
			dead = append(dead, m)
		}
	}
	if len(g.seeds) > 0 {
		if seed := g.seeds[g.random.IntN(len(g.seeds))]; !alive[seed] {
			g.enqueue(seed, &Packet{Kind: KindPing, Members: []Member{g.members[g.self].Member}})
		}
	}
	if len(dead) > 0 {
		g.ping(dead[g.random.IntN(len(dead))], 0)
	}
}
