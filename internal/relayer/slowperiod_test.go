package relayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// slowPeriodScenario describes one deployment of a service whose VMs turn slow for short periods. The VMs' periods have
// the same length and begin at different times.
type slowPeriodScenario struct {
	Nodes        int                `json:"nodes"`
	Slowdown     float64            `json:"slowdown"`
	SlowFraction float64            `json:"slow-fraction"`
	Period       validator.Duration `json:"period"`
	Length       validator.Duration `json:"length"`
	Kinds        []slowPeriodKind   `json:"kinds"`
}

// slowPeriodKind is a kind of request of the scenario. At least the fraction MinInTime of its requests must be answered
// within Target.
type slowPeriodKind struct {
	Name        string             `json:"name"`
	RatePerNode float64            `json:"rate-per-node"`
	Work        validator.Duration `json:"work"`
	Limit       validator.Duration `json:"limit"`
	Target      validator.Duration `json:"target"`
	Idempotent  bool               `json:"idempotent"`
	MinInTime   float64            `json:"min-in-time"`
}

// slowPeriodRun runs a scenario and counts the requests by kind.
type slowPeriodRun struct {
	*virtualDeployment
	scenario slowPeriodScenario
	random   *lockedRand
	started  time.Time

	mu     sync.Mutex
	slow   map[string][]bool
	inTime map[string]int
	sent   map[string]int
	runs   int
}

// TestSlowPeriods covers VMs that are 7 times slower for half a second, a quarter of the time. Work that starts in such
// a period is slow to its end, so that a request must not start there.
func TestSlowPeriods(t *testing.T) {
	files, err := filepath.Glob("testdata/slow-periods/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			r := &slowPeriodRun{
				random: &lockedRand{random: rand.New(rand.NewPCG(1, 1))},
				slow:   make(map[string][]bool), inTime: make(map[string]int), sent: make(map[string]int),
			}
			readScenario(t, file, &r.scenario)
			synctest.Test(t, r.run)
			r.check(t)
		})
	}
}

func (r *slowPeriodRun) run(t *testing.T) {
	r.virtualDeployment = newVirtualDeployment(t)
	r.upstream, r.load = r.work, r.currentLoad
	periods := int(r.scenario.Length.Std()/r.scenario.Period.Std()) + 10
	for i := range r.scenario.Nodes {
		name := fmt.Sprintf("b%d", i)
		for range periods {
			r.slow[name] = append(r.slow[name], r.random.chance(r.scenario.SlowFraction))
		}
		r.add(name, "booking")
	}
	r.makeKnown(r.names, r.names)
	r.started = time.Now()
	ctx, stop := context.WithCancel(t.Context())
	for _, name := range r.names {
		go r.sweep(ctx, name)
		for _, kind := range r.scenario.Kinds {
			go r.sendRequests(ctx, name, &kind)
		}
	}
	time.Sleep(r.scenario.Length.Std())
	stop()
	time.Sleep(2 * time.Second)
	synctest.Wait()
}

// sweep does the node's periodic work: it reports the load and sweeps the queue.
func (r *slowPeriodRun) sweep(ctx context.Context, name string) {
	v := r.member(name)
	for ctx.Err() == nil {
		if v.executor.LoadState().Slow {
			v.ProbeLoad(ctx)
		}
		v.executor.Sweep()
		time.Sleep(25 * time.Millisecond)
	}
}

func (r *slowPeriodRun) sendRequests(ctx context.Context, entry string, kind *slowPeriodKind) {
	for number := 0; ; number++ {
		time.Sleep(r.random.exponential(time.Duration(float64(time.Second) / kind.RatePerNode)))
		if ctx.Err() != nil {
			return
		}
		go r.send(entry, fmt.Sprintf("%s-%s-%d", kind.Name, entry, number), kind)
	}
}

func (r *slowPeriodRun) send(entry, id string, kind *slowPeriodKind) {
	began := time.Now()
	status := r.member(entry).request(context.Background(), id, kind.Name, kind.Idempotent, kind.Limit.Std())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[kind.Name]++
	if status == fasthttp.StatusOK && time.Since(began) <= kind.Target.Std() {
		r.inTime[kind.Name]++
	}
}

// slowdownAt returns the current slowdown of the node's VM. The nodes' periods are shifted against each other.
func (r *slowPeriodRun) slowdownAt(v *virtualNode) float64 {
	offset := time.Duration(len(v.name)*37+int(v.name[len(v.name)-1])*61) * time.Millisecond
	period := int((time.Since(r.started) + offset) / r.scenario.Period.Std())
	if r.slow[v.name][period%len(r.slow[v.name])] {
		return r.scenario.Slowdown
	}
	return 1
}

func (r *slowPeriodRun) currentLoad(v *virtualNode) interpreter.Load {
	return interpreter.Load{Slots: virtualSlots, Slowdown: r.slowdownAt(v)}
}

// work runs a request at the node's upstream. How long that takes depends on the VM's speed at its start.
func (r *slowPeriodRun) work(ctx context.Context, at *virtualNode, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(req.URI().Path()), "/"), "/")
	runTime := time.Duration(0)
	for _, kind := range r.scenario.Kinds {
		if kind.Name == name {
			runTime = time.Duration(float64(kind.Work) * r.slowdownAt(at))
		}
	}
	r.mu.Lock()
	r.runs++
	r.mu.Unlock()
	if err := simulateWork(ctx, runTime, deadline); err != nil {
		return err
	}
	at.executor.UpdateLoad(r.currentLoad(at))
	resp.SetStatusCode(fasthttp.StatusOK)
	return nil
}

func (r *slowPeriodRun) check(t *testing.T) {
	t.Helper()
	total := 0
	for _, kind := range r.scenario.Kinds {
		total += r.sent[kind.Name]
		inTime := float64(r.inTime[kind.Name]) / float64(r.sent[kind.Name])
		t.Logf("%s: %d sent, %.4f in time", kind.Name, r.sent[kind.Name], inTime)
		if inTime < kind.MinInTime {
			t.Errorf("%s: %.4f in time, want at least %.4f", kind.Name, inTime, kind.MinInTime)
		}
	}
	t.Logf("%.3f runs for each request", float64(r.runs)/float64(total))
}
