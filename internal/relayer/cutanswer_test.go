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

// startCuttingUpstream starts an upstream that answers a request with the bytes of its body and closes the connection.
func startCuttingUpstream(t *testing.T, node netip.AddrPort) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				var req fasthttp.Request
				if req.Read(bufio.NewReader(conn)) == nil {
					_, _ = conn.Write(req.Body())
				}
			}()
		}
	}()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go announcer.New(node, announcer.Announcement{
		Address: socket.Addr().String(), Instance: "cutting", Service: "entries", Slots: 4, State: announcer.StateReady,
	}).Run(ctx)
}

// TestCutAnswerReachesNoCaller guards against an upstream's answer that is cut in its head or its framed body and reaches the
// caller of another node as a whole one.
func TestCutAnswerReachesNoCaller(t *testing.T) {
	c := newTestCluster(t, 0, responder.Behaviour{})
	target := addNode(t, c.Deployment, demonstrator.NodeSpec{DataCentre: "flacq", Name: "target"})
	startCuttingUpstream(t, target.Settings.AnnounceAddress)
	awaitServing(t, c.Deployment, 1)
	whole := "HTTP/1.1 200 OK\r\nSeal: abc\r\nContent-Length: 10\r\nId: own\r\n\r\n0123456789"
	client := &fasthttp.HostClient{Addr: c.entry.Settings.CallerAddress.String()}
	for cut := range len(whole) + 1 {
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://test/entries")
		req.SetBodyString(whole[:cut])
		if err := client.DoTimeout(req, resp, 30*time.Second); err != nil {
			t.Fatal(err)
		}
		isWhole := cut == len(whole)
		if isAnswered := resp.StatusCode() == fasthttp.StatusOK; isAnswered != isWhole {
			t.Errorf("cut after %d of %d bytes: status %d with %q", cut, len(whole), resp.StatusCode(), resp.Body())
		}
	}
}
