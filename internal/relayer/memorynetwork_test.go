package relayer_test

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/relayer"
)

// memoryLatency is the one-way latency of a memoryNetwork.
const memoryLatency = time.Millisecond

const (
	// datagramQueue is the number of datagrams that wait to be read by a memoryPacketConn; further ones are lost.
	datagramQueue = 4096
	// segmentQueue is the number of segments of a connection that are on their way; further ones block the writer.
	segmentQueue = 1024
)

var errNoListener = errors.New("connection refused")

// memoryNetwork connects VMs in one process, for runs in virtual time. Each VM has an IP address of its own. Kept
// connections can become silent, and VMs can be cut off from others or lose their power.
type memoryNetwork struct {
	mu        sync.Mutex
	conns     map[*memoryConn]struct{}
	cuts      map[link]bool
	dark      map[netip.Addr]bool
	listeners map[netip.AddrPort]*memoryListener
	// lossPercent is the part of the datagrams that is lost.
	lossPercent int
	packetConns map[netip.AddrPort]*memoryPacketConn
	random      *rand.Rand
	// refused holds the ways on which new connections are refused.
	refused map[link]bool
	// lines holds the line of each VM that has a thin one.
	lines map[netip.Addr]*memoryLine
	// stallPercent is the part of the packets that arrive up to maxStall later.
	stallPercent int
	maxStall     time.Duration
}

// memoryLine is the line of a VM to the network. Bytes wait for their turn in each direction, also those of calls that were
// given up.
type memoryLine struct {
	bytesPerSecond float64
	// outFree and inFree are when the last byte so far has left and arrived.
	outFree, inFree time.Time
	// sent and received count the bytes, and longest is the longest wait for a turn in either direction.
	sent, received int
	longest        time.Duration
}

// pass returns when bytes that come at the time have gone through one direction of the line, which is free from then on.
func (l *memoryLine) pass(free *time.Time, at time.Time, bytes int) time.Time {
	start := at
	if free.After(at) {
		start = *free
	}
	l.longest = max(l.longest, start.Sub(at))
	*free = start.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return *free
}

// link is the way from one VM to another.
type link struct{ from, to netip.Addr }

// memoryConn is a connection between two VMs.
type memoryConn struct {
	client, server netip.Addr
	// isSilent is true if bytes no longer arrive in either direction. It is guarded by the network's mutex.
	isSilent bool
}

// vmNetwork is the network as one VM sees it. It implements relayer.Network.
type vmNetwork struct {
	*memoryNetwork
	vm netip.Addr
}

func newMemoryNetwork(seed uint64) *memoryNetwork {
	return &memoryNetwork{
		conns: make(map[*memoryConn]struct{}), cuts: make(map[link]bool), dark: make(map[netip.Addr]bool),
		listeners: make(map[netip.AddrPort]*memoryListener), packetConns: make(map[netip.AddrPort]*memoryPacketConn),
		random: rand.New(rand.NewPCG(seed, 42)), refused: make(map[link]bool), lines: make(map[netip.Addr]*memoryLine),
	}
}

// at returns the network as the VM sees it.
func (m *memoryNetwork) at(vm netip.Addr) relayer.Network {
	return vmNetwork{memoryNetwork: m, vm: vm}
}

// setLine gives a VM a line of the width.
func (m *memoryNetwork) setLine(vm netip.Addr, bytesPerSecond float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lines[vm] = &memoryLine{bytesPerSecond: bytesPerSecond}
}

// setStalls makes a part of the packets arrive up to a time later.
func (m *memoryNetwork) setStalls(percent int, longest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stallPercent, m.maxStall = percent, longest
}

// sentBy returns the number of bytes that a VM has sent through its line.
func (m *memoryNetwork) sentBy(vm netip.Addr) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lines[vm].sent
}

// arrival returns when bytes that are sent now arrive.
func (m *memoryNetwork) arrival(from, to netip.Addr, bytes int) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := time.Now()
	if m.stallPercent > 0 && m.random.IntN(100) < m.stallPercent {
		at = at.Add(time.Duration(m.random.Int64N(int64(m.maxStall))))
	}
	if line := m.lines[from]; line != nil {
		line.sent += bytes
		at = line.pass(&line.outFree, at, bytes)
	}
	at = at.Add(memoryLatency)
	if line := m.lines[to]; line != nil {
		line.received += bytes
		at = line.pass(&line.inFree, at, bytes)
	}
	return at
}

// reaches reports whether a packet gets from one VM to the other. It is called with mu held.
func (m *memoryNetwork) reaches(from, to netip.Addr) bool {
	return !m.cuts[link{from, to}] && !m.dark[from] && !m.dark[to]
}

// silence makes the kept connections between two groups of VMs silent for good, while new ones work. It returns their
// number.
func (m *memoryNetwork) silence(some, others map[netip.Addr]bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for conn := range m.conns {
		if some[conn.client] && others[conn.server] || some[conn.server] && others[conn.client] {
			conn.isSilent = true
			count++
		}
	}
	return count
}

// cut cuts the group of VMs off from the others, or ends that. Connections that were cut stay silent afterwards, as those
// whose sender waits ever longer before it sends again.
func (m *memoryNetwork) cut(some, others map[netip.Addr]bool, isCut bool) {
	m.mu.Lock()
	for a := range some {
		for b := range others {
			m.cuts[link{a, b}], m.cuts[link{b, a}] = isCut, isCut
		}
	}
	m.mu.Unlock()
	if isCut {
		m.silence(some, others)
	}
}

// refuse cuts the group of VMs off from the others; new connections between them are refused at once.
func (m *memoryNetwork) refuse(some, others map[netip.Addr]bool) {
	m.cut(some, others, true)
	m.mu.Lock()
	defer m.mu.Unlock()
	for a := range some {
		for b := range others {
			m.refused[link{a, b}], m.refused[link{b, a}] = true, true
		}
	}
}

// cutPower makes a VM disappear without closing its connections.
func (m *memoryNetwork) cutPower(vm netip.Addr) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dark[vm] = true
	for conn := range m.conns {
		if conn.client == vm || conn.server == vm {
			conn.isSilent = true
		}
	}
}

// restorePower lets a VM be reached again.
func (m *memoryNetwork) restorePower(vm netip.Addr) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.dark, vm)
}

// Dial implements relayer.Network.
func (v vmNetwork) Dial(address netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	time.Sleep(2 * memoryLatency)
	v.mu.Lock()
	listener := v.listeners[address]
	if v.refused[link{v.vm, address.Addr()}] {
		v.mu.Unlock()
		return nil, errNoListener
	}
	if !v.reaches(v.vm, address.Addr()) {
		v.mu.Unlock()
		time.Sleep(timeout)
		return nil, os.ErrDeadlineExceeded
	}
	if listener == nil {
		v.mu.Unlock()
		return nil, errNoListener
	}
	conn := &memoryConn{client: v.vm, server: address.Addr()}
	v.conns[conn] = struct{}{}
	v.mu.Unlock()
	client, clientSide := net.Pipe()
	server, serverSide := net.Pipe()
	go v.forward(conn, link{conn.client, conn.server}, clientSide, serverSide)
	go v.forward(conn, link{conn.server, conn.client}, serverSide, clientSide)
	select {
	case listener.accepted <- server:
	case <-listener.closed:
		_ = client.Close()
		_ = server.Close()
		return nil, errNoListener
	}
	return client, nil
}

// segment is a piece of a connection's bytes on its way.
type segment struct {
	arrives time.Time
	data    []byte
}

// forward copies bytes from one end to the other, and the end of the connection, unless the connection is silent. It reads
// at once: a write that waits would hold a mutex of its writer, and virtual time stands still while others wait for one.
func (m *memoryNetwork) forward(conn *memoryConn, way link, from, to net.Conn) {
	segments := make(chan segment, segmentQueue)
	go m.deliver(conn, segments, to)
	defer close(segments)
	defer func() { _ = from.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		segments <- segment{m.arrival(way.from, way.to, n), append([]byte(nil), buffer[:n]...)}
	}
}

// deliver writes the segments to the end of a connection when they arrive, and closes it after the last one.
func (m *memoryNetwork) deliver(conn *memoryConn, segments <-chan segment, to net.Conn) {
	isBroken := false
	for s := range segments {
		time.Sleep(time.Until(s.arrives))
		if !isBroken && !m.isSilent(conn) {
			_, err := to.Write(s.data)
			isBroken = err != nil
		}
	}
	if !m.isSilent(conn) {
		_ = to.Close()
	}
	m.mu.Lock()
	delete(m.conns, conn)
	m.mu.Unlock()
}

func (m *memoryNetwork) isSilent(conn *memoryConn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return conn.isSilent
}

// memoryListener is a net.Listener of a memoryNetwork.
type memoryListener struct {
	accepted chan net.Conn
	address  netip.AddrPort
	closed   chan struct{}
	closing  sync.Once
	network  *memoryNetwork
}

// Listen implements relayer.Network.
func (v vmNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	l := &memoryListener{accepted: make(chan net.Conn), address: address, closed: make(chan struct{}), network: v.memoryNetwork}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listeners[address] = l
	return l, nil
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.closing.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}

// datagram is a datagram that waits to be read.
type datagram struct {
	data []byte
	from netip.AddrPort
}

// memoryPacketConn is a relayer.PacketConn of a memoryNetwork.
type memoryPacketConn struct {
	address netip.AddrPort
	arrived chan datagram
	closed  chan struct{}
	closing sync.Once
	network *memoryNetwork
}

// ListenPacket implements relayer.Network.
func (v vmNetwork) ListenPacket(address netip.AddrPort) (relayer.PacketConn, error) {
	p := &memoryPacketConn{
		address: address, arrived: make(chan datagram, datagramQueue), closed: make(chan struct{}), network: v.memoryNetwork,
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.packetConns[address] = p
	return p, nil
}

// Close implements relayer.PacketConn.
func (p *memoryPacketConn) Close() error {
	p.closing.Do(func() { close(p.closed) })
	return nil
}

// ReadFromUDPAddrPort implements relayer.PacketConn.
func (p *memoryPacketConn) ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error) {
	select {
	case d := <-p.arrived:
		return copy(b, d.data), d.from, nil
	case <-p.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDPAddrPort implements relayer.PacketConn.
func (p *memoryPacketConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error) {
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	m := p.network
	m.mu.Lock()
	target := m.packetConns[to]
	isLost := target == nil || !m.reaches(p.address.Addr(), to.Addr()) || m.random.IntN(100) < m.lossPercent
	m.mu.Unlock()
	if !isLost {
		d := datagram{data: append([]byte(nil), b...), from: p.address}
		time.AfterFunc(time.Until(m.arrival(p.address.Addr(), to.Addr(), len(b))), func() {
			select {
			case target.arrived <- d:
			default:
			}
		})
	}
	return len(b), nil
}
