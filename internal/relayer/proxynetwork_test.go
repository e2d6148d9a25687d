package relayer_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// proxyNetwork is the network between nodes. Every connection passes through it, and it can stop forwarding or cut
// connections. A silent connection stays open: neither end sees a FIN or RST.
type proxyNetwork struct {
	// onRequest is called with the first bytes of each request before they are forwarded.
	onRequest func(c *proxyConn, data []byte)
	// onAnswer is called with the first bytes of each answer before they are forwarded.
	onAnswer func(c *proxyConn, data []byte)

	mu    sync.Mutex
	conns map[*proxyConn]struct{}
}

// proxyConn is one connection through the proxyNetwork.
type proxyConn struct {
	clientSide, serverSide net.Conn
	silent                 atomic.Bool
	to                     netip.AddrPort
}

func newProxyNetwork() *proxyNetwork {
	return &proxyNetwork{
		conns:     make(map[*proxyConn]struct{}),
		onAnswer:  func(*proxyConn, []byte) {},
		onRequest: func(*proxyConn, []byte) {},
	}
}

// dial opens a connection through the network. It replaces the dialer of the nodes' connections to each other.
func (p *proxyNetwork) dial(address netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	serverSide, err := net.DialTimeout("tcp", address.String(), timeout)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	clientSide, err := listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &proxyConn{clientSide: clientSide, serverSide: serverSide, to: address}
	p.mu.Lock()
	p.conns[conn] = struct{}{}
	onRequest, onAnswer := p.onRequest, p.onAnswer
	p.mu.Unlock()
	go p.forward(conn, clientSide, serverSide, onRequest)
	go p.forward(conn, serverSide, clientSide, onAnswer)
	return client, nil
}

// watch sets the functions that are called for connections opened from now on.
func (p *proxyNetwork) watch(onRequest, onAnswer func(*proxyConn, []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onRequest, p.onAnswer = onRequest, onAnswer
}

func (p *proxyNetwork) forward(conn *proxyConn, from, to net.Conn, inspect func(*proxyConn, []byte)) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			inspect(conn, buffer[:n])
			if conn.silent.Load() {
				continue
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if conn.silent.Load() {
		_, _ = io.Copy(io.Discard, from)
		return
	}
	conn.cut()
}

// cut closes both ends.
func (c *proxyConn) cut() {
	_ = c.clientSide.Close()
	_ = c.serverSide.Close()
}

// silence permanently silences the first count open connections to the address and returns how many there were.
func (p *proxyNetwork) silence(to netip.AddrPort, count int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	done := 0
	for conn := range p.conns {
		if done < count && conn.to == to && !conn.silent.Load() {
			conn.silent.Store(true)
			done++
		}
	}
	return done
}

// cutAll cuts every connection, so that the next request opens one that is watched.
func (p *proxyNetwork) cutAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.cut()
		delete(p.conns, conn)
	}
	// The pools notice the cut before they reuse a connection.
	time.Sleep(20 * time.Millisecond)
}
