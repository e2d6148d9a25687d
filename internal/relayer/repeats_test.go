package relayer

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// repeatsScript is a load on a deployment of two services.
type repeatsScript struct {
	Seed    uint64        `json:"seed"`
	Seconds int           `json:"seconds"`
	Kinds   []repeatsKind `json:"kinds"`
	// Call is what the upstreams of a kind with calls send while they run.
	Call repeatsKind `json:"call"`
	// Strangers is the number of further entry nodes that know the nodes of scheduling, and nobody else.
	Strangers int            `json:"strangers"`
	Phases    []repeatsPhase `json:"phases"`
	Starts    []repeatsStart `json:"starts"`
}

// repeatsKind is one kind of request.
type repeatsKind struct {
	Name        string             `json:"name"`
	Service     string             `json:"service"`
	Rate        float64            `json:"rate"`
	Work        validator.Duration `json:"work"`
	Limit       validator.Duration `json:"limit"`
	Idempotent  bool               `json:"idempotent"`
	Calls       int                `json:"calls"`
	CallingPart float64            `json:"calling-part"`
}

// repeatsPhase changes the load of a kind or the behaviour of a service for a time.
type repeatsPhase struct {
	From validator.Duration `json:"from"`
	To   validator.Duration `json:"to"`
	// Kind comes Times as often, at the Entries alone where these are named.
	Kind    string   `json:"kind"`
	Times   float64  `json:"times"`
	Entries []string `json:"entries"`
	// Service sheds a part of its arrivals and fails a part of its runs, at Node alone where one is named.
	Service string  `json:"service"`
	Node    string  `json:"node"`
	Shed    float64 `json:"shed"`
	Fail    float64 `json:"fail"`
}

// repeatsStart starts a node again. It knows the nodes in Knows and nobody knows of its start; from Joins on, if
// that is set, it knows all nodes and they know it.
type repeatsStart struct {
	At    validator.Duration `json:"at"`
	Node  string             `json:"node"`
	Knows []string           `json:"knows"`
	Joins validator.Duration `json:"joins"`
}

// repeatsRun plays a script and keeps what callers have sent and what upstreams have got.
type repeatsRun struct {
	*virtualDeployment
	script  repeatsScript
	lot     *lot
	started time.Time

	mu sync.Mutex
	// below holds the calls of runs that were repeats themselves.
	below map[string]bool
	calls int
	// requests and repeats are the times of requests and of arrivals that were repeats, by service.
	requests map[string][]time.Duration
	repeats  map[string][]time.Duration
	seen     map[string]bool
	served   map[string]int
	sent     map[string]int
}

var repeatsNodes = map[string]string{
	"b1": "booking", "b2": "booking", "b3": "booking", "b4": "booking", "b5": "booking",
	"s1": "scheduling", "s2": "scheduling", "s3": "scheduling", "s4": "scheduling",
}

func playRepeats(t *testing.T, name string) *repeatsRun {
	t.Helper()
	text, err := os.ReadFile("testdata/repeats/" + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	r := &repeatsRun{
		below: make(map[string]bool), requests: make(map[string][]time.Duration), repeats: make(map[string][]time.Duration),
		seen: make(map[string]bool), served: make(map[string]int), sent: make(map[string]int),
	}
	if err := json.Unmarshal(text, &r.script); err != nil {
		t.Fatal(err)
	}
	// The HTTP library's clock starts with the first answer that is written and never ends.
	carrier.Pack(&fasthttp.Response{})
	synctest.Test(t, func(t *testing.T) {
		r.virtualDeployment = newVirtualDeployment(t)
		r.lot = &lot{random: rand.New(rand.NewPCG(r.script.Seed, 0))}
		r.upstream = r.do
		for _, node := range slices.Sorted(maps.Keys(repeatsNodes)) {
			r.add(node, repeatsNodes[node])
		}
		r.introduce(r.names, r.names)
		for i := range r.script.Strangers {
			stranger := r.add(fmt.Sprintf("e%d", i), "booking")
			r.introduce([]string{stranger.name}, []string{"s1", "s2", "s3", "s4"})
		}
		r.started = time.Now()
		r.play()
	})
	return r
}

// play sends every kind's requests and waits for the answers.
func (r *repeatsRun) play() {
	var load sync.WaitGroup
	end := time.Duration(r.script.Seconds) * time.Second
	for _, one := range r.script.Starts {
		load.Go(func() { r.startAgain(one) })
	}
	for _, kind := range r.script.Kinds {
		load.Go(func() {
			for i := 0; time.Since(r.started) < end; i++ {
				times, entries := r.loadOf(kind.Name)
				time.Sleep(r.lot.exponential(time.Duration(float64(time.Second) / kind.Rate / times)))
				entry := r.member(entries[i%len(entries)])
				load.Go(func() { r.send(entry, kind, fmt.Sprintf("%s-%d", kind.Name, i)) })
			}
		})
	}
	load.Wait()
	// What nodes do after an answer, as the end of a lost hedge, is over by then.
	time.Sleep(5 * time.Second)
}

func (r *repeatsRun) startAgain(one repeatsStart) {
	time.Sleep(one.At.Std())
	r.add(one.Node, repeatsNodes[one.Node])
	r.introduce([]string{one.Node}, one.Knows)
	if one.Joins == 0 {
		return
	}
	time.Sleep((one.Joins - one.At).Std())
	r.introduce([]string{one.Node}, r.names)
	r.introduce(r.names, []string{one.Node})
}

// loadOf returns how many times as often a kind comes now, and where.
func (r *repeatsRun) loadOf(kind string) (times float64, entries []string) {
	times, entries = 1, r.names
	for _, p := range r.phases() {
		if p.Kind != kind {
			continue
		}
		times *= p.Times
		if len(p.Entries) > 0 {
			entries = p.Entries
		}
	}
	return times, entries
}

// phases returns those that hold now.
func (r *repeatsRun) phases() []repeatsPhase {
	now := time.Since(r.started)
	var current []repeatsPhase
	for _, p := range r.script.Phases {
		if p.From.Std() <= now && now < p.To.Std() {
			current = append(current, p)
		}
	}
	return current
}

func (r *repeatsRun) send(entry *virtualNode, kind repeatsKind, id string) {
	r.note(r.requests, kind.Service)
	status := entry.request(context.Background(), id, kind.Name, kind.Idempotent, kind.Limit.Std())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[kind.Name]++
	if status == fasthttp.StatusOK {
		r.served[kind.Name]++
	}
}

func (r *repeatsRun) note(events map[string][]time.Duration, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events[service] = append(events[service], time.Since(r.started))
}

// arrive books an arrival and reports whether it is a repeat: one of a request that has arrived before, or of
// a call whose parent's run was one.
func (r *repeatsRun) arrive(id, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isRepeat := r.seen[id] || r.below[id]
	r.seen[id] = true
	if isRepeat {
		r.repeats[service] = append(r.repeats[service], time.Since(r.started))
	}
	return isRepeat
}

// do is the upstream beside each node.
func (r *repeatsRun) do(ctx context.Context, at *virtualNode, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	id := string(req.Header.Peek(headerTestRequest))
	name := strings.Split(string(req.URI().Path()), "/")[1]
	isRepeat := r.arrive(id, at.serves)
	time.Sleep(200 * time.Microsecond)
	status := fasthttp.StatusOK
	for _, p := range r.phases() {
		if p.Service != at.serves || (p.Node != "" && p.Node != at.name) {
			continue
		}
		if r.lot.isBelow(p.Shed) {
			return executor.ErrShed
		}
		if r.lot.isBelow(p.Fail) {
			status = fasthttp.StatusInternalServerError
		}
	}
	kind := r.script.Call
	for _, one := range r.script.Kinds {
		if one.Name == name {
			kind = one
		}
	}
	if kind.Calls > 0 && r.lot.isBelow(kind.CallingPart) && !r.callBelow(ctx, at, id, kind.Calls, isRepeat, deadline) {
		resp.SetStatusCode(fasthttp.StatusInternalServerError)
		return nil
	}
	resp.SetStatusCode(status)
	return work(ctx, r.lot.exponential(kind.Work.Std()), deadline)
}

// callBelow makes the calls of a run together. It reports whether all were answered well.
func (r *repeatsRun) callBelow(ctx context.Context, at *virtualNode, parent string, count int, isRepeat bool, deadline time.Time) bool {
	var calls sync.WaitGroup
	statuses := make([]int, count)
	for i := range statuses {
		r.mu.Lock()
		r.calls++
		id := fmt.Sprintf("%s.%d", parent, r.calls)
		r.below[id] = isRepeat
		r.mu.Unlock()
		if !isRepeat {
			r.note(r.requests, r.script.Call.Service)
		}
		limit := min(r.script.Call.Limit.Std(), time.Until(deadline))
		calls.Go(func() { statuses[i] = at.request(ctx, id, r.script.Call.Name, true, limit) })
	}
	calls.Wait()
	return !slices.ContainsFunc(statuses, func(status int) bool { return status != fasthttp.StatusOK })
}

// bound is what a service may get in one window.
type bound struct {
	from     time.Duration
	repeats  int
	requests int
	allowed  float64
}

// nearest returns the window in which the service came nearest to its bound: in any window, repeats are at
// most the ratio of its requests and the slack. The requests are those of that window, of the one before it
// or of the one that begins half a window before, whichever has most.
func (r *repeatsRun) nearest(service string) bound {
	window := r.budget.RetryWindow.Std()
	requests, repeats := slices.Sorted(slices.Values(r.requests[service])), slices.Sorted(slices.Values(r.repeats[service]))
	within := func(events []time.Duration, from time.Duration) int {
		first, _ := slices.BinarySearch(events, from)
		last, _ := slices.BinarySearch(events, from+window)
		return last - first
	}
	worst := bound{allowed: 1}
	for _, from := range repeats {
		one := bound{from: from, repeats: within(repeats, from)}
		for _, shift := range []time.Duration{0, window / 2, window} {
			one.requests = max(one.requests, within(requests, from-shift))
		}
		one.allowed = r.budget.RetryRatio*float64(one.requests) + r.budget.RetrySlack
		if float64(one.repeats)/one.allowed > float64(worst.repeats)/worst.allowed {
			worst = one
		}
	}
	return worst
}

// check fails the test where a service got more repeats in some window than it may.
func (r *repeatsRun) check(t *testing.T) {
	t.Helper()
	for _, service := range []string{"booking", "scheduling"} {
		worst := r.nearest(service)
		t.Logf("%s: %d repeats in %v from %v on, for %d requests; allowed %.0f (%.2f of it)", service, worst.repeats,
			r.budget.RetryWindow.Std(), worst.from, worst.requests, worst.allowed, float64(worst.repeats)/worst.allowed)
		if float64(worst.repeats) > worst.allowed {
			t.Errorf("%s got %d repeats, allowed %.0f", service, worst.repeats, worst.allowed)
		}
	}
	for _, kind := range r.script.Kinds {
		t.Logf("%s: %d sent, %.3f served", kind.Name, r.sent[kind.Name], float64(r.served[kind.Name])/float64(r.sent[kind.Name]))
	}
}

// TestRepeatsCountCallsBelowRepeats guards against inc1: a service got more repeats than all nodes together
// may send it, because the calls of runs that were repeats were counted nowhere.
func TestRepeatsCountCallsBelowRepeats(t *testing.T) {
	playRepeats(t, "calls-below-repeats").check(t)
}

// TestRepeatsOfNodesThatKnowFew guards against shares of the slack that add up to more than the whole, where
// nodes disagree on how many they are, and against stocks that are saved in quiet times.
func TestRepeatsOfNodesThatKnowFew(t *testing.T) {
	playRepeats(t, "nodes-that-know-few").check(t)
}

// TestRepeatsOfNodesStartedAgain guards against shares that are new with each start of a node.
func TestRepeatsOfNodesStartedAgain(t *testing.T) {
	playRepeats(t, "nodes-started-again").check(t)
}

// TestRepeatsOfLoadThatMoves guards against allowances that one node earns in one window and another node in
// the next.
func TestRepeatsOfLoadThatMoves(t *testing.T) {
	playRepeats(t, "load-that-moves").check(t)
}

// TestFailureBelowIsNotTriedAgainAbove guards against inc1's amplification: a request whose call had failed for
// good was run again, though its upstream passes no context on to its calls.
func TestFailureBelowIsNotTriedAgainAbove(t *testing.T) {
	r := playRepeats(t, "calls-that-fail")
	r.check(t)
	if got := len(r.repeats["booking"]); got > 0 {
		t.Errorf("%d runs of %d requests were made again in vain", got, r.sent["date-lookup"])
	}
}
