package relayer_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/dispatcher"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/relayer"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// testCluster is a deployment whose nodes are connected by a proxyNetwork: an entry node without an upstream, and
// target nodes.
type testCluster struct {
	*demonstrator.Deployment
	entry   *demonstrator.DeployedNode
	t       *testing.T
	network *proxyNetwork
}

func newTestCluster(t *testing.T, targets int, behaviour responder.Behaviour) *testCluster {
	t.Helper()
	document, err := demonstrator.Document()
	if err != nil {
		t.Fatal(err)
	}
	network := newProxyNetwork()
	d, err := demonstrator.NewDeployment(document, relayer.WithForwarderOptions(forwarder.WithDialer(network.dial)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	c := &testCluster{Deployment: d, t: t, network: network}
	c.entry = addNode(t, d, demonstrator.NodeSpec{DataCentre: "flacq", Name: "entry"})
	for i := range targets {
		addNode(t, d, demonstrator.NodeSpec{
			Behaviour: behaviour, DataCentre: "flacq", Name: fmt.Sprintf("target-%d", i), Service: "entries",
		})
	}
	awaitServing(t, d, targets)
	return c
}

// callResult is the result of a call as its caller saw it.
type callResult struct {
	answered bool
	body     []byte
	problem  refuser.Problem
	elapsed  time.Duration
}

func (r callResult) String() string {
	if r.answered {
		return fmt.Sprintf("answered in %s", r.elapsed)
	}
	return fmt.Sprintf("%s, not run: %s, in %s: %s", r.problem.Reason, r.problem.NotRun, r.elapsed, r.problem.Detail)
}

// sendCall makes one call to a node's caller address.
func sendCall(t *testing.T, to netip.AddrPort, method, id, key string, timeout time.Duration) callResult {
	t.Helper()
	return sendCallAs(t, to, "", method, id, key, timeout)
}

// sendCallAs makes one call to a node's caller address with the credentials, if there are any.
func sendCallAs(t *testing.T, to netip.AddrPort, credentials, method, id, key string, timeout time.Duration) callResult {
	t.Helper()
	pool := forwarder.New(to, timekeeper.System{})
	defer pool.Close()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetMethod(method)
	req.SetRequestURI("/entries")
	req.Header.SetHost("test")
	req.Header.Set(responder.HeaderID, id)
	req.SetBodyString("pay for " + id)
	if key != "" {
		req.Header.Set(dispatcher.HeaderIdempotencyKey, key)
	}
	if credentials != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, credentials)
	}
	req.Header.Set(interpreter.HeaderTimeout, fmt.Sprintf("%.3f", timeout.Seconds()))
	started := time.Now()
	err := pool.Do(t.Context(), &forwarder.Exchange{Deadline: started.Add(timeout + 5*time.Second), Request: req, Response: resp})
	result := callResult{elapsed: time.Since(started)}
	if err != nil {
		t.Errorf("%s: %v", id, err)
		return result
	}
	if string(resp.Header.ContentType()) == refuser.ContentType {
		if err := json.Unmarshal(resp.Body(), &result.problem); err != nil {
			t.Errorf("%s: %v", id, err)
		}
		return result
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		// A complete answer of the upstream itself, but not a success.
		result.problem.Reason = refuser.Reason(fmt.Sprintf("status-%d", status))
		return result
	}
	result.answered = true
	result.body = bytes.Clone(resp.Body())
	if err := responder.CheckAnswer(id, result.body); err != nil {
		t.Error(err)
	}
	return result
}

func (c *testCluster) post(id string, timeout time.Duration) callResult {
	c.t.Helper()
	return sendCall(c.t, c.entry.Settings.CallerAddress, fasthttp.MethodPost, id, "", timeout)
}

// checkAtMostOnce compares the result that the caller got with how often the request ran.
func (c *testCluster) checkAtMostOnce(id string, got callResult) {
	c.t.Helper()
	ran := c.Journal.Count(id)
	c.t.Logf("%s: ran %d times, %s", id, ran, got)
	switch {
	case ran > 1:
		c.t.Errorf("%s ran %d times", id, ran)
	case got.answered && ran != 1:
		c.t.Errorf("%s was answered and ran %d times", id, ran)
	case got.problem.NotRun == refuser.NotRunTrue && ran != 0:
		c.t.Errorf("%s ran although the caller was told that it had not", id)
	}
}

// onFirstMatch returns a function that calls act once, for the first data that contains the ID.
func onFirstMatch(id string, act func(*proxyConn)) func(*proxyConn, []byte) {
	var done atomic.Bool
	return func(conn *proxyConn, data []byte) {
		if bytes.Contains(data, []byte(id)) && !done.Swap(true) {
			act(conn)
		}
	}
}

func noAction(*proxyConn, []byte) {}

// TestAtMostOnceWhenConnectionBreaks cuts or silences the connection between the nodes at each stage of a call. It
// guards against a request that runs twice, and against an answer that is wrong about whether it ran.
func TestAtMostOnceWhenConnectionBreaks(t *testing.T) {
	slow := responder.Behaviour{ServiceTime: 200 * time.Millisecond, Slots: 4, Steady: true}
	tests := []struct {
		name string
		// watch returns the functions that see the requests and the answers.
		watch    func(id string) (request, answer func(*proxyConn, []byte))
		answered bool
	}{
		{"before the request arrives", func(id string) (func(*proxyConn, []byte), func(*proxyConn, []byte)) {
			return onFirstMatch(id, func(conn *proxyConn) { conn.cut() }), noAction
		}, true},
		{"silent before the request arrives", func(id string) (func(*proxyConn, []byte), func(*proxyConn, []byte)) {
			return onFirstMatch(id, func(conn *proxyConn) { conn.silent.Store(true) }), noAction
		}, true},
		{"while the request runs", func(id string) (func(*proxyConn, []byte), func(*proxyConn, []byte)) {
			return onFirstMatch(id, func(conn *proxyConn) { time.AfterFunc(100*time.Millisecond, conn.cut) }), noAction
		}, true},
		{"silent while the request runs", func(id string) (func(*proxyConn, []byte), func(*proxyConn, []byte)) {
			return onFirstMatch(id, func(conn *proxyConn) {
				time.AfterFunc(100*time.Millisecond, func() { conn.silent.Store(true) })
			}), noAction
		}, true},
		{"when the answer is lost", func(id string) (func(*proxyConn, []byte), func(*proxyConn, []byte)) {
			return noAction, onFirstMatch(id, func(conn *proxyConn) { conn.cut() })
		}, true},
		{"silent when the answer is lost", func(id string) (func(*proxyConn, []byte), func(*proxyConn, []byte)) {
			return noAction, onFirstMatch(id, func(conn *proxyConn) { conn.silent.Store(true) })
		}, true},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newTestCluster(t, 2, slow)
			// The entry must know how long answers take before it can detect silence.
			for n := range 10 {
				c.checkAtMostOnce(fmt.Sprintf("warm-%d-%d", i, n), c.post(fmt.Sprintf("warm-%d-%d", i, n), 4*time.Second))
			}
			id := fmt.Sprintf("stall-fee-%d", i)
			request, answer := test.watch(id)
			c.network.watch(request, answer)
			c.network.cutAll()
			got := c.post(id, 4*time.Second)
			c.checkAtMostOnce(id, got)
			if got.answered != test.answered {
				t.Errorf("answered: %t, want %t", got.answered, test.answered)
			}
		})
	}
}

// TestAtMostOnceWhenTargetDies kills and restarts the node that runs the request. The caller must soon learn that
// the outcome is unknown.
func TestAtMostOnceWhenTargetDies(t *testing.T) {
	c := newTestCluster(t, 1, responder.Behaviour{ServiceTime: 500 * time.Millisecond, Slots: 4, Steady: true})
	target := c.Node(1)
	restarted := make(chan struct{})
	time.AfterFunc(150*time.Millisecond, func() {
		defer close(restarted)
		target.Node.Abort()
		if err := c.StartNode(target); err != nil {
			t.Error(err)
		}
	})
	got := c.post("killed", 4*time.Second)
	<-restarted
	c.checkAtMostOnce("killed", got)
	if got.answered || got.problem.NotRun != refuser.NotRunUnknown {
		t.Errorf("got %s, want an unknown outcome", got)
	}
	if got.elapsed > 2*time.Second {
		t.Errorf("the unknown outcome was reported after %s", got.elapsed)
	}
}

// TestAtMostOnceWhenUpstreamCrashes crashes the upstream in the middle of the request. The caller must learn that
// the outcome is unknown.
func TestAtMostOnceWhenUpstreamCrashes(t *testing.T) {
	c := newTestCluster(t, 2, responder.Behaviour{ServiceTime: 500 * time.Millisecond, Slots: 4, Steady: true})
	crashed := make(chan struct{})
	time.AfterFunc(150*time.Millisecond, func() {
		defer close(crashed)
		c.Node(1).Upstream.Crash()
		c.Node(2).Upstream.Crash()
	})
	got := c.post("crashed", 4*time.Second)
	<-crashed
	c.checkAtMostOnce("crashed", got)
	if got.answered || got.problem.NotRun != refuser.NotRunUnknown {
		t.Errorf("got %s, want an unknown outcome", got)
	}
}

// TestIdempotencyKeyRunsOnce repeats a request with its idempotency key: concurrently, later and at another node.
// The request must run once, and all repeats must get its answer.
func TestIdempotencyKeyRunsOnce(t *testing.T) {
	c := newTestCluster(t, 3, responder.Behaviour{ServiceTime: 100 * time.Millisecond, Slots: 4, Steady: true})
	other := c.Node(1).Settings.CallerAddress
	var calls sync.WaitGroup
	results := make([]callResult, 4)
	for i := range results {
		calls.Go(func() {
			to := c.entry.Settings.CallerAddress
			if i%2 == 1 {
				to = other
			}
			results[i] = sendCall(t, to, fasthttp.MethodPost, "keyed", "key-1", 4*time.Second)
		})
	}
	calls.Wait()
	results = append(results, sendCall(t, other, fasthttp.MethodPost, "keyed", "key-1", 4*time.Second))
	for _, got := range results {
		c.checkAtMostOnce("keyed", got)
		if !got.answered || !bytes.Equal(got.body, results[0].body) {
			t.Errorf("got %s, want the same answer as the first", got)
		}
	}
}

// TestIdempotencyKeysOfSeveralCallers guards against a caller that gets the answer to another caller's request, or is
// refused because of it, since both use the same key. A caller is known by its credentials; one that uses its key for
// another request is refused.
func TestIdempotencyKeysOfSeveralCallers(t *testing.T) {
	c := newTestCluster(t, 3, responder.Behaviour{ServiceTime: 20 * time.Millisecond, Slots: 4, Steady: true})
	other := c.Node(1).Settings.CallerAddress
	const key = "1"
	for i, test := range []struct {
		credentials, id string
		isReused        bool
	}{
		{"Bearer first", "of-first", false},
		{"Bearer second", "of-second", false},
		{"", "of-unknown", false},
		{"", "of-another-unknown", false},
		{"Bearer first", "second-of-first", true},
		{"Bearer renewed", "second-of-renewed", false},
	} {
		to := c.entry.Settings.CallerAddress
		if i%2 == 1 {
			to = other
		}
		got := sendCallAs(t, to, test.credentials, fasthttp.MethodPost, test.id, key, 4*time.Second)
		c.checkAtMostOnce(test.id, got)
		switch isReused := got.problem.Reason == refuser.ReasonKeyReused; {
		case isReused != test.isReused:
			t.Errorf("%s with %q: %s", test.id, test.credentials, got)
		case !test.isReused && (!got.answered || c.Journal.Count(test.id) != 1):
			t.Errorf("%s with %q: %s, ran %d times", test.id, test.credentials, got, c.Journal.Count(test.id))
		}
	}
	again := sendCallAs(t, other, "Bearer second", fasthttp.MethodPost, "of-second", key, 4*time.Second)
	if c.checkAtMostOnce("of-second", again); !again.answered {
		t.Errorf("the same request again: %s", again)
	}
}

// TestAtMostOnceWhenEntryDies kills the entry node during a request with an idempotency key, which the caller
// repeats at another node.
func TestAtMostOnceWhenEntryDies(t *testing.T) {
	c := newTestCluster(t, 3, responder.Behaviour{ServiceTime: 300 * time.Millisecond, Slots: 4, Steady: true})
	first := make(chan struct{})
	go func() {
		defer close(first)
		pool := forwarder.New(c.entry.Settings.CallerAddress, timekeeper.System{})
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("/entries")
		req.Header.SetHost("test")
		req.Header.Set(responder.HeaderID, "orphan")
		req.SetBodyString("pay for orphan")
		req.Header.Set(dispatcher.HeaderIdempotencyKey, "key-2")
		_ = pool.Do(t.Context(), &forwarder.Exchange{Deadline: time.Now().Add(time.Second), Request: req, Response: resp})
	}()
	for c.Journal.Count("orphan") == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	c.entry.Node.Abort()
	t.Cleanup(func() {
		if err := c.StartNode(c.entry); err != nil {
			t.Error(err)
		}
	})
	<-first
	got := sendCall(t, c.Node(2).Settings.CallerAddress, fasthttp.MethodPost, "orphan", "key-2", 4*time.Second)
	c.checkAtMostOnce("orphan", got)
	if !got.answered && got.problem.NotRun == refuser.NotRunTrue {
		t.Errorf("got %s, want the answer or an unknown outcome", got)
	}
}

// TestReservedHeadersFromCallers sends headers that only nodes are allowed to set.
func TestReservedHeadersFromCallers(t *testing.T) {
	c := newTestCluster(t, 1, responder.Behaviour{ServiceTime: time.Millisecond, Slots: 4})
	pool := forwarder.New(c.entry.Settings.CallerAddress, timekeeper.System{})
	defer pool.Close()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("/entries")
	req.Header.SetHost("test")
	req.Header.Set(responder.HeaderID, "forged")
	req.Header.Set("marigoldrelay-attempt", `{"grant":7}`)
	req.Header.Set("Marigoldrelay-Context", "forged.00")
	if err := pool.Do(t.Context(), &forwarder.Exchange{Deadline: time.Now().Add(5 * time.Second), Request: req, Response: resp}); err != nil {
		t.Fatal(err)
	}
	if err := responder.CheckAnswer("forged", resp.Body()); err != nil {
		t.Error(err)
	}
	for name := range resp.Header.All() {
		if strings.HasPrefix(string(name), "Marigoldrelay-") {
			t.Errorf("the caller got the header %s", name)
		}
	}
	peer := forwarder.New(c.Node(1).Settings.PeerAddress, timekeeper.System{})
	defer peer.Close()
	if err := peer.Do(t.Context(), &forwarder.Exchange{Deadline: time.Now().Add(5 * time.Second), Request: req, Response: resp}); err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode() != fasthttp.StatusUnauthorized {
		t.Errorf("an unsigned attempt got status %d", resp.StatusCode())
	}
}

// TestRefusalReasons sends requests that a node refuses, such as a header and a body over its limits, and checks the
// reason and count of each refusal.
func TestRefusalReasons(t *testing.T) {
	c := newTestCluster(t, 0, responder.Behaviour{})
	tests := []struct {
		fill   func(*fasthttp.Request)
		reason refuser.Reason
		status int
	}{
		{func(req *fasthttp.Request) { req.SetBody(make([]byte, c.entry.Settings.MaxBodyBytes+1)) }, refuser.ReasonBodyTooLarge, 413},
		{func(req *fasthttp.Request) {
			req.Header.Set("Large", strings.Repeat("x", c.entry.Settings.MaxHeaderBytes))
		}, refuser.ReasonHeaderTooLarge, 431},
		{func(req *fasthttp.Request) { req.Header.Set(interpreter.HeaderTimeout, "soon") }, refuser.ReasonBadRequest, 400},
		{func(req *fasthttp.Request) { req.SetRequestURI("/nowhere") }, refuser.ReasonNoRoute, 404},
		{func(*fasthttp.Request) {}, refuser.ReasonNoUpstream, 503},
	}
	for _, test := range tests {
		pool := forwarder.New(c.entry.Settings.CallerAddress, timekeeper.System{})
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("/entries")
		req.Header.SetHost("test")
		test.fill(req)
		err := pool.Do(t.Context(), &forwarder.Exchange{Deadline: time.Now().Add(10 * time.Second), Request: req, Response: resp})
		pool.Close()
		var problem refuser.Problem
		if err == nil {
			err = json.Unmarshal(resp.Body(), &problem)
		}
		if err != nil || resp.StatusCode() != test.status || problem.Reason != test.reason || problem.NotRun != refuser.NotRunTrue {
			t.Errorf("status %d, %+v, %v; want %d and %s", resp.StatusCode(), problem, err, test.status, test.reason)
		}
		if got := c.entry.Node.Meter().RefusalCount(test.reason); got != 1 {
			t.Errorf("%s was counted %d times", test.reason, got)
		}
	}
}
