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
	"github.com/marigoldrelay/marigoldrelay/internal/wiretester"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// startRawUpstream announces an upstream to the node and serves each of its connections with serve.
func startRawUpstream(t *testing.T, node netip.AddrPort, instance string, serve func(conn net.Conn)) {
	t.Helper()
	address := wiretester.ServeConns(t, serve)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go announcer.New(node, announcer.Announcement{
		Address: address.String(), Instance: instance, Service: "entries", Slots: 4, State: announcer.StateReady,
	}).Run(ctx)
}

// startHangingUpstream starts an upstream that accepts requests and never answers. The channels signal that a
// request has begun and that a connection was closed by its other end.
func startHangingUpstream(t *testing.T, node netip.AddrPort) (began, closed <-chan struct{}) {
	t.Helper()
	beginnings, ends := make(chan struct{}, 10), make(chan struct{}, 10)
	startRawUpstream(t, node, "hanging", func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		var req fasthttp.Request
		if req.Read(reader) != nil {
			return
		}
		beginnings <- struct{}{}
		_, _ = reader.ReadByte()
		ends <- struct{}{}
	})
	return beginnings, ends
}

// TestCallerDisconnectsWhileRunning closes the caller's connection while its request runs at another node's
// upstream. Since the request is idempotent, it must be cancelled there.
func TestCallerDisconnectsWhileRunning(t *testing.T) {
	c := newTestCluster(t, 0, responder.Behaviour{})
	target := addNode(t, c.Deployment, demonstrator.NodeSpec{DataCentre: "flacq", Name: "target"})
	began, closed := startHangingUpstream(t, target.Settings.AnnounceAddress)
	awaitServing(t, c.Deployment, 1)
	conn, err := net.Dial("tcp", c.entry.Settings.CallerAddress.String())
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

// TestCallerDisconnectsWhileQueued closes the caller's connection while its request waits for a slot at another
// node. The request must leave that queue and never run.
func TestCallerDisconnectsWhileQueued(t *testing.T) {
	c := newTestCluster(t, 0, responder.Behaviour{})
	target := addNode(t, c.Deployment, demonstrator.NodeSpec{DataCentre: "flacq", Name: "target"})
	began, _ := startHangingUpstream(t, target.Settings.AnnounceAddress)
	awaitServing(t, c.Deployment, 1)
	sendRequest := func() net.Conn {
		conn, err := net.Dial("tcp", c.entry.Settings.CallerAddress.String())
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
	sendRequest()
	<-began
	// The target's limit is lower at first than the number of its upstream's slots.
	for target.Node.Status().Executor.Load.Running < target.Node.Status().Executor.Limit {
		sendRequest()
		<-began
	}
	waiting := sendRequest()
	awaitQueued(1)
	if err := waiting.Close(); err != nil {
		t.Fatal(err)
	}
	awaitQueued(0)
	if len(began) > 0 {
		t.Error("the request of a caller that went away has run")
	}
}
