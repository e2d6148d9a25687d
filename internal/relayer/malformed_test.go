package relayer_test

import (
	"bufio"
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/internal/wiretester"
)

// serveEcho answers requests with the bytes of their bodies. It closes the connection only behind an answer that says so, since
// a node could use one that is closed unannounced for the next request.
func serveEcho(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		var req fasthttp.Request
		if req.Read(reader) != nil {
			return
		}
		if _, err := conn.Write(req.Body()); err != nil || bytes.Contains(req.Body(), []byte("Connection: close")) {
			return
		}
	}
}

// TestMalformedAnswerReachesNoCaller guards against bytes of an upstream that are no response in the protocol and that reach
// the caller of another node as an answer. The callers' requests are not idempotent, so that each must get a 502. The node
// beside the upstream must count each.
func TestMalformedAnswerReachesNoCaller(t *testing.T) {
	c := newTestCluster(t, 0, responder.Behaviour{})
	target := addNode(t, c.Deployment, demonstrator.NodeSpec{DataCentre: "flacq", Name: "target"})
	startRawUpstream(t, target.Settings.AnnounceAddress, "malformed", serveEcho)
	awaitServing(t, c.Deployment, 1)
	client := &fasthttp.HostClient{Addr: c.entry.Settings.CallerAddress.String()}
	malformed := uint64(0)
	for _, test := range wiretester.Responses(t) {
		t.Run(test.Name, func(t *testing.T) {
			req, resp := &fasthttp.Request{}, &fasthttp.Response{}
			req.Header.SetMethod(fasthttp.MethodPost)
			req.SetRequestURI("http://test/entries")
			req.SetBodyString(test.Wire)
			if err := client.DoTimeout(req, resp, 30*time.Second); err != nil {
				t.Fatal(err)
			}
			want := test.Status
			if test.IsMalformed() {
				want = fasthttp.StatusBadGateway
				malformed++
			}
			if resp.StatusCode() != want || !test.IsMalformed() && string(resp.Body()) != test.Body {
				t.Errorf("got status %d with %q, want %d with %q", resp.StatusCode(), resp.Body(), want, test.Body)
			}
		})
	}
	if count := target.Node.Meter().EventCount("malformed_answers"); count != malformed {
		t.Errorf("%d malformed answers were counted, want %d", count, malformed)
	}
}

// serveAnswers returns a function that answers the requests on a connection with the bytes that answer returns.
func serveAnswers(answer func(req *fasthttp.Request) string) func(conn net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			var req fasthttp.Request
			if req.Read(reader) != nil {
				return
			}
			if _, err := conn.Write([]byte(answer(&req))); err != nil {
				return
			}
		}
	}
}

// TestMalformedAnswerIsTriedElsewhere guards against an idempotent request that fails because one of its upstreams, beside
// another node, answers with bytes that are no response. The calls before have earned the retries.
func TestMalformedAnswerIsTriedElsewhere(t *testing.T) {
	const (
		earningCalls     = 100
		malformedAnswers = 3
		maxCalls         = 500
	)
	c := newTestCluster(t, 1, responder.Behaviour{Slots: 4})
	client := &fasthttp.HostClient{Addr: c.entry.Settings.CallerAddress.String()}
	call := func() {
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.SetRequestURI("http://test/entries")
		if err := client.DoTimeout(req, resp, 30*time.Second); err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			t.Errorf("status %d with %q", resp.StatusCode(), resp.Body())
		}
	}
	for range earningCalls {
		call()
	}
	target := addNode(t, c.Deployment, demonstrator.NodeSpec{DataCentre: "flacq", Name: "malformed"})
	startRawUpstream(t, target.Settings.AnnounceAddress, "malformed", serveAnswers(func(*fasthttp.Request) string {
		return wiretester.MalformedAnswer
	}))
	awaitServing(t, c.Deployment, 2)
	malformed := func() uint64 { return target.Node.Meter().EventCount("malformed_answers") }
	for calls := 0; calls < maxCalls && malformed() < malformedAnswers; calls++ {
		call()
	}
	if got := malformed(); got < malformedAnswers {
		t.Errorf("%d malformed answers, want %d", got, malformedAnswers)
	}
}
