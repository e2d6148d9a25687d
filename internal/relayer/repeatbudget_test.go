package relayer

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// repeatScenario describes a load on a deployment of two services.
type repeatScenario struct {
	Seed    uint64        `json:"seed"`
	Seconds int           `json:"seconds"`
	Kinds   []requestKind `json:"kinds"`
	// Call is the nested call that upstreams make while they run a request of a kind with calls.
	Call requestKind `json:"call"`
	// Strangers is the number of additional entry nodes that know the nodes of the service scheduling and no
	// others.
	Strangers int           `json:"strangers"`
	Phases    []loadPhase   `json:"phases"`
	Starts    []nodeRestart `json:"starts"`
}

// requestKind is a kind of request. Rate is its mean number of requests per second, Work its mean run time, and
// CallingPart the fraction of its runs that make nested calls.
type requestKind struct {
	Name        string             `json:"name"`
	Service     string             `json:"service"`
	Rate        float64            `json:"rate"`
	Work        validator.Duration `json:"work"`
	Limit       validator.Duration `json:"limit"`
	Idempotent  bool               `json:"idempotent"`
	Calls       int                `json:"calls"`
	CallingPart float64            `json:"calling-part"`
}

// loadPhase changes the load of a kind or the behaviour of a service for a time.
type loadPhase struct {
	From validator.Duration `json:"from"`
	To   validator.Duration `json:"to"`
	// Kind arrives Times as often, only at Entries if these are named.
	Kind    string   `json:"kind"`
	Times   float64  `json:"times"`
	Entries []string `json:"entries"`
	// Service sheds the fraction Shed of its arrivals and fails the fraction Fail of its runs, only at Node if one
	// is named.
	Service string  `json:"service"`
	Node    string  `json:"node"`
	Shed    float64 `json:"shed"`
	Fail    float64 `json:"fail"`
}

// nodeRestart restarts Node, which then knows the nodes in Knows, while no node knows of the restart. From Joins on,
// if that is set, it knows all nodes and they know it.
type nodeRestart struct {
	At    validator.Duration `json:"at"`
	Node  string             `json:"node"`
	Knows []string           `json:"knows"`
	Joins validator.Duration `json:"joins"`
}

// scenarioRun runs a scenario and records what callers have sent and what upstreams have received.
type scenarioRun struct {
	*virtualDeployment
	scenario repeatScenario
	random   *lockedRand
	started  time.Time

	mu sync.Mutex
	// nestedOfRepeats records for each nested call whether the run that made it was a repeat itself.
	nestedOfRepeats map[string]bool
	nestedCalls     int
	// requests and repeats are the times of requests and of arrivals that were repeats, by service.
	requests map[string][]time.Duration
	repeats  map[string][]time.Duration
	arrived  map[string]bool
	served   map[string]int
	sent     map[string]int
}

var scenarioNodes = map[string]string{
	"b1": "booking", "b2": "booking", "b3": "booking", "b4": "booking", "b5": "booking",
	"s1": "scheduling", "s2": "scheduling", "s3": "scheduling", "s4": "scheduling",
}

func runScenario(t *testing.T, name string) *scenarioRun {
	t.Helper()
	r := &scenarioRun{
		nestedOfRepeats: make(map[string]bool), requests: make(map[string][]time.Duration), repeats: make(map[string][]time.Duration),
		arrived: make(map[string]bool), served: make(map[string]int), sent: make(map[string]int),
	}
	readScenario(t, "testdata/repeats/"+name+".json", &r.scenario)
	synctest.Test(t, func(t *testing.T) {
		r.virtualDeployment = newVirtualDeployment(t)
		r.random = &lockedRand{random: rand.New(rand.NewPCG(r.scenario.Seed, 0))}
		r.upstream = r.serveRequest
		for _, node := range slices.Sorted(maps.Keys(scenarioNodes)) {
			r.add(node, scenarioNodes[node])
		}
		r.makeKnown(r.names, r.names)
		for i := range r.scenario.Strangers {
			stranger := r.add(fmt.Sprintf("e%d", i), "booking")
			r.makeKnown([]string{stranger.name}, []string{"s1", "s2", "s3", "s4"})
		}
		r.started = time.Now()
		r.sendRequests()
	})
	return r
}

// sendRequests sends the requests of every kind and waits for the answers.
func (r *scenarioRun) sendRequests() {
	var load sync.WaitGroup
	end := time.Duration(r.scenario.Seconds) * time.Second
	for _, restart := range r.scenario.Starts {
		load.Go(func() { r.restartNode(restart) })
	}
	for _, kind := range r.scenario.Kinds {
		load.Go(func() {
			for i := 0; time.Since(r.started) < end; i++ {
				times, entries := r.currentArrivals(kind.Name)
				time.Sleep(r.random.exponential(time.Duration(float64(time.Second) / kind.Rate / times)))
				entry := r.member(entries[i%len(entries)])
				load.Go(func() { r.send(entry, kind, fmt.Sprintf("%s-%d", kind.Name, i)) })
			}
		})
	}
	load.Wait()
	// Work that nodes do after an answer, such as ending a lost hedge, is over by then.
	time.Sleep(5 * time.Second)
}

func (r *scenarioRun) restartNode(restart nodeRestart) {
	time.Sleep(restart.At.Std())
	r.add(restart.Node, scenarioNodes[restart.Node])
	r.makeKnown([]string{restart.Node}, restart.Knows)
	if restart.Joins == 0 {
		return
	}
	time.Sleep((restart.Joins - restart.At).Std())
	r.makeKnown([]string{restart.Node}, r.names)
	r.makeKnown(r.names, []string{restart.Node})
}

// currentArrivals returns the factor on a kind's rate at this time, and the nodes at which the kind arrives.
func (r *scenarioRun) currentArrivals(kind string) (times float64, entries []string) {
	times, entries = 1, r.names
	for _, p := range r.currentPhases() {
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

// currentPhases returns the phases that apply at this time.
func (r *scenarioRun) currentPhases() []loadPhase {
	now := time.Since(r.started)
	var current []loadPhase
	for _, p := range r.scenario.Phases {
		if p.From.Std() <= now && now < p.To.Std() {
			current = append(current, p)
		}
	}
	return current
}

func (r *scenarioRun) send(entry *virtualNode, kind requestKind, id string) {
	r.recordEvent(r.requests, kind.Service)
	status := entry.request(context.Background(), id, kind.Name, kind.Idempotent, kind.Limit.Std())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[kind.Name]++
	if status == fasthttp.StatusOK {
		r.served[kind.Name]++
	}
}

func (r *scenarioRun) recordEvent(events map[string][]time.Duration, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events[service] = append(events[service], time.Since(r.started))
}

// recordArrival records an arrival and reports whether it is a repeat: of a request that has arrived before, or of a
// nested call whose parent's run was one.
func (r *scenarioRun) recordArrival(id, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isRepeat := r.arrived[id] || r.nestedOfRepeats[id]
	r.arrived[id] = true
	if isRepeat {
		r.repeats[service] = append(r.repeats[service], time.Since(r.started))
	}
	return isRepeat
}

// serveRequest acts as the upstream beside each node.
func (r *scenarioRun) serveRequest(ctx context.Context, at *virtualNode, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	id := string(req.Header.Peek(headerTestRequest))
	name := strings.Split(string(req.URI().Path()), "/")[1]
	isRepeat := r.recordArrival(id, at.serves)
	time.Sleep(200 * time.Microsecond)
	status := fasthttp.StatusOK
	for _, p := range r.currentPhases() {
		if p.Service != at.serves || (p.Node != "" && p.Node != at.name) {
			continue
		}
		if r.random.chance(p.Shed) {
			return executor.ErrShed
		}
		if r.random.chance(p.Fail) {
			status = fasthttp.StatusInternalServerError
		}
	}
	kind := r.scenario.Call
	for _, k := range r.scenario.Kinds {
		if k.Name == name {
			kind = k
		}
	}
	if kind.Calls > 0 && r.random.chance(kind.CallingPart) && !r.makeNestedCalls(ctx, at, id, kind.Calls, isRepeat, deadline) {
		resp.SetStatusCode(fasthttp.StatusInternalServerError)
		return nil
	}
	resp.SetStatusCode(status)
	return simulateWork(ctx, r.random.exponential(kind.Work.Std()), deadline)
}

// makeNestedCalls makes the nested calls of a run concurrently and reports whether all of them succeeded.
func (r *scenarioRun) makeNestedCalls(ctx context.Context, at *virtualNode, parent string, count int, isRepeat bool, deadline time.Time) bool {
	var calls sync.WaitGroup
	statuses := make([]int, count)
	for i := range statuses {
		r.mu.Lock()
		r.nestedCalls++
		id := fmt.Sprintf("%s.%d", parent, r.nestedCalls)
		r.nestedOfRepeats[id] = isRepeat
		r.mu.Unlock()
		if !isRepeat {
			r.recordEvent(r.requests, r.scenario.Call.Service)
		}
		limit := min(r.scenario.Call.Limit.Std(), time.Until(deadline))
		calls.Go(func() { statuses[i] = at.request(ctx, id, r.scenario.Call.Name, true, limit) })
	}
	calls.Wait()
	return !slices.ContainsFunc(statuses, func(status int) bool { return status != fasthttp.StatusOK })
}

// windowUsage is how many repeats a service got in one window, and how many were allowed.
type windowUsage struct {
	from     time.Duration
	repeats  int
	requests int
	allowed  float64
}

// worstWindow returns the window in which the service came closest to its bound: in any window, repeats are limited
// to the sum of the slack and the ratio times the requests. The requests are those of that window, of the one before
// it or of the one that begins half a window earlier, whichever has the most.
func (r *scenarioRun) worstWindow(service string) windowUsage {
	window := r.budget.RetryWindow.Std()
	requests, repeats := slices.Sorted(slices.Values(r.requests[service])), slices.Sorted(slices.Values(r.repeats[service]))
	within := func(events []time.Duration, from time.Duration) int {
		first, _ := slices.BinarySearch(events, from)
		last, _ := slices.BinarySearch(events, from+window)
		return last - first
	}
	worst := windowUsage{allowed: 1}
	for _, from := range repeats {
		usage := windowUsage{from: from, repeats: within(repeats, from)}
		for _, shift := range []time.Duration{0, window / 2, window} {
			usage.requests = max(usage.requests, within(requests, from-shift))
		}
		usage.allowed = r.budget.RetryRatio*float64(usage.requests) + r.budget.RetrySlack
		if float64(usage.repeats)/usage.allowed > float64(worst.repeats)/worst.allowed {
			worst = usage
		}
	}
	return worst
}

// checkBudget fails the test if a service got more repeats in some window than it is allowed.
func (r *scenarioRun) checkBudget(t *testing.T) {
	t.Helper()
	for _, service := range []string{"booking", "scheduling"} {
		worst := r.worstWindow(service)
		t.Logf("%s: %d repeats in %v from %v on, for %d requests; allowed %.0f (%.2f of it)", service, worst.repeats,
			r.budget.RetryWindow.Std(), worst.from, worst.requests, worst.allowed, float64(worst.repeats)/worst.allowed)
		if float64(worst.repeats) > worst.allowed {
			t.Errorf("%s got %d repeats, allowed %.0f", service, worst.repeats, worst.allowed)
		}
	}
	for _, kind := range r.scenario.Kinds {
		t.Logf("%s: %d sent, %.3f served", kind.Name, r.sent[kind.Name], float64(r.served[kind.Name])/float64(r.sent[kind.Name]))
	}
}

// TestRepeatBudgetCountsNestedCalls guards against incident inc1: a service got more repeats than all nodes together
// are allowed to send it, because the nested calls of runs that were repeats were not counted.
func TestRepeatBudgetCountsNestedCalls(t *testing.T) {
	runScenario(t, "nested-calls").checkBudget(t)
}

// TestRepeatBudgetWithPartialMembership guards against shares of the slack that add up to more than the whole when
// nodes disagree on their number, and against allowances that are saved up in quiet times.
func TestRepeatBudgetWithPartialMembership(t *testing.T) {
	runScenario(t, "partial-membership").checkBudget(t)
}

// TestRepeatBudgetWithNodeRestarts guards against a node that gets a new share of the slack with each start.
func TestRepeatBudgetWithNodeRestarts(t *testing.T) {
	runScenario(t, "node-restarts").checkBudget(t)
}

// TestRepeatBudgetWithShiftingLoad guards against allowances that one node earns in one window and another node in
// the next.
func TestRepeatBudgetWithShiftingLoad(t *testing.T) {
	runScenario(t, "shifting-load").checkBudget(t)
}

// TestFailedNestedCallIsNotRetriedByParent guards against the amplification of incident inc1: a request whose nested
// call had finally failed was run again, although its upstream passes no context on to its nested calls.
func TestFailedNestedCallIsNotRetriedByParent(t *testing.T) {
	r := runScenario(t, "failing-nested-calls")
	r.checkBudget(t)
	if got := len(r.repeats["booking"]); got > 0 {
		t.Errorf("%d arrivals were repeats for %d requests, want none", got, r.sent["date-lookup"])
	}
}
