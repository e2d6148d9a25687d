// Package gossiper maintains the membership list of the nodes. It implements failure detection and
// dissemination of changes as in SWIM (Das, Gupta and Motivala, 2002): a member is suspected before it
// is declared dead, and refutes a suspicion with a record of a higher sequence number or incarnation.
package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// TickInterval is the interval at which the owner of a Gossiper must call Tick.
const TickInterval = 200 * time.Millisecond

const (
	// ackTimeout is how long a direct ping waits for its ack before other members are asked to ping.
	ackTimeout = 400 * time.Millisecond
	// bytesPerRecord is the size that the budget is charged for each member record in an update packet.
	bytesPerRecord = 150
	// bytesPerVersion is the size that the budget must allow for a packet without records.
	bytesPerVersion = 150
	// deadRetention is how long the record of a dead or left member is kept.
	deadRetention = 3 * time.Hour
	// fanout is the number of random members that each tick sends updates to.
	fanout = 3
	// DefaultLocalSpread is the Config.LocalSpread where bytes that leave a data centre cost.
	DefaultLocalSpread = 0.75
	// indirectProbers is the number of members that are asked to ping a member that does not answer.
	indirectProbers = 3
	// maxPiggyback is the largest number of member records in a packet.
	maxPiggyback = 6
	// localProbeShare is the share of probes that goes to members of the same data centre.
	localProbeShare = 0.75
	// probeInterval is the time between two probes, and the total time a probe has for its ack.
	probeInterval = time.Second
	// reconnectTicks is the number of ticks between two calls of reconnect.
	reconnectTicks = 50
	// retransmitFactor scales the number of times that an update is sent; see maxRetransmits.
	retransmitFactor = 4
	// suspectPingTicks is the number of ticks between two pings of a suspect member.
	suspectPingTicks = 5
	// suspicionBase is the suspicion timeout of a network of up to 10 members; see suspicionTimeout.
	suspicionBase = 4 * time.Second
)

// Transport sends datagrams to other members. Delivery is not guaranteed.
type Transport interface {
	Send(to netip.AddrPort, datagram []byte)
	// SendHeartbeat is like Send for a datagram of a watch. There are few of them, whatever the number of members, and they
	// take nothing from the budget for spreading updates.
	SendHeartbeat(to netip.AddrPort, datagram []byte)
	// SendLoad is like Send for a datagram with the load of the local upstream.
	SendLoad(to netip.AddrPort, datagram []byte)
}

// Observer receives the events of a Gossiper. Its methods are called without a lock held.
type Observer interface {
	// LoadSeen is called for each packet that carries the load of a member's upstream.
	LoadSeen(from Member, load Load)
	// MemberChanged is called after each change of a member's record.
	MemberChanged(m Member)
	// LeavingRemembered is called with the process of the local upstream that has said, to an earlier process of this
	// node, that it leaves. Members that remember it repeat it.
	LeavingRemembered(process announcer.Process)
	// ViewDiffers is called for a packet from a member whose membership list differs from the local
	// one, while no update is waiting to be sent.
	ViewDiffers(from Member)
	// VersionSeen is called with the document version in each packet from a known member, except for
	// packets of KindLoad. The version is zero if the member has no document in force.
	VersionSeen(from Member, version uint64)
}

// Budget limits the rate of control traffic.
type Budget interface {
	// Allows reports whether the given number of bytes can be sent now.
	Allows(bytes int) bool
}

// Config holds the dependencies of a Gossiper and the member's own initial record.
type Config struct {
	Budget Budget
	Clock  timekeeper.Clock
	Codec  *Codec
	// LocalSpread is the part of the packets with updates that goes to members of the same data centre, beside those that
	// go there by chance.
	LocalSpread float64
	Observer    Observer
	Random      *rand.Rand
	Seeds       []netip.AddrPort
	Self        Member
	Transport   Transport
}

// Gossiper holds one member's view: the records of all members that it knows of. It is safe for
// concurrent use.
type Gossiper struct {
	budget      Budget
	clock       timekeeper.Clock
	codec       *Codec
	localSpread float64
	observer    Observer
	random      *rand.Rand
	seeds       []netip.AddrPort
	started     time.Time
	transport   Transport

	mu sync.Mutex
	// changed holds the changed records that the observer has not received yet.
	changed  []Member
	counters Counters
	// probeQueue holds the names of the members still to be probed in this round.
	probeQueue []string
	lastProbe  time.Time
	hasLeft    bool
	isDraining bool
	// isNotifying is set while a goroutine passes events to the observer, also those of others.
	isNotifying bool
	members     map[string]*entry
	// lastOrder is the order number of the newest update.
	lastOrder int
	// outbox holds the datagrams to be sent when mu is released.
	outbox []datagram
	// probes holds the unacknowledged probes by sequence number.
	probes map[uint64]*probe
	// relays holds the unacknowledged pings on behalf of other members by sequence number.
	relays map[uint64]relay
	// remembered holds the leaving processes that the observer has not received yet.
	remembered []announcer.Process
	// senderStates holds what the observer has not received yet of the senders of packets.
	senderStates []senderState
	self         string
	sequence     uint64
	ticks        int
	// updates holds the records that are still being spread, by member name.
	updates map[string]*update
	version uint64
	// lastTick is the time of the last call of Tick.
	lastTick time.Time
	// watched holds the watched members by name.
	watched map[string]*watch
	// versionSendsLeft is the number of ticks that still send the version without any pending update.
	versionSendsLeft int
	// viewHash is the XOR of the hashes of all records.
	viewHash uint64
}

// Counters holds the totals of a Gossiper since it was created.
type Counters struct {
	BytesSent uint64
	// Deaths counts the members that this member has declared dead itself.
	Deaths uint64
	// Malformed counts the received datagrams that could not be decoded.
	Malformed uint64
	// OverBudget counts the times that the budget cut the spreading of updates short.
	OverBudget  uint64
	PacketsSent uint64
	// Refutations counts the records of this member that it has overridden with a newer one.
	Refutations uint64
	// Suspicions counts the members that this member has begun to suspect itself.
	Suspicions uint64
}

// entry is a member's record in the view.
type entry struct {
	Member
	// since is when the record was stored. A packet from a suspect member resets it, which restarts the
	// suspicion timeout.
	since time.Time
	// earlier is the record of an earlier process of the member whose upstream was leaving; nil if there was none, or if the
	// member has been told. remindersLeft is how often it is still sent to the member.
	earlier       *Member
	remindersLeft int
}

// datagram is an encoded packet in the outbox.
type datagram struct {
	data []byte
	// isHeartbeat is true for a ping of a watch and its ack.
	isHeartbeat bool
	// isLoad is true for the load of the local upstream.
	isLoad bool
	to     netip.AddrPort
}

// senderState is what a received packet reveals of its sender: the document version and whether its
// view differs from the local one.
type senderState struct {
	viewDiffers bool
	from        Member
	version     uint64
}

// New returns a gossiper that knows only its own member and the addresses of its seeds.
func New(config Config) *Gossiper {
	g := &Gossiper{
		budget:      config.Budget,
		clock:       config.Clock,
		codec:       config.Codec,
		localSpread: config.LocalSpread,
		started:     config.Clock.Now(),
		observer:    config.Observer,
		random:      config.Random,
		seeds:       config.Seeds,
		transport:   config.Transport,
		members:     make(map[string]*entry),
		probes:      make(map[uint64]*probe),
		relays:      make(map[uint64]relay),
		self:        config.Self.Name,
		updates:     make(map[string]*update),
	}
	self := config.Self
	g.put(self)
	return g
}

// Tick does the periodic work: probes, timeouts, reconnects and spreading of updates.
func (g *Gossiper) Tick() {
	g.mu.Lock()
	now := g.clock.Now()
	g.ticks++
	if !g.hasLeft {
		g.tickWatch(now)
		g.checkProbes(now)
		g.checkSuspects(now)
		if now.Sub(g.lastProbe) >= probeInterval {
			g.lastProbe = now
			g.probeNext(now)
		}
		if g.ticks%reconnectTicks == 1 {
			g.reconnect()
		}
	}
	g.spread()
	g.unlockAndFlush()
}

// Receive processes one datagram from the network. A malformed datagram is counted and ignored.
func (g *Gossiper) Receive(from netip.AddrPort, data []byte) {
	p, err := g.codec.Decode(data)
	g.mu.Lock()
	if err != nil {
		g.counters.Malformed++
		g.mu.Unlock()
		return
	}
	if p.Kind == KindLoad {
		sender, ok := g.members[p.Sender]
		g.recordContact(g.clock.Now(), p.Sender)
		g.mu.Unlock()
		if ok {
			g.observer.LoadSeen(sender.Member, *p.Load)
		}
		return
	}
	now := g.clock.Now()
	for i := range p.Members {
		g.merge(p.Members[i])
	}
	g.recordContact(now, p.Sender)
	if sender, ok := g.members[p.Sender]; ok {
		g.remind(sender)
		if sender.Status == StatusSuspect {
			// The sender is alive and has to receive the suspicion to refute it.
			sender.since = now
			g.enqueue(sender.Control, &Packet{Kind: KindUpdate, Members: []Member{sender.Member}})
		}
		viewDiffers := p.ViewHash != 0 && p.ViewHash != g.viewHash && !g.hasFreshUpdates(now)
		g.senderStates = append(g.senderStates, senderState{viewDiffers, sender.Member, p.Version})
	}
	g.handle(now, from, p)
	g.unlockAndFlush()
}

// unlockAndFlush releases mu, sends the queued datagrams and passes the collected events to the
// observer.
func (g *Gossiper) unlockAndFlush() {
	outbox := g.outbox
	g.outbox = nil
	isNotifying := g.isNotifying
	g.isNotifying = true
	g.mu.Unlock()
	for _, d := range outbox {
		switch {
		case d.isHeartbeat:
			g.transport.SendHeartbeat(d.to, d.data)
		case d.isLoad:
			g.transport.SendLoad(d.to, d.data)
		default:
			g.transport.Send(d.to, d.data)
		}
	}
	if isNotifying {
		return
	}
	for g.notifyObserver() {
	}
}

// notifyObserver passes the collected events to the observer. It returns false, and gives the next caller of
// unlockAndFlush its turn, when there are none. Only one goroutine calls it at a time, so that the observer gets the
// changes of a member in their order.
func (g *Gossiper) notifyObserver() bool {
	g.mu.Lock()
	changed, senderStates, remembered := g.changed, g.senderStates, g.remembered
	g.changed, g.senderStates, g.remembered = nil, nil, nil
	g.isNotifying = len(changed)+len(senderStates)+len(remembered) > 0
	isNotifying := g.isNotifying
	g.mu.Unlock()
	for _, process := range remembered {
		g.observer.LeavingRemembered(process)
	}
	for _, m := range changed {
		g.observer.MemberChanged(m)
	}
	for _, v := range senderStates {
		g.observer.VersionSeen(v.from, v.version)
		if v.viewDiffers {
			g.observer.ViewDiffers(v.from)
		}
	}
	return isNotifying
}

// handle processes the parts of a packet that depend on its kind.
func (g *Gossiper) handle(now time.Time, from netip.AddrPort, p *Packet) {
	switch p.Kind {
	case KindPing:
		g.acknowledge(from, p)
	case KindAck:
		g.handleAck(now, p.Sequence)
	case KindIndirectPing:
		g.relayPing(now, from, p)
	case KindUpdate:
	}
}

// SetUpstream updates the service, slots, state and process of the local upstream in the member's own record and
// spreads the change. After Drain no upstream becomes ready.
func (g *Gossiper) SetUpstream(a announcer.Announcement) {
	g.mu.Lock()
	state := a.State
	self := g.members[g.self].Member
	self.Service = a.Service
	self.Slots = a.Slots
	self.Upstream = state
	switch state {
	case announcer.StateDraining:
		self.LeavingInstance, self.LeavingBorn = a.Instance, a.Born
	case announcer.StateReady:
		self.LeavingInstance, self.LeavingBorn = "", 0
	case announcer.StateGone, announcer.StateStarting:
	}
	if g.isDraining && state == announcer.StateReady {
		self.Upstream = announcer.StateDraining
	}
	g.putSelf(self)
}

// Drain announces to the other members that this one gets no more attempts, whatever its upstream announces.
func (g *Gossiper) Drain() {
	g.mu.Lock()
	g.isDraining = true
	self := g.members[g.self].Member
	self.Upstream = announcer.StateDraining
	g.putSelf(self)
}

// putSelf stores and spreads a change of the member's own record. It is called with mu held and releases it.
func (g *Gossiper) putSelf(self Member) {
	self.Sequence++
	g.put(self)
	g.changed = append(g.changed, self)
	g.spread()
	g.unlockAndFlush()
}

// SetVersion sets the document version that the member reports as in force. The version must not
// decrease.
func (g *Gossiper) SetVersion(version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	asserter.That(version >= g.version, "gossip-version", "version %d after version %d", version, g.version)
	if version > g.version {
		g.version = version
		g.versionSendsLeft = g.maxRetransmits()
	}
}

// SendLoad sends the load of the local upstream to the named members, in one packet each without
// acknowledgement. Unknown names and the member's own are skipped.
func (g *Gossiper) SendLoad(to []string, load Load) {
	data, err := g.codec.Encode(&Packet{Kind: KindLoad, Sender: g.self, Load: &load})
	if err != nil {
		return
	}
	g.mu.Lock()
	for _, name := range to {
		if m, ok := g.members[name]; ok && name != g.self {
			g.outbox = append(g.outbox, datagram{data: data, isLoad: true, to: m.Control})
		}
	}
	g.unlockAndFlush()
}

// AddSeeds adds addresses to the seeds, which are pinged from time to time unless an alive member is known
// at the address.
func (g *Gossiper) AddSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = append(slices.Clone(g.seeds), seeds...)
}

// Leave announces to other members that this member is leaving on purpose, and stops probing them.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	g.hasLeft = true
	self := g.members[g.self].Member
	self.Status = StatusLeft
	self.Sequence++
	g.put(self)
	g.spread()
	g.spread()
	g.unlockAndFlush()
}

// Self returns the member's own record.
func (g *Gossiper) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[g.self].Member
}

// Member returns the record of the named member.
func (g *Gossiper) Member(name string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[name]
	if !ok {
		return Member{}, false
	}
	return m.Member, true
}

// Members returns every record, sorted by name.
func (g *Gossiper) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := make([]Member, 0, len(g.members))
	for _, name := range g.sortedNames() {
		members = append(members, g.members[name].Member)
	}
	return members
}

// Counters returns a copy of the totals so far.
func (g *Gossiper) Counters() Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counters
}
