// Package gossiper keeps the list of members. It detects failures and spreads changes as SWIM does
// (Das, Gupta and Motivala, 2002), with suspicion before death and incarnations that refute it.
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

// TickInterval is how often the owner calls Tick.
const TickInterval = 200 * time.Millisecond

const (
	ackTimeout       = 400 * time.Millisecond
	bytesPerRecord   = 150
	deadKeepTime     = 3 * time.Hour
	fanout           = 3
	indirectHelpers  = 3
	maxPiggyback     = 6
	nearPart         = 0.75
	probeInterval    = time.Second
	reconnectTicks   = 50
	retransmitFactor = 4
	suspectPingTicks = 5
	suspicionBase    = 4 * time.Second
)

// Transport sends one datagram. It may be lost.
type Transport interface {
	Send(to netip.AddrPort, datagram []byte)
}

// Observer is told of changes, without a lock held.
type Observer interface {
	// LoadSeen follows each packet that tells the load of a member's upstream.
	LoadSeen(from Member, load Load)
	// MemberChanged follows each change of a member's record.
	MemberChanged(m Member)
	// ViewDiffers follows a packet from a member whose view is not the own, while no change is
	// being spread.
	ViewDiffers(from Member)
	// VersionSeen follows each packet that names a document version.
	VersionSeen(from Member, version uint64)
}

// Budget allows control bytes to be sent.
type Budget interface {
	// Allows reports whether so many bytes may be sent now.
	Allows(bytes int) bool
}

// Config holds the dependencies of a Gossiper.
type Config struct {
	Budget    Budget
	Clock     timekeeper.Clock
	Codec     *Codec
	Observer  Observer
	Random    *rand.Rand
	Seeds     []netip.AddrPort
	Self      Member
	Transport Transport
}

// Gossiper is one member's view of all. It is safe for concurrent use.
type Gossiper struct {
	budget    Budget
	clock     timekeeper.Clock
	codec     *Codec
	observer  Observer
	random    *rand.Rand
	seeds     []netip.AddrPort
	transport Transport

	mu        sync.Mutex
	changed   []Member
	counters  Counters
	due       []string
	lastProbe time.Time
	left      bool
	members   map[string]*entry
	order     int
	outbox    []datagram
	probes    map[uint64]*probe
	relays    map[uint64]relay
	seen      []versionSeen
	self      string
	sequence  uint64
	ticks     int
	updates   map[string]*update
	version   uint64
	// versionSends is how often the version is still sent on its own.
	versionSends int
	view         uint64
}

// Counters tell what the gossiper has done.
type Counters struct {
	BytesSent   uint64
	Deaths      uint64
	Malformed   uint64
	OverBudget  uint64
	PacketsSent uint64
	Refutations uint64
	Suspicions  uint64
}

type entry struct {
	Member
	since time.Time
}

type datagram struct {
	data []byte
	to   netip.AddrPort
}

type versionSeen struct {
	differs bool
	from    Member
	version uint64
}

// New returns a gossiper that knows only itself and its seeds.
func New(config Config) *Gossiper {
	g := &Gossiper{
		budget:    config.Budget,
		clock:     config.Clock,
		codec:     config.Codec,
		observer:  config.Observer,
		random:    config.Random,
		seeds:     config.Seeds,
		transport: config.Transport,
		members:   make(map[string]*entry),
		probes:    make(map[uint64]*probe),
		relays:    make(map[uint64]relay),
		self:      config.Self.Name,
		updates:   make(map[string]*update),
	}
	self := config.Self
	g.put(self)
	return g
}

// Tick does the periodic work: probes, timeouts and spreading of updates.
func (g *Gossiper) Tick() {
	g.mu.Lock()
	now := g.clock.Now()
	g.ticks++
	if !g.left {
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
	g.flush()
}

// Receive takes one datagram from the network.
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
	if sender, ok := g.members[p.Sender]; ok {
		if sender.Status == StatusSuspect {
			// It is well, and must hear what is said of it to refute it.
			sender.since = now
			g.send(sender.Control, &Packet{Kind: KindUpdate, Members: []Member{sender.Member}})
		}
		differs := p.View != 0 && p.View != g.view && len(g.updates) == 0
		g.seen = append(g.seen, versionSeen{differs, sender.Member, p.Version})
	}
	g.handle(now, from, p)
	g.flush()
}

// flush sends what the locked section produced and tells the observer, without the lock.
func (g *Gossiper) flush() {
	outbox, changed, seen := g.outbox, g.changed, g.seen
	g.outbox, g.changed, g.seen = nil, nil, nil
	g.mu.Unlock()
	for _, d := range outbox {
		g.transport.Send(d.to, d.data)
	}
	for _, m := range changed {
		g.observer.MemberChanged(m)
	}
	for _, v := range seen {
		g.observer.VersionSeen(v.from, v.version)
		if v.differs {
			g.observer.ViewDiffers(v.from)
		}
	}
}

func (g *Gossiper) handle(now time.Time, from netip.AddrPort, p *Packet) {
	switch p.Kind {
	case KindPing:
		g.send(from, &Packet{Kind: KindAck, Sequence: p.Sequence})
	case KindAck:
		g.acked(now, p.Sequence)
	case KindIndirectPing:
		g.relayPing(now, from, p)
	case KindUpdate:
	}
}

// SetUpstream changes what the member says of the upstream beside it.
func (g *Gossiper) SetUpstream(service string, slots int, state announcer.State) {
	g.mu.Lock()
	self := g.members[g.self].Member
	self.Service = service
	self.Slots = slots
	self.Upstream = state
	self.Sequence++
	g.put(self)
	g.changed = append(g.changed, self)
	g.spread()
	g.flush()
}

// SetVersion changes the document version that the member says it has in force.
func (g *Gossiper) SetVersion(version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	asserter.That(version >= g.version, "gossip-version", "%d after %d", version, g.version)
	if version > g.version {
		g.version = version
		g.versionSends = g.retransmits()
	}
}

// TellLoad sends the load of the own upstream to the named members.
func (g *Gossiper) TellLoad(to []string, load Load) {
	data, err := g.codec.Encode(&Packet{Kind: KindLoad, Sender: g.self, Load: &load})
	if err != nil {
		return
	}
	g.mu.Lock()
	for _, name := range to {
		if m, ok := g.members[name]; ok && name != g.self {
			g.outbox = append(g.outbox, datagram{data: data, to: m.Control})
		}
	}
	g.flush()
}

// AddSeeds adds addresses to try where no other member can be reached.
func (g *Gossiper) AddSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = append(slices.Clone(g.seeds), seeds...)
}

// Leave tells the others that the member goes on purpose.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	g.left = true
	self := g.members[g.self].Member
	self.Status = StatusLeft
	self.Sequence++
	g.put(self)
	g.spread()
	g.spread()
	g.flush()
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

// Record is a member with the time for which its status has held.
type Record struct {
	Member
	Age time.Duration
}

// Records returns every record with its age, sorted by name.
func (g *Gossiper) Records() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	records := make([]Record, 0, len(g.members))
	for _, name := range g.sortedNames() {
		m := g.members[name]
		records = append(records, Record{Member: m.Member, Age: now.Sub(m.since)})
	}
	return records
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

// Counters returns what the gossiper has done so far.
func (g *Gossiper) Counters() Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counters
}
