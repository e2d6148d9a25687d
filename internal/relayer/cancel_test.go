package relayer_test

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// hangingUpstream takes requests, never answers, and tells when a connection is closed on it.
func hangingUpstream(t *testing.T, node netip.AddrPort) (began, closed <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	beginnings, ends := make(chan struct{}, 10), make(chan struct{}, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				var req fasthttp.Request
				if req.Read(reader) != nil {
					return
				}
				beginnings <- struct{}{}
				_, _ = reader.ReadByte()
				ends <- struct{}{}
			}()
		}
	}()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go announcer.New(node, announcer.Announcement{
		Address: listener.Addr().String(), Instance: "hanging", Service: "entries", Slots: 4, State: announcer.StateReady,
	}).Run(ctx)
	return beginnings, ends
}

// TestCallerGoesAway closes the caller's connection while its request runs at another node's
// upstream. An idempotent request is cancelled there.
func TestCallerGoesAway(t *testing.T) {
	r := newRig(t, 0, responder.Behaviour{})
	target := addStation(t, r.Deployment, demonstrator.Place{DataCentre: "flacq", Name: "target"})
	began, closed := hangingUpstream(t, target.Settings.AnnounceAddress)
	awaitServing(t, r.Deployment, 1)
	conn, err := net.Dial("tcp", r.entry.Settings.CallerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("GET /entries HTTP/1.1\r\nHost: test\r\nRequest-Timeout: 60\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-began
	started := time.Now()
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-closed:
		t.Logf("the upstream's connection was closed after %s", time.Since(started))
	case <-time.After(30 * time.Second):
		t.Error("the upstream's connection was not closed")
	}
}

// TestCallerGoesAwayFromQueue closes the caller's connection while its request waits for a slot at another
// node. The request leaves that queue and never runs.
func TestCallerGoesAwayFromQueue(t *testing.T) {
	r := newRig(t, 0, responder.Behaviour{})
	target := addStation(t, r.Deployment, demonstrator.Place{DataCentre: "flacq", Name: "target"})
	began, _ := hangingUpstream(t, target.Settings.AnnounceAddress)
	awaitServing(t, r.Deployment, 1)
	ask := func() net.Conn {
		conn, err := net.Dial("tcp", r.entry.Settings.CallerAddress.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := conn.Write([]byte("GET /entries HTTP/1.1\r\nHost: test\r\nRequest-Timeout: 60\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	queued := func() int { return target.Node.Status().Executor.Load.Queued }
	awaitQueued := func(count int) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); queued() != count; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d requests wait at the target, want %d", queued(), count)
			}
		}
	}
	ask()
	<-began
	// The target begins with fewer slots than its upstream has.
	for target.Node.Status().Executor.Load.Running < target.Node.Status().Executor.Limit {
		ask()
		<-began
	}
	waiting := ask()
	awaitQueued(1)
	if err := waiting.Close(); err != nil {
		t.Fatal(err)
	}
	awaitQueued(0)
	if len(began) > 0 {
		t.Error("the request of a caller that went away has run")
	}
}
