package executor

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/meter"
	"github.com/marigoldrelay/marigoldrelay/internal/quarantiner"
	"github.com/marigoldrelay/marigoldrelay/internal/recorder"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/router"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	testService = "entries"
	testSlots   = 12
	// entries is how many entry nodes share what there is to learn.
	entries = 40
)

// group is the executors of one service, joined by fakes that take time but no network.
type group struct {
	delay   time.Duration
	entries []*router.Router
	demand  func(id string) time.Duration
	members []*member
	ran     map[string]int
	mu      sync.Mutex
	random  *rand.Rand
	// binding is false for baselines that queue where a request arrives.
	binding bool
	// lose reports whether a message between nodes is lost.
	lose func(message string) bool
}

type member struct {
	*Executor
	down     atomic.Bool
	factor   atomic.Int64
	failFast atomic.Bool
	failed   atomic.Int64
	group    *group
	name     string
	// router is what the node knows as an entry for others.
	router   *router.Router
	sequence uint64
}

func newGroup(t testing.TB, count int, binding bool, seed uint64, rate float64, document *validator.Document) *group {
	t.Helper()
	g := &group{
		delay:   100 * time.Microsecond,
		random:  rand.New(rand.NewPCG(seed, seed)),
		ran:     make(map[string]int),
		binding: binding,
		lose:    func(string) bool { return false },
	}
	g.demand = func(id string) time.Duration { return exponential(seed, id, 10*time.Millisecond) }
	for i := range count {
		m := &member{group: g, name: "n" + strconv.Itoa(i)}
		m.factor.Store(1)
		clock := timekeeper.System{}
		m.Executor = New(Config{
			Bytes:       budgeter.NewBytes(clock, rate),
			Clock:       clock,
			Links:       m,
			Meter:       meter.New(),
			Name:        m.name,
			OnDown:      func(string) {},
			Quarantiner: quarantiner.New(clock, nil),
			Recorder:    recorder.New(clock),
			Repeats:     budgeter.NewRepeats(clock, func() budgeter.RepeatLimits { return budgeter.RepeatLimits{Window: time.Second} }),
			Sender:      m,
			Siblings:    m,
			Stamp:       func(*carrier.Attempt, *fasthttp.Request, string, time.Time) {},
			Upstream:    m,
		})
		m.Configure(document)
		m.Announced(announcer.Announcement{
			Address: "127.0.0.1:1", Instance: m.name, Service: testService, Slots: testSlots, State: announcer.StateReady,
		})
		g.members = append(g.members, m)
	}
	g.enter(router.Weighted{}, seed)
	for i, m := range g.members {
		m.router = g.entries[i]
	}
	return g
}

// enter replaces the entry nodes by new ones that pick by the policy.
func (g *group) enter(policy router.Policy, seed uint64) {
	g.entries = nil
	for i := range entries {
		r := router.New(timekeeper.System{}, rand.New(rand.NewPCG(seed, uint64(i))), policy, "", "")
		for _, m := range g.members {
			r.Update(record(m.name))
		}
		g.entries = append(g.entries, r)
	}
}

// exponential returns the same draw for the same id, so that runs of different policies see the
// same demands.
func exponential(seed uint64, id string, mean time.Duration) time.Duration {
	var mixed [32]byte
	binary.LittleEndian.PutUint64(mixed[:], seed)
	copy(mixed[8:], id)
	source := rand.New(rand.NewChaCha8(mixed))
	return time.Duration(source.ExpFloat64() * float64(mean))
}

func (g *group) pick() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.IntN(len(g.members))
}

func (g *group) byName(name string) *member {
	for _, m := range g.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// execution returns the next idempotent attempt for the member.
func (m *member) execution(id string, deadline time.Time) *Execution {
	req := &fasthttp.Request{}
	req.SetRequestURI("/" + id)
	req.Header.SetMethod(fasthttp.MethodPost)
	m.group.mu.Lock()
	m.sequence++
	a := carrier.Attempt{Call: id, Service: testService, Idempotent: true, Sender: "entry", Sequence: m.sequence}
	m.group.mu.Unlock()
	return &Execution{Attempt: a, Deadline: deadline, Request: req, Response: &fasthttp.Response{}}
}

// call runs one request at the member and returns its outcome.
func (m *member) call(id, rank, neighbour string, deadline time.Time) carrier.Outcome {
	x := m.execution(id, deadline)
	x.Attempt.Rank, x.Attempt.Neighbour = rank, neighbour
	outcome := m.Execute(context.Background(), x)
	if outcome.Refusal == nil && x.Response.StatusCode() == fasthttp.StatusServiceUnavailable {
		outcome.Refusal = refuser.Unknown(refuser.ReasonUpstreamFailed, "the upstream failed")
	}
	return outcome
}

// Send implements Sender.
func (m *member) Send(ctx context.Context, to gossiper.Member, a carrier.Attempt, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) carrier.Outcome {
	target := m.group.byName(to.Name)
	m.group.mu.Lock()
	m.sequence++
	a.Sender, a.Sequence = m.name, m.sequence
	m.group.mu.Unlock()
	time.Sleep(m.group.delay)
	if target.down.Load() || m.group.lose("send") {
		return carrier.Outcome{Refusal: notSent()}
	}
	outcome := target.Execute(ctx, &Execution{Attempt: a, Deadline: deadline, Request: req, Response: resp})
	time.Sleep(m.group.delay)
	return outcome
}

// Pull implements Links.
func (m *member) Pull(_ context.Context, home gossiper.Member, request PullRequest) (PullReply, error) {
	time.Sleep(m.group.delay)
	target := m.group.byName(home.Name)
	if target.down.Load() || m.group.lose("pull") {
		return PullReply{}, forwarder.ErrLost
	}
	reply := target.Executor.Pull(request)
	time.Sleep(m.group.delay)
	if m.group.lose("pull-reply") {
		return PullReply{}, forwarder.ErrLost
	}
	return reply, nil
}

// Reserve implements Links.
func (m *member) Reserve(_ context.Context, to gossiper.Member, request ReserveRequest) error {
	m.Bytes.Book(reservationCost)
	time.Sleep(m.group.delay)
	if target := m.group.byName(to.Name); !target.down.Load() && !m.group.lose("reserve") {
		target.Executor.Reserve(request)
	}
	return nil
}

// ReportCrash implements Links.
func (m *member) ReportCrash(_ context.Context, crash quarantiner.Crash) {
	for _, other := range m.group.members {
		if other != m && !other.down.Load() {
			other.Quarantiner.Report(crash)
		}
	}
}

// ReportInnocent implements Links.
func (m *member) ReportInnocent(_ context.Context, acquittal quarantiner.Acquittal) {
	for _, other := range m.group.members {
		other.Quarantiner.Clear(acquittal.Fingerprint)
	}
}

// TellLoad implements Links.
func (m *member) TellLoad([]string, carrier.Load) {}

// Member implements Siblings.
func (m *member) Member(name string) (gossiper.Member, bool) {
	return record(name), m.group.byName(name) != nil
}

func record(name string) gossiper.Member {
	return gossiper.Member{Name: name, Service: testService, Slots: testSlots, Upstream: announcer.StateReady}
}

// HandOn implements Siblings.
func (m *member) HandOn(service string, exclude []string) (gossiper.Member, bool) {
	if !m.group.binding {
		return gossiper.Member{}, false
	}
	return m.router.HandOn(service, exclude)
}

// Reservation implements Siblings.
func (m *member) Reservation(service string, exclude []string) (gossiper.Member, bool) {
	if !m.group.binding {
		return gossiper.Member{}, false
	}
	return m.router.Reservation(service, exclude)
}

// Do implements Upstream.
func (m *member) Do(_ context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	if m.down.Load() {
		return forwarder.ErrNotSent
	}
	if m.failFast.Load() {
		m.failed.Add(1)
		time.Sleep(100 * time.Microsecond)
		resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return nil
	}
	id := string(req.URI().Path()[1:])
	m.group.mu.Lock()
	m.group.ran[id]++
	m.group.mu.Unlock()
	taken := time.Duration(float64(m.group.demand(id)) * float64(m.factor.Load()))
	if left := time.Until(deadline); taken > left {
		time.Sleep(left)
		return forwarder.ErrTimeout
	}
	time.Sleep(taken)
	resp.SetStatusCode(fasthttp.StatusOK)
	return nil
}

// IsDown implements Upstream.
func (m *member) IsDown(context.Context, string) bool {
	return m.down.Load()
}

func (m *member) events(name string) uint64 {
	return m.Meter.EventCount(name)
}

func (g *group) sum(name string) float64 {
	total := uint64(0)
	for _, m := range g.members {
		total += m.events(name)
	}
	return float64(total)
}
