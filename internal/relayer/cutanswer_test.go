package relayer_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
)

// serveCut answers a request with the bytes of its body and closes the connection.
func serveCut(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var req fasthttp.Request
	if req.Read(bufio.NewReader(conn)) == nil {
		_, _ = conn.Write(req.Body())
	}
}

// TestCutAnswerReachesNoCaller guards against an upstream's answer that is cut in its head or its framed body and reaches the
// caller of another node as a whole one.
func TestCutAnswerReachesNoCaller(t *testing.T) {
	c := newTestCluster(t, 0, responder.Behaviour{})
	target := addNode(t, c.Deployment, demonstrator.NodeSpec{DataCentre: "flacq", Name: "target"})
	startRawUpstream(t, target.Settings.AnnounceAddress, "cutting", serveCut)
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
