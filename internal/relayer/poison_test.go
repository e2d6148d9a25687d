package relayer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// requestStatus sends a request and returns the status of its answer. If poison is true, the request crashes the
// upstream that runs it.
func requestStatus(t *testing.T, pool *forwarder.Pool, path string, poison bool) int {
	t.Helper()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(path)
	req.Header.SetHost("test")
	req.Header.Set(responder.HeaderID, "x")
	if poison {
		req.Header.Set(responder.HeaderCrash, "1")
	}
	err := pool.Do(t.Context(), &forwarder.Exchange{Deadline: time.Now().Add(5 * time.Second), Request: req, Response: resp})
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode()
}

// TestLateNodeBarsKnownPoison guards against a request that crashes one more upstream with each node that is
// started, because crashes were reported only to the nodes that were running at the time.
func TestLateNodeBarsKnownPoison(t *testing.T) {
	behaviour := responder.Behaviour{ServiceTime: 5 * time.Millisecond, Slots: 12, Steady: true}
	c := newTestCluster(t, 3, behaviour)
	pool := forwarder.New(c.entry.Settings.CallerAddress, timekeeper.System{})
	defer pool.Close()
	for range 10 {
		requestStatus(t, pool, "/entries/poison", true)
		time.Sleep(50 * time.Millisecond)
	}
	later := addNode(t, c.Deployment, demonstrator.NodeSpec{Behaviour: behaviour, DataCentre: "flacq", Name: "later", Service: "entries"})
	serves := func() bool {
		m, ok := c.entry.Node.Member("later")
		return ok && m.IsServing()
	}
	for waited := 0; !serves() && waited < 500; waited++ {
		time.Sleep(20 * time.Millisecond)
	}
	// This is within the time for which the users' rule allows such a request to pass.
	time.Sleep(time.Second)
	for range 40 {
		requestStatus(t, pool, "/entries/poison", true)
	}
	if later.Upstream.HasCrashed() {
		t.Error("the upstream of a node that was started later has crashed")
	}
}

// TestPoisonRequest repeats a request that crashes each upstream that runs it, among harmless requests that are in
// flight during the crashes and are repeated as well. It guards against losing more than 2 upstreams to the
// request, and against harmless requests that stay refused.
func TestPoisonRequest(t *testing.T) {
	const targets = 6
	c := newTestCluster(t, targets, responder.Behaviour{ServiceTime: 100 * time.Millisecond, Slots: 12, Steady: true})
	pool := forwarder.New(c.entry.Settings.CallerAddress, timekeeper.System{})
	defer pool.Close()
	send := func(path string, poison bool) int { return requestStatus(t, pool, path, poison) }
	crashed := func() (count int) {
		for _, deployed := range c.Nodes()[1:] {
			if deployed.Upstream.HasCrashed() {
				count++
			}
		}
		return count
	}
	harmless := make(chan int, 400)
	for i := range 20 {
		go func() {
			for range 20 {
				harmless <- send(fmt.Sprintf("/entries/%d", i), false)
			}
		}()
	}
	for range 10 {
		time.Sleep(50 * time.Millisecond)
		send("/entries/poison", true)
	}
	if n := crashed(); n > 2 {
		t.Errorf("%d upstreams were lost to one request, want at most 2", n)
	}
	statuses := make(map[int]int)
	for range cap(harmless) {
		statuses[<-harmless]++
	}
	t.Logf("%d upstreams crashed; harmless requests: %v", crashed(), statuses)
	for i := range 20 {
		if status := send(fmt.Sprintf("/entries/%d", i), false); status != fasthttp.StatusOK {
			t.Errorf("harmless request %d is still refused: status %d", i, status)
		}
	}
	if status := send("/entries/poison", true); status != fasthttp.StatusServiceUnavailable {
		t.Errorf("the poison request got status %d, want 503", status)
	}
}

// TestRestartedNodeBarsKnownPoison guards against a request that crashes the one upstream of a service again each time that
// the node beside it is restarted, because only the nodes of the service were told of crashes.
func TestRestartedNodeBarsKnownPoison(t *testing.T) {
	c := newTestCluster(t, 1, responder.Behaviour{ServiceTime: 5 * time.Millisecond, Slots: 12, Steady: true})
	target := c.Nodes()[1]
	pool := forwarder.New(c.entry.Settings.CallerAddress, timekeeper.System{})
	defer pool.Close()
	startAgain := func() {
		t.Helper()
		if err := c.StartUpstream(target); err != nil {
			t.Fatal(err)
		}
		for requestStatus(t, pool, "/entries/harmless", false) != fasthttp.StatusOK {
			time.Sleep(20 * time.Millisecond)
		}
	}
	for range 2 {
		requestStatus(t, pool, "/entries/poison", true)
		if !target.Upstream.HasCrashed() {
			t.Fatal("the upstream has not crashed")
		}
		startAgain()
	}
	target.Node.Abort()
	if err := c.StartNode(target); err != nil {
		t.Fatal(err)
	}
	startAgain()
	// This is within the time for which the users' rule allows such a request to pass.
	time.Sleep(time.Second)
	if status := requestStatus(t, pool, "/entries/poison", true); status != fasthttp.StatusServiceUnavailable || target.Upstream.HasCrashed() {
		t.Errorf("after a restart of the node the request got status %d, and the upstream has crashed: %t", status, target.Upstream.HasCrashed())
	}
}
