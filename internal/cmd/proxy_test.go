package cmd

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxyMode is how a proxy treats the bytes that pass through it.
type proxyMode int32

const (
	modePass proxyMode = iota
	// modeDelay delays each piece by proxyDelay.
	modeDelay
	// modeDropRequests drops what callers send, modeDropAnswers what the node answers. Both leave the
	// connections open.
	modeDropRequests
	modeDropAnswers
	modeCount
)

const proxyDelay = 80 * time.Millisecond

// proxy forwards connections on loopback between callers and one node.
type proxy struct {
	listener net.Listener
	mode     atomic.Int32
	target   netip.AddrPort

	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
}

func newProxy(t *testing.T, target netip.AddrPort) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{conns: make(map[*net.TCPConn]struct{}), listener: listener, target: target}
	go p.serve()
	t.Cleanup(func() {
		_ = listener.Close()
		p.reset()
	})
	return p
}

func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn.(*net.TCPConn))
	}
}

// forward copies in both directions until one end closes. If the node can't be reached, it resets the
// caller's connection.
func (p *proxy) forward(caller *net.TCPConn) {
	raw, err := net.Dial("tcp", p.target.String())
	if err != nil {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	node := raw.(*net.TCPConn)
	p.mu.Lock()
	p.conns[caller], p.conns[node] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.pipe(node, caller, modeDropRequests)
	p.pipe(caller, node, modeDropAnswers)
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, node)
	p.mu.Unlock()
}

// pipe copies from one connection to the other and drops the bytes that arrive while the proxy is in dropMode.
func (p *proxy) pipe(to, from *net.TCPConn, dropMode proxyMode) {
	buffer := make([]byte, 4096)
	for {
		size, err := from.Read(buffer)
		now := proxyMode(p.mode.Load())
		if now == modeDelay {
			time.Sleep(proxyDelay)
		}
		if size > 0 && now != dropMode {
			if _, err := to.Write(buffer[:size]); err != nil {
				break
			}
		}
		if err == io.EOF && now != dropMode {
			// The opposite direction stays open and delivers what the other end still sends.
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}
