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

// rig is a deployment whose nodes talk over a wire: an entry without an upstream, and targets.
type rig struct {
	*demonstrator.Deployment
	entry *demonstrator.Station
	t     *testing.T
	wire  *wire
}

func newRig(t *testing.T, targets int, behaviour responder.Behaviour) *rig {
	t.Helper()
	document, err := demonstrator.Document()
	if err != nil {
		t.Fatal(err)
	}
	w := newWire()
	d, err := demonstrator.NewDeployment(document, relayer.WithForwarder(forwarder.WithDialer(w.dial)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	r := &rig{Deployment: d, t: t, wire: w}
	r.entry = addStation(t, d, demonstrator.Place{DataCentre: "flacq", Name: "entry"})
	for i := range targets {
		addStation(t, d, demonstrator.Place{
			Behaviour: behaviour, DataCentre: "flacq", Name: fmt.Sprintf("target-%d", i), Service: "entries",
		})
	}
	awaitServing(t, d, targets)
	return r
}

// result is what a caller saw.
type result struct {
	answered bool
	body     []byte
	problem  refuser.Problem
	taken    time.Duration
}

func (r result) String() string {
	if r.answered {
		return fmt.Sprintf("answered in %s", r.taken)
	}
	return fmt.Sprintf("%s, not run: %s, in %s: %s", r.problem.Reason, r.problem.NotRun, r.taken, r.problem.Detail)
}

// send makes one call at a node's caller address.
func send(t *testing.T, to netip.AddrPort, method, id, key string, timeout time.Duration) result {
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
	req.Header.Set(interpreter.HeaderTimeout, fmt.Sprintf("%.3f", timeout.Seconds()))
	started := time.Now()
	err := pool.Do(t.Context(), &forwarder.Exchange{Deadline: started.Add(timeout + 5*time.Second), Request: req, Response: resp})
	one := result{taken: time.Since(started)}
	if err != nil {
		t.Errorf("%s: %v", id, err)
		return one
	}
	if string(resp.Header.ContentType()) == refuser.ContentType {
		if err := json.Unmarshal(resp.Body(), &one.problem); err != nil {
			t.Errorf("%s: %v", id, err)
		}
		return one
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		// The upstream's own answer, whole, but no success.
		one.problem.Reason = refuser.Reason(fmt.Sprintf("status-%d", status))
		return one
	}
	one.answered = true
	one.body = bytes.Clone(resp.Body())
	if err := responder.CheckAnswer(id, one.body); err != nil {
		t.Error(err)
	}
	return one
}

func (r *rig) post(id string, timeout time.Duration) result {
	r.t.Helper()
	return send(r.t, r.entry.Settings.CallerAddress, fasthttp.MethodPost, id, "", timeout)
}

// checkOnce compares what the caller was told with what ran.
func (r *rig) checkOnce(id string, got result) {
	r.t.Helper()
	ran := r.Journal.Count(id)
	r.t.Logf("%s: ran %d times, %s", id, ran, got)
	switch {
	case ran > 1:
		r.t.Errorf("%s ran %d times", id, ran)
	case got.answered && ran != 1:
		r.t.Errorf("%s was answered and ran %d times", id, ran)
	case got.problem.NotRun == refuser.NotRunTrue && ran != 0:
		r.t.Errorf("%s ran although the caller was told that it had not", id)
	}
}

// firstRequest returns a function that acts once, on the first request that names the id.
func firstRequest(id string, act func(*link)) func(*link, []byte) {
	var done atomic.Bool
	return func(l *link, data []byte) {
		if bytes.Contains(data, []byte(id)) && !done.Swap(true) {
			act(l)
		}
	}
}

func ignore(*link, []byte) {}

// TestOnceWhenConnectionBreaks breaks the connection between the nodes at each point of a call.
func TestOnceWhenConnectionBreaks(t *testing.T) {
	slow := responder.Behaviour{Service: 200 * time.Millisecond, Slots: 4, Steady: true}
	tests := []struct {
		name string
		// watch returns what to do with requests and answers.
		watch    func(id string) (request, answer func(*link, []byte))
		answered bool
	}{
		{"before the request arrives", func(id string) (func(*link, []byte), func(*link, []byte)) {
			return firstRequest(id, func(l *link) { l.cut() }), ignore
		}, true},
		{"silent before the request arrives", func(id string) (func(*link, []byte), func(*link, []byte)) {
			return firstRequest(id, func(l *link) { l.silent.Store(true) }), ignore
		}, true},
		{"while the request runs", func(id string) (func(*link, []byte), func(*link, []byte)) {
			return firstRequest(id, func(l *link) { time.AfterFunc(100*time.Millisecond, l.cut) }), ignore
		}, true},
		{"silent while the request runs", func(id string) (func(*link, []byte), func(*link, []byte)) {
			return firstRequest(id, func(l *link) {
				time.AfterFunc(100*time.Millisecond, func() { l.silent.Store(true) })
			}), ignore
		}, true},
		{"when the answer is lost", func(id string) (func(*link, []byte), func(*link, []byte)) {
			return ignore, firstRequest(id, func(l *link) { l.cut() })
		}, true},
		{"silent when the answer is lost", func(id string) (func(*link, []byte), func(*link, []byte)) {
			return ignore, firstRequest(id, func(l *link) { l.silent.Store(true) })
		}, true},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, 2, slow)
			// The entry must know how long answers take before a silence can be told.
			for n := range 10 {
				r.checkOnce(fmt.Sprintf("warm-%d-%d", i, n), r.post(fmt.Sprintf("warm-%d-%d", i, n), 4*time.Second))
			}
			id := fmt.Sprintf("stall-fee-%d", i)
			request, answer := test.watch(id)
			r.wire.watch(request, answer)
			r.wire.cutIdle()
			got := r.post(id, 4*time.Second)
			r.checkOnce(id, got)
			if got.answered != test.answered {
				t.Errorf("answered: %t, want %t", got.answered, test.answered)
			}
		})
	}
}

// TestOnceWhenTargetDies kills and restarts the node that runs the request.
func TestOnceWhenTargetDies(t *testing.T) {
	r := newRig(t, 1, responder.Behaviour{Service: 500 * time.Millisecond, Slots: 4, Steady: true})
	target := r.Station(1)
	restarted := make(chan struct{})
	time.AfterFunc(150*time.Millisecond, func() {
		defer close(restarted)
		target.Node.Abort()
		if err := r.StartNode(target); err != nil {
			t.Error(err)
		}
	})
	got := r.post("killed", 4*time.Second)
	<-restarted
	r.checkOnce("killed", got)
	if got.answered || got.problem.NotRun != refuser.NotRunUnknown {
		t.Errorf("got %s, want an unknown outcome", got)
	}
	if got.taken > 2*time.Second {
		t.Errorf("the unknown outcome was told after %s", got.taken)
	}
}

// TestOnceWhenUpstreamCrashes crashes the upstream in the middle of the request.
func TestOnceWhenUpstreamCrashes(t *testing.T) {
	r := newRig(t, 2, responder.Behaviour{Service: 500 * time.Millisecond, Slots: 4, Steady: true})
	crashed := make(chan struct{})
	time.AfterFunc(150*time.Millisecond, func() {
		defer close(crashed)
		r.Station(1).Upstream.Crash()
		r.Station(2).Upstream.Crash()
	})
	got := r.post("crashed", 4*time.Second)
	<-crashed
	r.checkOnce("crashed", got)
	if got.answered || got.problem.NotRun != refuser.NotRunUnknown {
		t.Errorf("got %s, want an unknown outcome", got)
	}
}

// TestOnceWithKey repeats a request with its idempotency key, at once, later and elsewhere.
func TestOnceWithKey(t *testing.T) {
	r := newRig(t, 3, responder.Behaviour{Service: 100 * time.Millisecond, Slots: 4, Steady: true})
	other := r.Station(1).Settings.CallerAddress
	var calls sync.WaitGroup
	results := make([]result, 4)
	for i := range results {
		calls.Go(func() {
			to := r.entry.Settings.CallerAddress
			if i%2 == 1 {
				to = other
			}
			results[i] = send(t, to, fasthttp.MethodPost, "keyed", "key-1", 4*time.Second)
		})
	}
	calls.Wait()
	results = append(results, send(t, other, fasthttp.MethodPost, "keyed", "key-1", 4*time.Second))
	for _, got := range results {
		r.checkOnce("keyed", got)
		if !got.answered || !bytes.Equal(got.body, results[0].body) {
			t.Errorf("got %s, want the same answer as the first", got)
		}
	}
	reused := send(t, other, fasthttp.MethodPost, "another", "key-1", 4*time.Second)
	r.checkOnce("another", reused)
	if reused.problem.Reason != refuser.ReasonKeyReused {
		t.Errorf("another request with the same key: %s", reused)
	}
}

// TestOnceWhenEntryDies kills the entry node during a keyed request; the caller repeats it at
// another node.
func TestOnceWhenEntryDies(t *testing.T) {
	r := newRig(t, 3, responder.Behaviour{Service: 300 * time.Millisecond, Slots: 4, Steady: true})
	first := make(chan struct{})
	go func() {
		defer close(first)
		pool := forwarder.New(r.entry.Settings.CallerAddress, timekeeper.System{})
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("/entries")
		req.Header.SetHost("test")
		req.Header.Set(responder.HeaderID, "orphan")
		req.SetBodyString("pay for orphan")
		req.Header.Set(dispatcher.HeaderIdempotencyKey, "key-2")
		_ = pool.Do(t.Context(), &forwarder.Exchange{Deadline: time.Now().Add(time.Second), Request: req, Response: resp})
	}()
	for r.Journal.Count("orphan") == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	r.entry.Node.Abort()
	t.Cleanup(func() {
		if err := r.StartNode(r.entry); err != nil {
			t.Error(err)
		}
	})
	<-first
	got := send(t, r.Station(2).Settings.CallerAddress, fasthttp.MethodPost, "orphan", "key-2", 4*time.Second)
	r.checkOnce("orphan", got)
	if !got.answered && got.problem.NotRun == refuser.NotRunTrue {
		t.Errorf("got %s, want the answer or an unknown outcome", got)
	}
}

// TestHeadersFromCallers sends headers that only nodes may set.
func TestHeadersFromCallers(t *testing.T) {
	r := newRig(t, 1, responder.Behaviour{Service: time.Millisecond, Slots: 4})
	pool := forwarder.New(r.entry.Settings.CallerAddress, timekeeper.System{})
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
	peer := forwarder.New(r.Station(1).Settings.PeerAddress, timekeeper.System{})
	defer peer.Close()
	if err := peer.Do(t.Context(), &forwarder.Exchange{Deadline: time.Now().Add(5 * time.Second), Request: req, Response: resp}); err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode() != fasthttp.StatusUnauthorized {
		t.Errorf("an unsigned attempt got status %d", resp.StatusCode())
	}
}

// TestOversizedRequests sends a header and a body over the node's limits.
func TestOversizedRequests(t *testing.T) {
	r := newRig(t, 0, responder.Behaviour{})
	tests := []struct {
		fill   func(*fasthttp.Request)
		reason refuser.Reason
		status int
	}{
		{func(req *fasthttp.Request) { req.SetBody(make([]byte, r.entry.Settings.MaxBodyBytes+1)) }, refuser.ReasonBodyTooLarge, 413},
		{func(req *fasthttp.Request) {
			req.Header.Set("Large", strings.Repeat("x", r.entry.Settings.MaxHeaderBytes))
		}, refuser.ReasonHeaderTooLarge, 431},
		{func(req *fasthttp.Request) { req.Header.Set(interpreter.HeaderTimeout, "soon") }, refuser.ReasonBadRequest, 400},
		{func(req *fasthttp.Request) { req.SetRequestURI("/nowhere") }, refuser.ReasonNoRoute, 404},
		{func(*fasthttp.Request) {}, refuser.ReasonNoUpstream, 503},
	}
	for _, test := range tests {
		pool := forwarder.New(r.entry.Settings.CallerAddress, timekeeper.System{})
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
		if got := r.entry.Node.Meter().RefusalCount(test.reason); got != 1 {
			t.Errorf("%s was counted %d times", test.reason, got)
		}
	}
}
