// Package executor admits attempts to the upstream beside the node and runs them there.
//
// A request that finds no free slot is bound late: it is queued at one node, its home, and the first
// sibling that frees a slot pulls it from there (Ousterhout, Wendell, Zaharia and Stoica: Sparrow,
// 2013). Only the home binds requests to slots, so each request is bound once.
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
	"github.com/marigoldrelay/marigoldrelay/internal/pacer"
	"github.com/marigoldrelay/marigoldrelay/internal/quarantiner"
	"github.com/marigoldrelay/marigoldrelay/internal/recorder"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/router"
	"github.com/marigoldrelay/marigoldrelay/internal/scheduler"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	// grantTimeout is the timeout of a pull, and how long a slot is then held for the request.
	grantTimeout = 50 * time.Millisecond
	// maxBindings is how many times a request is queued at its home if siblings don't keep its slot.
	maxBindings = 3
	// maxFailureRate is the failure rate above which reservations are declined.
	maxFailureRate   = 0.2
	reservationBytes = 600 // Size of a reservation, the pull and its reply together.
	// sweepInterval is also the retry-after time of this package's refusals for lack of capacity.
	sweepInterval = 50 * time.Millisecond
)

// Sender sends attempts to other nodes.
type Sender interface {
	Send(ctx context.Context, to gossiper.Member, a carrier.Attempt, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) carrier.Outcome
}

// Siblings selects and looks up the other nodes of a service. Nodes named in exclude are not selected;
// the result is false where there is no such node.
type Siblings interface {
	// PickForHandOff selects a node for an attempt that found no free slot here.
	PickForHandOff(need router.Need, exclude []string) (gossiper.Member, bool)
	// Member returns the node with the name.
	Member(name string) (gossiper.Member, bool)
	// PickForReservation selects a node to place a reservation with.
	PickForReservation(need router.Need, exclude []string) (gossiper.Member, bool)
}

// Links sends the messages of late binding, crash reports and load notices to other nodes.
type Links interface {
	// Pull asks home for a request to run in the slot that this node holds under the grant.
	Pull(ctx context.Context, home gossiper.Member, request PullRequest) (PullReply, error)
	// ReportCrash reports a crash to the other nodes of the service. It returns when they have replied
	// or a short timeout has passed.
	ReportCrash(ctx context.Context, crash quarantiner.Crash)
	// ReportCleared reports to the other nodes of the service that a request has run without a crash.
	ReportCleared(ctx context.Context, cleared quarantiner.ClearedSuspect)
	// SendLoad sends the upstream's current load to the entry nodes.
	SendLoad(entries []string, load carrier.Load)
	// Reserve places a reservation with a sibling.
	Reserve(ctx context.Context, to gossiper.Member, request ReserveRequest) error
}

// Errors of Upstream.Do besides those of package forwarder. With both, the upstream states that it has
// not run the request.
var (
	// ErrMisdirected means that another instance has taken over the upstream's address.
	ErrMisdirected = merry.Sentinel("another instance has the address")
	// ErrShed means that the upstream has no capacity for the request.
	ErrShed = merry.Sentinel("the upstream has shed the request")
)

// Upstream sends requests to the upstream beside the node.
type Upstream interface {
	// Do sends the request once and stores the answer in resp. The error wraps an error of package
	// forwarder, ErrMisdirected or ErrShed.
	Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error
	// IsDown reports whether the process is gone. It is called after a connection was lost.
	IsDown(ctx context.Context, process announcer.Process) bool
}

// Execution is an attempt to run, with its request, the response to fill and its deadline.
type Execution struct {
	Attempt  carrier.Attempt
	Deadline time.Time
	Request  *fasthttp.Request
	Response *fasthttp.Response

	// requestArrived is when the caller's request arrived at its entry node, by this node's clock.
	requestArrived time.Time
}

// siblingNeed returns what the attempt requires of another node that runs it.
func (x *Execution) siblingNeed() router.Need {
	return router.Need{AllowedRegions: x.Attempt.AllowedRegions, Service: x.Attempt.Service}
}

// newWaiter returns a waiter for the attempt, which arrived at the given time.
func (e *Executor) newWaiter(x *Execution, arrived time.Time) *scheduler.Waiter {
	w := scheduler.NewWaiter(arrived, e.class(x), x.Deadline)
	w.AllowedRegions = x.Attempt.AllowedRegions
	w.UsefulUntil = x.usefulUntil(arrived)
	return w
}

// usefulUntil returns the latest start time at which the answer still comes in time, for an attempt that
// arrived at the given time; zero where it is not known.
func (x *Execution) usefulUntil(arrived time.Time) time.Time {
	if x.Attempt.UsefulWait == 0 {
		return time.Time{}
	}
	return arrived.Add(x.Attempt.UsefulWait)
}

// Config holds the dependencies of an Executor.
type Config struct {
	// OnAttemptEnd is called for each attempt that has ended at this node, except one that the recorder rejects
	// as a duplicate or barred; it can be nil.
	OnAttemptEnd func(x *Execution, outcome *carrier.Outcome, snapshot UpstreamSnapshot)
	// Bytes is the byte budget for reservations.
	Bytes *budgeter.Bytes
	Clock timekeeper.Clock
	// LimitSettleTime is how long after the upstream has first named a rate limit it must be kept.
	LimitSettleTime time.Duration
	Links           Links
	// LoadProber asks the upstream for its load before a request starts, if the last load report is too old.
	LoadProber LoadProber
	Meter      *meter.Meter
	Name       string
	// OnConditions is called when the conditions in the upstream's responses have changed; it can be nil.
	OnConditions func(named NamedConditions)
	// OnCrash is called with each crash of the upstream before it is reported; it can be nil.
	OnCrash func(crash *quarantiner.Crash)
	// OnMalformedAnswer is called when the process of the upstream has answered an attempt with bytes that are no response,
	// with the error that tells which part of them is malformed; it can be nil.
	OnMalformedAnswer func(x *Execution, process announcer.Process, err error)
	// OnUpstreamDown is called with the upstream's process when it is gone.
	OnUpstreamDown func(process announcer.Process)
	// OnUpstreamLeaving is called with the upstream's process, which an entry node may have told, when it names itself
	// leaving. It can be called repeatedly.
	OnUpstreamLeaving func(process announcer.Process)
	// ProcessName identifies the process of this node among all nodes and starts.
	ProcessName string
	Quarantiner *quarantiner.Quarantiner
	Recorder    *recorder.Recorder
	// Repeats limits how many repeated requests reach the upstream.
	Repeats  *budgeter.Repeats
	Sender   Sender
	Siblings Siblings
	// AddContext adds the context to a request that the upstream propagates to its own calls.
	AddContext func(a *carrier.Attempt, req *fasthttp.Request, instance string, deadline time.Time)
	Upstream   Upstream
}

// Executor admits attempts, queues them and runs them at the upstream. It is safe for concurrent use.
type Executor struct {
	Config

	document atomic.Pointer[validator.Document]
	draining atomic.Bool
	// stopped is cancelled by stop when running requests are to end.
	stopped context.Context
	stop    context.CancelFunc

	mu           sync.Mutex
	announcement announcer.Announcement
	// cold is what is known of the time for which the current process of the upstream is cold.
	cold coldState
	// conditions are those that the current process of the upstream has named.
	conditions upstreamConditions
	// evacuated is true while the data centre of the node is evacuated.
	evacuated bool
	// ended holds the attempts that have just ended at the upstream.
	ended      endedAttempts
	grants     map[uint64]*scheduler.Waiter
	inFlight   map[*Execution]runningRequest
	lastGrant  uint64
	limit      *limiter.Limiter
	load       loadReport
	notices    loadNotices
	schedule   *scheduler.Scheduler
	retrySpent map[string]time.Time
	// upstreamRun is the current process of the upstream.
	upstreamRun *upstreamRun
}

// New returns an executor whose upstream is gone until HandleAnnouncement is called.
func New(config Config) *Executor {
	stopped, stop := context.WithCancel(context.Background())
	gone := announcer.Announcement{State: announcer.StateGone}
	return &Executor{
		stopped:      stopped,
		stop:         stop,
		Config:       config,
		announcement: gone,
		grants:       make(map[uint64]*scheduler.Waiter),
		inFlight:     make(map[*Execution]runningRequest),
		limit:        limiter.New(1),
		schedule:     scheduler.New(0, scheduler.Config{}, pacer.NewPair(config.Clock.Now(), config.LimitSettleTime)),
		retrySpent:   make(map[string]time.Time),
		upstreamRun:  newUpstreamRun(0, gone),
	}
}

// Configure applies the ranks and the weights of neighbours and workspaces of a configuration document.
func (e *Executor) Configure(document *validator.Document) {
	e.document.Store(document)
	config := scheduler.Config{Weights: make(map[string]float64), WorkspaceWeights: make(map[string]float64)}
	for _, rank := range document.Ranks {
		config.Ranks = append(config.Ranks, scheduler.Rank{
			GuaranteedShare: rank.GuaranteedShare,
			TargetWait:      rank.TargetWait.Std(),
		})
	}
	for _, neighbour := range document.Neighbours {
		config.Weights[neighbour.Name] = neighbour.Weight
	}
	for i := range document.Workspaces {
		workspace := &document.Workspaces[i]
		config.WorkspaceWeights[workspace.Name] = workspace.ShareWeight()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.schedule.Configure(config)
	e.applyCold(e.Clock.Now())
}

// HandleAnnouncement applies the newest announcement of the upstream. A new service refuses all queued requests and
// resets the limit and the repeat budget; a new process resets the load report and the conditions. A process that is new
// or becomes ready restarts the limiter. Announcements are ignored after Drain.
func (e *Executor) HandleAnnouncement(a announcer.Announcement) {
	if missed := e.applyAnnouncement(a); missed != nil {
		go e.publishCrash(context.Background(), missed)
	}
}

// applyAnnouncement returns the crash of a process that was noticed only by its successor, or nil.
func (e *Executor) applyAnnouncement(a announcer.Announcement) (missed *quarantiner.Crash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining.Load() {
		return nil
	}
	old := e.announcement
	isNew, missed := e.trackRun(a, e.isNewProcess(a))
	e.announcement = a
	if isNew {
		e.load = loadReport{}
		e.resetConditions()
		e.cold = coldState{unknownUntil: e.Clock.Now().Add(maxColdDoubt)}
	}
	e.applyCold(e.Clock.Now())
	if a.Service != old.Service {
		e.schedule.Flush(refuser.New(refuser.ReasonNoUpstream, "the upstream beside the node was replaced"))
		e.limit = limiter.New(1)
		e.Repeats.Restart()
	}
	e.limit.SetSlots(max(1, a.Slots))
	if isNew || (a.State == announcer.StateReady && old.State != announcer.StateReady) {
		e.limit.Restart()
	}
	e.applyLimit()
	return missed
}

// applyLimit sets the scheduler's slots to the current limit. An upstream that is not ready, leaves or is evacuated gets no
// slots, and the queued requests are refused. It is called with mu held.
func (e *Executor) applyLimit() {
	if e.evacuated {
		e.schedule.SetSlots(e.Clock.Now(), 0)
		e.schedule.Flush(evacuatedRefusal())
		return
	}
	if e.announcement.State == announcer.StateReady && !e.conditions.leaving {
		e.schedule.SetSlots(e.Clock.Now(), e.limit.Limit())
		return
	}
	e.schedule.SetSlots(e.Clock.Now(), 0)
	e.schedule.Flush(refuser.New(refuser.ReasonDraining, "the server is leaving"))
}

// Drain stops admitting attempts and refuses the queued ones. Running attempts finish.
func (e *Executor) Drain() {
	e.draining.Store(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announcement.State = announcer.StateDraining
	e.applyLimit()
}

// Stop cancels the non-idempotent requests that are running at the upstream. The others end with their callers.
func (e *Executor) Stop() {
	e.stop()
}

// Running returns the number of requests that are running at the upstream.
func (e *Executor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.inFlight)
}

// Sweep refuses queued requests whose deadline has passed or whose answer would come too late, and drops
// expired records of failed nested calls. The owner calls it every SweepInterval.
func (e *Executor) Sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	e.updateSlowPeriod(now)
	e.applyCold(now)
	e.schedule.Sweep(now)
	for call, expires := range e.retrySpent {
		if now.After(expires) {
			delete(e.retrySpent, call)
		}
	}
}

// SweepInterval is the interval at which the owner calls Sweep.
const SweepInterval = sweepInterval

// Execute runs the attempt here or at a sibling, or refuses it. It stores the answer in the execution's
// response.
func (e *Executor) Execute(ctx context.Context, x *Execution) carrier.Outcome {
	started := e.Clock.Now()
	x.requestArrived = started.Add(-x.Attempt.Age)
	e.adoptConditions(x.Attempt.Conditions)
	if refusal := e.precheck(x); refusal != nil {
		outcome := e.refusedOutcome(refusal)
		outcome.Condition = e.conditionFor(&x.Attempt)
		e.notifyAttemptEnd(x, &outcome, started)
		return outcome
	}
	id := x.Attempt.ID()
	if err := e.Recorder.Begin(id); err != nil {
		e.Meter.Event("late_attempts")
		return e.refusedOutcome(refuser.NewPossiblyRun(refuser.ReasonOutcomeUnknown, err.Error()))
	}
	e.recordPeer(x)
	outcome := e.admit(ctx, x)
	if outcome.Condition == nil {
		// An outcome from another node can have the condition of that node's upstream.
		outcome.Condition = e.conditionFor(&x.Attempt)
	}
	e.mu.Lock()
	outcome.Load = e.currentLoad()
	if _, ok := e.retrySpent[x.Attempt.Call]; ok {
		outcome.RetrySpent = true
	}
	e.mu.Unlock()
	e.recordOutcome(id, x, outcome)
	e.notifyAttemptEnd(x, &outcome, started)
	return outcome
}

// recordOutcome stores the outcome of a non-idempotent attempt for a sender that lost its connection. It drops
// the record of an idempotent one.
func (e *Executor) recordOutcome(id recorder.ID, x *Execution, outcome carrier.Outcome) {
	if x.Attempt.Idempotent {
		e.Recorder.Forget(id)
		return
	}
	stored := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(stored)
	x.Response.Header.CopyTo(&stored.Header)
	stored.SetBodyRaw(x.Response.Body())
	stored.SkipBody = x.Response.SkipBody
	carrier.WriteOutcome(&x.Attempt, stored, outcome)
	e.Recorder.Finish(id, carrier.EncodeResponse(stored))
}

func (e *Executor) refusedOutcome(refusal *refuser.Refusal) carrier.Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	return carrier.Outcome{Load: e.currentLoad(), Refusal: refusal}
}
