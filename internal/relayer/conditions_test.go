package relayer

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// The bound on the requests of an upstream that has named a rate limit: in any limitWindow that ends at least
// limitSettleTime after the first naming, at most limitExcess times what the limit allows, and limitSlack more. It counts
// the requests that began at entry nodes that had delivered an answer with the limit deliveryDelay before the window's end.
const (
	limitWindow     = 4 * time.Second
	limitSettleTime = 3 * time.Second
	limitExcess     = 1.5
	limitSlack      = 5
	deliveryDelay   = 500 * time.Millisecond
)

// conditionScenario describes a load on the nodes of scenarioNodes while some upstreams name conditions.
type conditionScenario struct {
	Seed   uint64             `json:"seed"`
	Length validator.Duration `json:"length"`
	Kinds  []conditionKind    `json:"kinds"`
	Limits []namedLimit       `json:"limits"`
	// Leaving are the upstreams that name themselves leaving from a time on, while they announce that they are ready.
	Leaving []nodeEvent `json:"leaving"`
	// Restarts are restarts of nodes. The upstreams beside them go on.
	Restarts []nodeEvent `json:"restarts"`
}

// conditionKind is a kind of request of the scenario.
type conditionKind struct {
	requestKind
	// From and To, if To is set, limit the time in which requests of the kind are sent.
	From validator.Duration `json:"from"`
	To   validator.Duration `json:"to"`
	// MinServed is the fraction of the requests that must be answered, and MinInTime that within Target.
	MinServed float64            `json:"min-served"`
	MinInTime float64            `json:"min-in-time"`
	Target    validator.Duration `json:"target"`
}

// nodeEvent is what happens to a node, or to the upstream beside it, at a time.
type nodeEvent struct {
	Node string             `json:"node"`
	At   validator.Duration `json:"at"`
}

// namedLimit is a rate limit that the upstream beside Node names in its answers for a time. Value is its text in the
// header.
type namedLimit struct {
	Node  string             `json:"node"`
	From  validator.Duration `json:"from"`
	To    validator.Duration `json:"to"`
	Value string             `json:"value"`
}

// upstreamArrival is a request that an upstream has received.
type upstreamArrival struct {
	at    time.Duration
	entry string
	// sentAt is when the caller sent the request.
	sentAt time.Duration
}

// delivery identifies the answers of one upstream that one entry node has delivered.
type delivery struct {
	entry    string
	instance string
}

// conditionRun runs a scenario and records what upstreams have received and what entry nodes have delivered. All times
// are since its start.
type conditionRun struct {
	*virtualDeployment
	scenario conditionScenario
	random   *lockedRand
	started  time.Time

	mu       sync.Mutex
	arrivals map[string][]upstreamArrival
	// limitDelivered is when an entry node first delivered an answer with a rate limit.
	limitDelivered map[delivery]time.Duration
	// leavingDelivered is when an entry node first delivered an answer of a leaving upstream.
	leavingDelivered map[delivery]time.Duration
	// leavingAnswers is the number of answers of leaving upstreams that callers got.
	leavingAnswers int
	// sentAt is when each request was sent, by its ID.
	sentAt map[string]time.Duration
	// sent, served and inTime count the requests of each kind: all, those answered, and those answered within the target.
	sent, served, inTime map[string]int
}

// headerTestInstance names the instance that has answered.
const headerTestInstance = "Test-Instance"

func runConditions(t *testing.T, name string) *conditionRun {
	t.Helper()
	var scenario conditionScenario
	readScenario(t, "testdata/conditions/"+name+".json", &scenario)
	return scenario.run(t)
}

func (s *conditionScenario) run(t *testing.T) *conditionRun {
	t.Helper()
	r := &conditionRun{
		scenario: *s,
		arrivals: make(map[string][]upstreamArrival), limitDelivered: make(map[delivery]time.Duration),
		leavingDelivered: make(map[delivery]time.Duration), sentAt: make(map[string]time.Duration),
		sent: make(map[string]int), served: make(map[string]int), inTime: make(map[string]int),
	}
	synctest.Test(t, func(t *testing.T) {
		r.virtualDeployment = newVirtualDeployment(t)
		r.random = &lockedRand{random: rand.New(rand.NewPCG(r.scenario.Seed, 0))}
		r.upstream, r.instancesSurvive = r.serve, true
		for _, node := range slices.Sorted(maps.Keys(scenarioNodes)) {
			r.add(node, scenarioNodes[node])
		}
		r.makeKnown(r.names, r.names)
		r.started = time.Now()
		r.play(t)
	})
	return r
}

// play sends the requests of every kind and waits for the answers.
func (r *conditionRun) play(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	for _, name := range r.names {
		go r.member(name).maintain(ctx)
	}
	var load sync.WaitGroup
	for _, restart := range r.scenario.Restarts {
		load.Go(func() {
			time.Sleep(restart.At.Std())
			r.restart(ctx, restart.Node)
		})
	}
	for _, kind := range r.scenario.Kinds {
		load.Go(func() {
			end := r.scenario.Length.Std()
			if kind.To > 0 {
				end = kind.To.Std()
			}
			time.Sleep(kind.From.Std())
			for i := 0; time.Since(r.started) < end; i++ {
				time.Sleep(r.random.exponential(time.Duration(float64(time.Second) / kind.Rate)))
				entry := r.names[i%len(r.names)]
				load.Go(func() {
					r.send(entry, kind.requestKind, kind.Target.Std(), fmt.Sprintf("%s-%s-%d", entry, kind.Name, i))
				})
			}
		})
	}
	load.Wait()
	// Work that nodes do after an answer, such as ending a lost hedge, is over by then.
	time.Sleep(5 * time.Second)
	stop()
	time.Sleep(executor.SweepInterval)
}

// maintain does the periodic work of a node and of the upstream beside it.
func (v *virtualNode) maintain(ctx context.Context) {
	for ctx.Err() == nil {
		v.executor.Sweep()
		v.announce()
		time.Sleep(executor.SweepInterval)
	}
}

// restart restarts a node and makes it known. What it has delivered before does not bind it.
func (r *conditionRun) restart(ctx context.Context, node string) {
	go r.add(node, scenarioNodes[node]).maintain(ctx)
	r.makeKnown([]string{node}, r.names)
	r.makeKnown(r.names, []string{node})
	r.mu.Lock()
	defer r.mu.Unlock()
	ofNode := func(d delivery, _ time.Duration) bool { return d.entry == node }
	maps.DeleteFunc(r.limitDelivered, ofNode)
	maps.DeleteFunc(r.leavingDelivered, ofNode)
}

func (r *conditionRun) send(entry string, kind requestKind, target time.Duration, id string) {
	began := time.Now()
	r.mu.Lock()
	r.sentAt[id] = time.Since(r.started)
	r.mu.Unlock()
	resp := r.member(entry).requestAnswer(context.Background(), id, kind.Name, kind.Idempotent, kind.Limit.Std())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[kind.Name]++
	if resp.StatusCode() == fasthttp.StatusOK {
		r.served[kind.Name]++
		if time.Since(began) <= target {
			r.inTime[kind.Name]++
		}
	}
	r.recordDelivery(entry, resp, interpreter.HeaderRateLimit, r.limitDelivered)
	r.recordDelivery(entry, resp, interpreter.HeaderLeaving, r.leavingDelivered)
	if len(resp.Header.Peek(interpreter.HeaderLeaving)) > 0 {
		r.leavingAnswers++
	}
}

// recordDelivery records that the entry node has delivered an answer, if it is the instance's first one with the header. It
// is called with mu held.
func (r *conditionRun) recordDelivery(entry string, resp *fasthttp.Response, header string, delivered map[delivery]time.Duration) {
	key := delivery{entry: entry, instance: string(resp.Header.Peek(headerTestInstance))}
	if _, ok := delivered[key]; !ok && len(resp.Header.Peek(header)) > 0 {
		delivered[key] = time.Since(r.started)
	}
}

// serve acts as the upstream beside each node.
func (r *conditionRun) serve(ctx context.Context, at *virtualNode, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	id := string(req.Header.Peek(headerTestRequest))
	entry, rest, _ := strings.Cut(id, "-")
	r.mu.Lock()
	r.arrivals[at.instance] = append(r.arrivals[at.instance], upstreamArrival{at: time.Since(r.started), entry: entry, sentAt: r.sentAt[id]})
	r.mu.Unlock()
	for _, kind := range r.scenario.Kinds {
		if !strings.HasPrefix(rest, kind.Name) {
			continue
		}
		if err := simulateWork(ctx, r.random.exponential(kind.Work.Std()), deadline); err != nil {
			return err
		}
	}
	resp.SetStatusCode(fasthttp.StatusOK)
	resp.Header.Set(headerTestInstance, at.instance)
	for _, limit := range r.scenario.Limits {
		if limit.Node == at.name && limit.isNamedAt(time.Since(r.started)) {
			resp.Header.Add(interpreter.HeaderRateLimit, limit.Value)
		}
	}
	for _, leaving := range r.scenario.Leaving {
		if leaving.Node == at.name && time.Since(r.started) >= leaving.At.Std() {
			resp.Header.Set(interpreter.HeaderLeaving, "1")
		}
	}
	return nil
}

func (l *namedLimit) isNamedAt(at time.Duration) bool {
	return l.From.Std() <= at && at < l.To.Std()
}

// checkLimits fails the test if an upstream got more requests in some window than its rate limit allows.
func (r *conditionRun) checkLimits(t *testing.T) {
	t.Helper()
	for _, instance := range slices.Sorted(maps.Keys(r.arrivals)) {
		arrivals := r.arrivals[instance]
		worst, at, counted := 0.0, time.Duration(0), 0
		for _, last := range arrivals {
			allowed, ok := r.allowedAt(instance, last.at)
			if !ok {
				continue
			}
			count := r.countWindow(instance, last.at)
			if used := float64(count) / allowed; used > worst {
				worst, at, counted = used, last.at, count
			}
		}
		t.Logf("%s: at most %.2f of what its limit allows: %d requests in %v until %v", instance, worst, counted, limitWindow, at)
		if worst > 1 {
			t.Errorf("%s got %d requests in %v until %v, %.2f times what its rate limit allows", instance, counted, limitWindow, at, worst)
		}
	}
}

// allowedAt returns how many requests the instance can get in the window that ends at the given time. It reports false
// where no limit has settled. For a limit that has changed, the higher value holds until the new one has settled.
func (r *conditionRun) allowedAt(instance string, at time.Duration) (float64, bool) {
	highest := 0.0
	node, _, _ := strings.Cut(instance, ".")
	for _, limit := range r.scenario.Limits {
		value, err := strconv.ParseFloat(limit.Value, 64)
		if err != nil || limit.Node != node {
			continue
		}
		if first := limit.From.Std(); first+limitSettleTime <= at && at < limit.To.Std()+limitSettleTime {
			highest = max(highest, value)
		}
	}
	return limitExcess*highest*limitWindow.Seconds() + limitSlack, highest > 0 && r.isNamed(node, at)
}

func (r *conditionRun) isNamed(node string, at time.Duration) bool {
	return slices.ContainsFunc(r.scenario.Limits, func(l namedLimit) bool { return l.Node == node && l.isNamedAt(at) })
}

// countWindow returns the number of requests in the window that ends at the given time, from entry nodes that had
// delivered an answer with a limit by then.
func (r *conditionRun) countWindow(instance string, end time.Duration) int {
	count := 0
	for _, a := range r.arrivals[instance] {
		told, ok := r.limitDelivered[delivery{entry: a.entry, instance: instance}]
		if ok && told+deliveryDelay <= end && end-limitWindow < a.at && a.at <= end {
			count++
		}
	}
	return count
}

// drainTime is how long after an entry node has delivered an answer of a leaving upstream its callers' requests can still
// reach that upstream.
const drainTime = 2 * time.Second

// checkLeaving fails the test if a leaving upstream got a request that was sent after the drain time.
func (r *conditionRun) checkLeaving(t *testing.T) {
	t.Helper()
	for _, instance := range slices.Sorted(maps.Keys(r.arrivals)) {
		late := 0
		for _, a := range r.arrivals[instance] {
			told, ok := r.leavingDelivered[delivery{entry: a.entry, instance: instance}]
			if ok && a.sentAt > told+drainTime {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%s got %d requests that were sent after it had said that it leaves", instance, late)
		}
	}
	if len(r.scenario.Leaving) > 0 && r.leavingAnswers == 0 {
		t.Error("no node has delivered an answer of a leaving upstream")
	}
}

// checkServed fails the test if too few requests of a kind were answered, or answered in time.
func (r *conditionRun) checkServed(t *testing.T) {
	t.Helper()
	for _, kind := range r.scenario.Kinds {
		served := float64(r.served[kind.Name]) / float64(r.sent[kind.Name])
		inTime := float64(r.inTime[kind.Name]) / float64(r.sent[kind.Name])
		t.Logf("%s: %d sent, %.4f served, %.4f in time", kind.Name, r.sent[kind.Name], served, inTime)
		if inTime < kind.MinInTime {
			t.Errorf("%s: %.4f in time, want at least %.4f", kind.Name, inTime, kind.MinInTime)
		}
		if served < kind.MinServed {
			t.Errorf("%s: %.4f served, want at least %.4f", kind.Name, served, kind.MinServed)
		}
	}
}

// checkScenario runs a scenario and checks what upstreams have received and callers were answered.
func checkScenario(t *testing.T, name string) {
	t.Helper()
	r := runConditions(t, name)
	r.checkLimits(t)
	r.checkLeaving(t)
	r.checkServed(t)
}

// TestRateLimitOfUpstreamIsKept guards against the incident LIMIT: an upstream that had named a rate limit in its answers
// got requests as before.
func TestRateLimitOfUpstreamIsKept(t *testing.T) {
	checkScenario(t, "two-limited")
}

// TestRateLimitIsKeptByRestartedNode guards against a node that starts again beside an upstream with a rate limit and
// sends to it as if it had none, although callers' nodes have delivered answers with the limit.
func TestRateLimitIsKeptByRestartedNode(t *testing.T) {
	checkScenario(t, "node-restarts")
}

// TestLeavingUpstreamGetsNoRequests guards against requests to an upstream that names itself leaving in its answers, while
// its announcements say that it is ready and the nodes beside it and its siblings are restarted.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	checkScenario(t, "leaving")
}

// TestRateLimitsThatChangeAreKept guards against what was sent under a higher limit, or without one, adding to what a lower
// one allows.
func TestRateLimitsThatChangeAreKept(t *testing.T) {
	checkScenario(t, "falling")
}

// TestUrgentRequestsWithinRateLimits guards against rate limits of a whole service that are used up by the lower rank, or by
// requests that wait where others could be sent.
func TestUrgentRequestsWithinRateLimits(t *testing.T) {
	checkScenario(t, "all-limited")
}
