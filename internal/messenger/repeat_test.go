package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// pipeServer is a messenger that serves the connections of its own dialer, in virtual time. Those that are open can become
// silent.
type pipeServer struct {
	*Messenger
	accepted chan net.Conn
	closed   chan struct{}

	mu    sync.Mutex
	dials int
	// silent is closed to silence the connections that are open.
	silent chan struct{}
	// bytesPerSecond is the width of each connection in each direction; zero for no limit.
	bytesPerSecond int
}

// newPipes returns a client and its server. The handler of the method is called with the number of the call.
func newPipes(t *testing.T, method string, handle func(call int64) (any, error)) (client *Messenger, server *pipeServer) {
	t.Helper()
	key, err := signer.New([]byte("a key for the tests only"))
	if err != nil {
		t.Fatal(err)
	}
	server = &pipeServer{
		Messenger: New(key, noCounter{}), accepted: make(chan net.Conn), closed: make(chan struct{}), silent: make(chan struct{}),
	}
	var calls atomic.Int64
	server.Handle(method, func(context.Context, json.RawMessage) (any, error) { return handle(calls.Add(1)) })
	go server.Serve(server)
	return New(key, noCounter{}, WithDialer(server.dial)), server
}

// dial implements dialer.DialFunc.
func (p *pipeServer) dial(netip.AddrPort, time.Duration) (net.Conn, error) {
	p.mu.Lock()
	p.dials++
	silent, bytesPerSecond := p.silent, p.bytesPerSecond
	p.mu.Unlock()
	client, clientSide := net.Pipe()
	server, serverSide := net.Pipe()
	go forwardUntil(silent, bytesPerSecond, clientSide, serverSide)
	go forwardUntil(silent, bytesPerSecond, serverSide, clientSide)
	p.accepted <- server
	return client, nil
}

// forwardUntil copies from one connection to the other, at most bytesPerSecond if that is not zero. Once silent is closed, it reads
// nothing more.
func forwardUntil(silent <-chan struct{}, bytesPerSecond int, from, to net.Conn) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if bytesPerSecond > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
		}
		select {
		case <-silent:
			// The ends notice nothing until they give up.
			time.Sleep(time.Minute)
			return
		default:
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// silence makes the connections that are open silent.
func (p *pipeServer) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

// Accept implements net.Listener.
func (p *pipeServer) Accept() (net.Conn, error) {
	select {
	case conn := <-p.accepted:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipeServer) Close() error {
	close(p.closed)
	return nil
}

// Addr implements net.Listener.
func (p *pipeServer) Addr() net.Addr { return nil }

// TestIdempotentCallOutlivesSilentConnection guards against a call that waits on a silent connection for as long as the
// document may take to be in force, while a new connection would work.
func TestIdempotentCallOutlivesSilentConnection(t *testing.T) {
	const bound = repeatAfter + 10*time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		client, server := newPipes(t, "work", func(int64) (any, error) { return 7, nil })
		to := netip.MustParseAddrPort("127.0.0.1:1")
		for range 3 {
			started, result := time.Now(), 0
			err := client.CallIdempotent(t.Context(), to, PurposeConfiguration, "work", nil, &result)
			if took := time.Since(started); err != nil || result != 7 || took > bound {
				t.Errorf("the call has returned %d and %v after %s, want 7 within %s", result, err, took, bound)
			}
			server.silence()
		}
		endPipes(client, server)
	})
}

// TestIdempotentCallWaitsForSlowPeer guards against a slow peer that gets the same call without end, or whose reply to
// the first try is dropped.
func TestIdempotentCallWaitsForSlowPeer(t *testing.T) {
	const slowness = 800 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		client, server := newPipes(t, "work", func(call int64) (any, error) {
			calls.Store(call)
			time.Sleep(slowness)
			return call, nil
		})
		started, result := time.Now(), int64(0)
		err := client.CallIdempotent(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), PurposeConfiguration, "work", nil, &result)
		if took := time.Since(started); err != nil || result != 1 || took > slowness+10*time.Millisecond {
			t.Errorf("call %d was answered after %s with %v, want the first after %s", result, took, err, slowness)
		}
		if got := calls.Load(); got != 2 {
			t.Errorf("the call was sent %d times in %s, want 2", got, slowness)
		}
		endPipes(client, server)
	})
}

// TestRetiredConnectionKeepsItsCalls guards against calls that fail because another call on the same connection was sent
// again over a new one.
func TestRetiredConnectionKeepsItsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := newPipes(t, "work", func(call int64) (any, error) {
			time.Sleep(time.Second)
			return call, nil
		})
		to := netip.MustParseAddrPort("127.0.0.1:1")
		var other sync.WaitGroup
		other.Go(func() {
			if err := client.Call(t.Context(), to, PurposeConfiguration, "work", nil, nil); err != nil {
				t.Errorf("the call that is not repeated has failed: %v", err)
			}
		})
		if err := client.CallIdempotent(t.Context(), to, PurposeConfiguration, "work", nil, nil); err != nil {
			t.Error(err)
		}
		other.Wait()
		endPipes(client, server)
	})
}

// TestIdempotentCallEndsInTime guards against a call that outlasts callTimeout at a peer that never answers, and one that
// returns another error than ErrUnreachable.
func TestIdempotentCallEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := newPipes(t, "work", func(int64) (any, error) {
			time.Sleep(time.Hour)
			return nil, nil
		})
		started := time.Now()
		err := client.CallIdempotent(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), PurposeConfiguration, "work", nil, nil)
		if took := time.Since(started); !errors.Is(err, ErrUnreachable) || took > callTimeout {
			t.Errorf("the call has returned %v after %s, want %v within %s", err, took, ErrUnreachable, callTimeout)
		}
		endPipes(client, server)
	})
}

// endPipes closes both ends and waits until the calls that are under way are over.
func endPipes(client *Messenger, server *pipeServer) {
	client.Abort()
	server.Abort()
	time.Sleep(2 * time.Hour)
}
