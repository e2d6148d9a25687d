// Package executor admits attempts to the upstream beside the node. A request that finds no free
// slot is bound late: it waits at one home node, and whichever sibling frees a slot first asks the
// home for work (Ousterhout, Wendell, Zaharia and Stoica: Sparrow, 2013). The home alone binds, so
// a request is bound once.
package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/limiter"
	"github.com/marigoldrelay/marigoldrelay/internal/meter"
	"github.com/marigoldrelay/marigoldrelay/internal/quarantiner"
	"github.com/marigoldrelay/marigoldrelay/internal/recorder"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/scheduler"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	grantTimeout    = 50 * time.Millisecond
	maxBindings     = 3
	maxFailureRate  = 0.2
	reservationCost = 600 // Bytes of a reservation, the pull and its answer.
	sweepInterval   = 50 * time.Millisecond
)

// Sender takes attempts to other nodes.
type Sender interface {
	Send(ctx context.Context, to gossiper.Member, a carrier.Attempt, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) carrier.Outcome
}

// Siblings knows the other nodes of a service.
type Siblings interface {
	HandOn(service string, exclude []string) (gossiper.Member, bool)
	Member(name string) (gossiper.Member, bool)
	Reservation(service string, exclude []string) (gossiper.Member, bool)
}

// Links sends the messages of late binding and of crash reports.
type Links interface {
	// Pull asks home for a request that can run in the slot held under grant.
	Pull(ctx context.Context, home gossiper.Member, request PullRequest) (PullReply, error)
	// ReportCrash tells the other nodes of a service, and returns when they have heard or a short
	// time has passed.
	ReportCrash(ctx context.Context, crash quarantiner.Crash)
	// ReportInnocent tells the other nodes of a service.
	ReportInnocent(ctx context.Context, acquittal quarantiner.Acquittal)
	// TellLoad tells entry nodes what the upstream can take at the moment.
	TellLoad(entries []string, load carrier.Load)
	// Reserve places a reservation with a sibling.
	Reserve(ctx context.Context, to gossiper.Member, request ReserveRequest) error
}

// Errors of Upstream.Do beside those of package forwarder: the upstream states that it has not run the
// request.
var (
	// ErrMisdirected is returned where another instance has the upstream's address.
	ErrMisdirected = merry.Sentinel("another instance has the address")
	// ErrShed is returned where the upstream has no room.
	ErrShed = merry.Sentinel("the upstream has shed the request")
)

// Upstream runs requests at the upstream beside the node.
type Upstream interface {
	// Do sends the request once and leaves the answer in resp. The error wraps one of package
	// forwarder's, ErrMisdirected or ErrShed.
	Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error
	// IsDown reports, after a lost connection, whether the upstream's process is gone.
	IsDown(ctx context.Context, instance string) bool
}

// Execution is an attempt with its request, the place for its answer and its limits.
type Execution struct {
	Attempt  carrier.Attempt
	Deadline time.Time
	Request  *fasthttp.Request
	Response *fasthttp.Response

	// began is when the caller's request came to its entry node, in this node's clock.
	began time.Time
}

// usefulUntil returns until when a start leads to an answer in time, for an attempt that arrived at the
// given time; zero where that is not known.
func (x *Execution) usefulUntil(arrived time.Time) time.Time {
	if x.Attempt.Useful == 0 {
		return time.Time{}
	}
	return arrived.Add(x.Attempt.Useful)
}

// Config holds the dependencies of an Executor.
type Config struct {
	// Attempted is told of each attempt that has ended here; nil tells nobody.
	Attempted func(x *Execution, outcome *carrier.Outcome, seen Seen)
	Bytes     *budgeter.Bytes
	Clock     timekeeper.Clock
	Links     Links
	Meter     *meter.Meter
	Name      string
	// OnDown is told that the upstream's process is gone.
	OnDown      func(instance string)
	Quarantiner *quarantiner.Quarantiner
	Recorder    *recorder.Recorder
	// Repeats bounds what the upstream gets of repeats.
	Repeats  *budgeter.Repeats
	Sender   Sender
	Siblings Siblings
	// Stamp marks a request with the context that the upstream passes on to calls of its own.
	Stamp    func(a *carrier.Attempt, req *fasthttp.Request, instance string, deadline time.Time)
	Upstream Upstream
}

// Executor admits attempts and runs them. It is safe for concurrent use.
type Executor struct {
	Config

	document atomic.Pointer[validator.Document]
	draining atomic.Bool
	proven   *quarantiner.Proven

	mu           sync.Mutex
	announcement announcer.Announcement
	crash        *crashReport
	grants       map[uint64]*scheduler.Waiter
	inFlight     map[*Execution]quarantiner.Fingerprint
	lastGrant    uint64
	limit        *limiter.Limiter
	load         loadReport
	notices      notices
	schedule     *scheduler.Scheduler
	spent        map[string]time.Time
}

// New returns an executor without an upstream.
func New(config Config) *Executor {
	return &Executor{
		Config:       config,
		announcement: announcer.Announcement{State: announcer.StateGone},
		grants:       make(map[uint64]*scheduler.Waiter),
		inFlight:     make(map[*Execution]quarantiner.Fingerprint),
		limit:        limiter.New(1),
		proven:       quarantiner.NewProven(),
		schedule:     scheduler.New(0, scheduler.Config{}),
		spent:        make(map[string]time.Time),
	}
}

// Configure puts a document in force.
func (e *Executor) Configure(document *validator.Document) {
	e.document.Store(document)
	config := scheduler.Config{Weights: make(map[string]float64)}
	for _, rank := range document.Ranks {
		config.Ranks = append(config.Ranks, scheduler.Rank{
			GuaranteedShare: rank.GuaranteedShare,
			TargetWait:      rank.TargetWait.Std(),
		})
	}
	for _, neighbour := range document.Neighbours {
		config.Weights[neighbour.Name] = neighbour.Weight
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.schedule.Configure(config)
}

// Announced takes the newest announcement of the upstream.
func (e *Executor) Announced(a announcer.Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining.Load() {
		return
	}
	old := e.announcement
	e.announcement = a
	if a.Instance != old.Instance {
		e.load = loadReport{}
	}
	if a.Service != old.Service {
		e.schedule.Flush(refuser.New(refuser.ReasonNoUpstream, "the upstream beside the node was replaced"))
		e.limit = limiter.New(1)
		e.Repeats.Restart()
	}
	e.limit.SetSlots(max(1, a.Slots))
	if a.Instance != old.Instance || (a.State == announcer.StateReady && old.State != announcer.StateReady) {
		e.limit.Restart()
	}
	e.applyLimit()
}

// applyLimit gives the scheduler as many slots as the upstream may use now.
func (e *Executor) applyLimit() {
	if e.announcement.State == announcer.StateReady {
		e.schedule.SetSlots(e.Clock.Now(), e.limit.Limit())
		return
	}
	e.schedule.SetSlots(e.Clock.Now(), 0)
	e.schedule.Flush(refuser.New(refuser.ReasonDraining, "the server is leaving"))
}

// Drain stops the admission of new attempts and refuses those that wait. Running ones finish.
func (e *Executor) Drain() {
	e.draining.Store(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announcement.State = announcer.StateDraining
	e.applyLimit()
}

// Running returns the number of requests that run at the upstream.
func (e *Executor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.inFlight)
}

// Sweep refuses queued requests whose deadline has passed. Its owner calls it every SweepInterval.
func (e *Executor) Sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	e.schedule.Sweep(now)
	for chain, expires := range e.spent {
		if now.After(expires) {
			delete(e.spent, chain)
		}
	}
}

// SweepInterval is how often Sweep is called.
const SweepInterval = sweepInterval

// Status is a snapshot of the executor.
type Status struct {
	Announcement announcer.Announcement `json:"upstream"`
	FailureRate  float64                `json:"failure-rate"`
	Limit        int                    `json:"limit"`
	Load         carrier.Load           `json:"load"`
}

// Status returns a snapshot.
func (e *Executor) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Status{
		Announcement: e.announcement, FailureRate: e.limit.FailureRate(), Limit: e.limit.Limit(), Load: e.currentLoad(),
	}
}

// AccountStatus is the slot-time that one rank and neighbour have taken at the upstream.
type AccountStatus struct {
	Neighbour string        `json:"neighbour"`
	Rank      string        `json:"rank"`
	Taken     time.Duration `json:"taken"`
}

// Accounts returns the slot-time taken by rank and neighbour.
func (e *Executor) Accounts() []AccountStatus {
	document := e.document.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	var accounts []AccountStatus
	for _, account := range e.schedule.Accounts() {
		status := AccountStatus{Neighbour: account.Class.Neighbour, Taken: account.Taken}
		if document != nil && account.Class.Rank < len(document.Ranks) {
			status.Rank = document.Ranks[account.Class.Rank].Name
		}
		accounts = append(accounts, status)
	}
	return accounts
}

func (e *Executor) currentLoad() carrier.Load {
	return carrier.Load{
		Best:     e.limit.Best(),
		Latency:  e.limit.Latency(),
		Queued:   e.schedule.Queued(),
		Running:  e.schedule.Running(),
		Slots:    e.schedule.Slots(),
		Slowdown: e.load.slowdown,
	}
}

// Execute runs the attempt here, or on a sibling, or refuses it. The answer is left in the
// execution's response.
func (e *Executor) Execute(ctx context.Context, x *Execution) carrier.Outcome {
	started := e.Clock.Now()
	x.began = started.Add(-x.Attempt.Age)
	if refusal := e.preclude(x); refusal != nil {
		outcome := e.refused(refusal)
		e.tellAttempted(x, &outcome, started)
		return outcome
	}
	id := x.Attempt.ID()
	if err := e.Recorder.Begin(id); err != nil {
		e.Meter.Event("late_attempts")
		return e.refused(refuser.Unknown(refuser.ReasonOutcomeUnknown, err.Error()))
	}
	e.notePeer(x)
	outcome := e.admit(ctx, x)
	e.mu.Lock()
	outcome.Load = e.currentLoad()
	if _, ok := e.spent[x.Attempt.Call]; ok {
		outcome.Spent = true
	}
	e.mu.Unlock()
	e.record(id, x, outcome)
	e.tellAttempted(x, &outcome, started)
	return outcome
}

// Seen is what the executor knew when an attempt ended.
type Seen struct {
	Instance string
	LoadAge  time.Duration
	Queued   int
	Running  int
	Slowdown float64
	// Took is the time since the attempt arrived.
	Took time.Duration
}

func (e *Executor) tellAttempted(x *Execution, outcome *carrier.Outcome, started time.Time) {
	if e.Attempted == nil {
		return
	}
	now := e.Clock.Now()
	e.mu.Lock()
	seen := Seen{
		Instance: e.announcement.Instance, LoadAge: now.Sub(e.load.at), Queued: e.schedule.Queued(),
		Running: e.schedule.Running(), Slowdown: e.load.slowdown, Took: now.Sub(started),
	}
	e.mu.Unlock()
	e.Attempted(x, outcome, seen)
}

// record keeps the outcome of a non-idempotent attempt for a sender that lost its connection.
func (e *Executor) record(id recorder.ID, x *Execution, outcome carrier.Outcome) {
	if x.Attempt.Idempotent {
		e.Recorder.Forget(id)
		return
	}
	sealed := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(sealed)
	x.Response.CopyTo(sealed)
	carrier.Seal(&x.Attempt, sealed, outcome)
	e.Recorder.Finish(id, carrier.Pack(sealed))
}

func (e *Executor) refused(refusal *refuser.Refusal) carrier.Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	return carrier.Outcome{Load: e.currentLoad(), Refusal: refusal}
}

// preclude returns why the attempt can't even be queued here, or nil.
func (e *Executor) preclude(x *Execution) *refuser.Refusal {
	if refusal := e.quarantine(x); refusal != nil {
		return refusal
	}
	if refusal := e.overRepeats(x); refusal != nil {
		return refusal
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if x.Attempt.Grant != 0 {
		return nil
	}
	state := e.announcement.State
	if e.draining.Load() || state == announcer.StateDraining {
		return refuser.New(refuser.ReasonDraining, "the server is leaving")
	}
	if state != announcer.StateReady || e.announcement.Service != x.Attempt.Service {
		return refuser.New(refuser.ReasonNoUpstream, "no ready upstream of the service at this node")
	}
	return nil
}

// quarantine refuses requests that have crashed upstreams.
func (e *Executor) quarantine(x *Execution) *refuser.Refusal {
	if e.Quarantiner.IsEmpty() {
		return nil
	}
	left := e.Quarantiner.Barred(e.fingerprint(x))
	if left <= 0 {
		return nil
	}
	return refuser.Later(refuser.ReasonPoison, left, "requests like this one have crashed upstreams")
}

func (e *Executor) fingerprint(x *Execution) quarantiner.Fingerprint {
	req := x.Request
	return quarantiner.FingerprintOf(x.Attempt.Service, req.Header.Method(), req.Header.RequestURI(), req.Body())
}

func (e *Executor) class(x *Execution) scheduler.Class {
	class := scheduler.Class{Neighbour: x.Attempt.Neighbour}
	if document := e.document.Load(); document != nil {
		class.Rank, _ = document.RankIndex(x.Attempt.Rank)
	}
	return class
}

// admit finds a slot for the attempt.
func (e *Executor) admit(ctx context.Context, x *Execution) carrier.Outcome {
	if x.Attempt.Grant != 0 {
		return e.runGranted(ctx, x)
	}
	now := e.Clock.Now()
	w := scheduler.NewWaiter(now, e.class(x), x.Deadline)
	w.Useful = x.usefulUntil(now)
	e.mu.Lock()
	if x.Attempt.Optional && !e.isPrompt(x.Attempt.Relaxed) {
		e.mu.Unlock()
		e.Meter.Event("handed_back")
		return carrier.Outcome{Refusal: refuser.Later(refuser.ReasonBusy, sweepInterval, "the upstream is full or slow and the sender has another")}
	}
	free := e.schedule.TryRun(w)
	overloaded := !free && e.schedule.ExpectedWait(w.Class) > x.Deadline.Sub(now)
	e.tell()
	e.mu.Unlock()
	if free {
		return e.run(ctx, x, w)
	}
	if !x.Attempt.HandedOn && !overloaded {
		if outcome, ok := e.handOn(ctx, x); ok {
			return outcome
		}
	}
	return e.wait(ctx, x, now)
}

// handOn sends the attempt to a random sibling. It reports false when the sibling has not run it.
func (e *Executor) handOn(ctx context.Context, x *Execution) (carrier.Outcome, bool) {
	sibling, ok := e.Siblings.HandOn(x.Attempt.Service, []string{e.Name})
	if !ok {
		return carrier.Outcome{}, false
	}
	e.Meter.Event("hand_ons")
	a := x.Attempt
	a.HandedOn = true
	outcome := e.Sender.Send(ctx, sibling, a, x.Request, x.Response, x.Deadline)
	if !outcome.IsNotRun() || outcome.Reached() {
		return outcome, true
	}
	// A sibling that is full has judged the wait; one that can't be reached or leaves has not.
	switch outcome.Refusal.Reason {
	case refuser.ReasonQueueFull, refuser.ReasonDeadline, refuser.ReasonPoison:
		return outcome, true
	default:
		return carrier.Outcome{}, false
	}
}
