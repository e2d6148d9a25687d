package relayer_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// callingUpstream is an upstream that makes calls through the node beside it, one after the other, while it runs a
// request.
type callingUpstream struct {
	node  *demonstrator.DeployedNode
	calls int
	pause time.Duration
	// began is closed when the request has arrived.
	began chan struct{}
	// failures holds what went wrong in the calls.
	failures chan error
}

// start serves on a free port and announces the upstream to its node.
func (u *callingUpstream) start(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: u.serve}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go announcer.New(u.node.Settings.AnnounceAddress, announcer.Announcement{
		Address: listener.Addr().String(), Instance: "calling", Service: "entries", Slots: 4, State: announcer.StateReady,
	}).Run(ctx)
}

func (u *callingUpstream) serve(ctx *fasthttp.RequestCtx) {
	close(u.began)
	pool := forwarder.New(u.node.Settings.CallerAddress, timekeeper.System{})
	defer pool.Close()
	for i := range u.calls {
		time.Sleep(u.pause)
		if err := callSlots(pool, fmt.Sprintf("nested-%d", i)); err != nil {
			u.failures <- fmt.Errorf("call %d: %w", i, err)
		}
	}
	close(u.failures)
	id := string(ctx.Request.Header.Peek(responder.HeaderID))
	ctx.SetBody(responder.Answer(id, len(id)))
}

// callSlots makes one call of the service booking and checks its answer.
func callSlots(pool *forwarder.Pool, id string) error {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("/slots")
	req.Header.SetHost("test")
	req.Header.Set(responder.HeaderID, id)
	x := &forwarder.Exchange{Deadline: time.Now().Add(2 * time.Second), Request: req, Response: resp}
	if err := pool.Do(context.Background(), x); err != nil {
		return err
	}
	return responder.CheckAnswer(id, resp.Body())
}

// TestNestedCallsWhileDraining guards against the failure of a running request because its upstream finds no open port
// for its own calls once the node beside it drains.
func TestNestedCallsWhileDraining(t *testing.T) {
	const notice, limit = 200 * time.Millisecond, 5 * time.Second
	c := newTestCluster(t, 0, responder.Behaviour{})
	addNode(t, c.Deployment, demonstrator.NodeSpec{
		Behaviour:  responder.Behaviour{ServiceTime: 5 * time.Millisecond, Slots: 8, Steady: true},
		DataCentre: "flacq", Name: "called", Service: "booking",
	})
	draining := addNode(t, c.Deployment, demonstrator.NodeSpec{DataCentre: "flacq", Name: "draining"})
	upstream := &callingUpstream{
		node: draining, calls: 12, pause: 100 * time.Millisecond, began: make(chan struct{}), failures: make(chan error, 12),
	}
	upstream.start(t)
	awaitServing(t, c.Deployment, 2)
	done := make(chan callResult, 1)
	go func() { done <- c.post("parent", 4*time.Second) }()
	<-upstream.began
	draining.Node.DrainFor(notice, limit)
	for err := range upstream.failures {
		t.Error(err)
	}
	if got := <-done; !got.answered {
		t.Errorf("the parent: %s", got)
	}
}
