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

// manner is how a proxy treats the bytes that pass it.
type manner int32

const (
	mannerPass manner = iota
	// mannerDelay holds each piece for proxyDelay.
	mannerDelay
	// mannerDeaf drops what callers send, mannerMute what nodes answer; no connection ends.
	mannerDeaf
	mannerMute
	manners
)

const proxyDelay = 80 * time.Millisecond

// proxy stands on loopback between callers and one node.
type proxy struct {
	listener net.Listener
	manner   atomic.Int32
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
		go p.join(conn.(*net.TCPConn))
	}
}

// join copies both ways until one end closes. A node that is not there resets the caller.
func (p *proxy) join(caller *net.TCPConn) {
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
	go p.pipe(node, caller, mannerDeaf)
	p.pipe(caller, node, mannerMute)
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, node)
	p.mu.Unlock()
}

// pipe copies from one end to the other and drops what comes while the proxy has the given manner.
func (p *proxy) pipe(to, from *net.TCPConn, dropped manner) {
	buffer := make([]byte, 4096)
	for {
		size, err := from.Read(buffer)
		now := manner(p.manner.Load())
		if now == mannerDelay {
			time.Sleep(proxyDelay)
		}
		if size > 0 && now != dropped {
			if _, err := to.Write(buffer[:size]); err != nil {
				break
			}
		}
		if err == io.EOF && now != dropped {
			// What the other end still sends is delivered.
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

// reset breaks all connections that are open.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}
