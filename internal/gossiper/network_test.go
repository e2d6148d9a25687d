package gossiper

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/signer"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	flight   = time.Millisecond
	headers  = 28
	testSeed = 3
)

// network carries the datagrams of many gossipers in virtual time.
type network struct {
	codec   *Codec
	events  deliveries
	loss    float64
	now     time.Time
	order   int
	random  *rand.Rand
	sides   map[string]int
	stopped map[string]bool
	tb      testing.TB
	views   map[string]*Gossiper
	names   map[netip.AddrPort]string
	bytes   map[string]int
}

type delivery struct {
	at    time.Time
	do    func()
	order int
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// Now implements timekeeper.Clock.
func (n *network) Now() time.Time { return n.now }

// AfterFunc implements timekeeper.Clock; gossipers do not use it.
func (n *network) AfterFunc(time.Duration, func()) timekeeper.Timer { return nil }

// port is one member's end of the network.
type port struct {
	name string
	net  *network
}

// Send implements Transport.
func (p port) Send(to netip.AddrPort, datagram []byte) {
	n := p.net
	n.bytes[p.name] += len(datagram) + headers
	target, ok := n.names[to]
	if !ok || n.random.Float64() < n.loss || n.sides[target] != n.sides[p.name] {
		return
	}
	from := n.views[p.name].Self().Control
	n.after(flight, func() {
		if !n.stopped[target] {
			n.views[target].Receive(from, datagram)
		}
	})
}

// MemberChanged implements Observer.
func (port) MemberChanged(Member) {}

// VersionSeen implements Observer.
func (p port) VersionSeen(_ Member, version uint64) {
	// Pulling a document takes a round trip.
	p.net.after(2*flight, func() { p.net.views[p.name].SetVersion(max(version, p.net.views[p.name].version)) })
}

// LoadSeen implements Observer.
func (p port) LoadSeen(Member, Load) {}

// ViewDiffers implements Observer: the views are compared as the owner does over a connection.
func (p port) ViewDiffers(from Member) {
	own, other := p.net.views[p.name], p.net.views[from.Name]
	if other == nil || p.net.sides[p.name] != p.net.sides[from.Name] || p.net.stopped[from.Name] {
		return
	}
	p.net.after(2*flight, func() {
		theirs, mine := other.Differing(own.Digest()), own.Differing(other.Digest())
		own.Merge(theirs)
		other.Merge(mine)
	})
}

// Allows implements Budget.
func (port) Allows(int) bool { return true }

func newNetwork(tb testing.TB, count int) *network {
	tb.Helper()
	key, err := signer.New([]byte("a key for the tests only"))
	if err != nil {
		tb.Fatal(err)
	}
	codec, err := NewCodec(key)
	if err != nil {
		tb.Fatal(err)
	}
	n := &network{
		bytes: make(map[string]int), codec: codec, names: make(map[netip.AddrPort]string), now: time.Unix(1000, 0),
		random: rand.New(rand.NewPCG(testSeed, testSeed)), sides: make(map[string]int),
		stopped: make(map[string]bool), tb: tb, views: make(map[string]*Gossiper),
	}
	for i := range count {
		n.add(i, 1)
	}
	n.meet()
	return n
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 7000)
}

func name(i int) string { return fmt.Sprintf("n%03d", i) }

// add starts a member; member 0 is the seed of all.
func (n *network) add(i int, incarnation uint64) {
	p := port{name(i), n}
	n.names[address(i)] = p.name
	n.views[p.name] = New(Config{
		Budget: p, Clock: n, Codec: n.codec, Observer: p, Random: rand.New(rand.NewPCG(testSeed, uint64(i)+incarnation<<32)),
		Seeds: []netip.AddrPort{address(0)}, Transport: p,
		Self: Member{
			Name: p.name, DataCentre: fmt.Sprintf("dc%d", i%7), Region: fmt.Sprintf("r%d", i%7%3),
			Control: address(i), Peer: address(i), Incarnation: incarnation,
			Service: fmt.Sprintf("s%d", i%76), Slots: 12, Upstream: announcer.StateReady,
		},
	})
	offset := time.Duration(n.random.Int64N(int64(TickInterval)))
	n.tick(p.name, n.views[p.name], offset)
}

func (n *network) tick(name string, g *Gossiper, in time.Duration) {
	n.after(in, func() {
		if n.views[name] != g || n.stopped[name] {
			return
		}
		g.Tick()
		n.tick(name, g, TickInterval)
	})
}

// meet makes every member know all, as after the comparison of views at a start.
func (n *network) meet() {
	var all []Member
	for i := range len(n.views) {
		all = append(all, n.views[name(i)].Self())
	}
	for i := range len(n.views) {
		n.views[name(i)].Merge(all)
	}
}

func (n *network) after(d time.Duration, do func()) {
	n.order++
	heap.Push(&n.events, delivery{n.now.Add(d), do, n.order})
}

func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for n.events.Len() > 0 && !n.events[0].at.After(end) {
		next := heap.Pop(&n.events).(delivery)
		n.now = next.at
		next.do()
	}
	n.now = end
}

// until runs until holds is true for every running member, and returns how long that took.
func (n *network) until(limit time.Duration, holds func(g *Gossiper) bool) (time.Duration, bool) {
	started := n.now
	for n.now.Sub(started) < limit {
		n.run(50 * time.Millisecond)
		if n.all(holds) {
			return n.now.Sub(started), true
		}
	}
	return limit, false
}

func (n *network) all(holds func(g *Gossiper) bool) bool {
	for name, g := range n.views {
		if !n.stopped[name] && !holds(g) {
			return false
		}
	}
	return true
}

func (n *network) sum(count func(Counters) uint64) (total uint64) {
	for _, g := range n.views {
		total += count(g.Counters())
	}
	return total
}
