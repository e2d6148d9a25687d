// Package scheduler decides which request gets the next slot of one upstream. A slot is the capacity to
// run one request; the cost of a request is its slot-time, the time for which it occupies a slot. The
// scheduler accounts for the slot-time of each rank and neighbour. It uses no locks and starts no
// goroutines: the owner serialises the calls and passes the current time.
package scheduler

import (
	"math"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
	"github.com/marigoldrelay/marigoldrelay/internal/pacer"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

const (
	// costSmoothing is the weight of a new sample in the smoothed costs.
	costSmoothing = 0.1
	// creditWindow limits the credit and the debt of a rank, as a time of all slots.
	creditWindow = 200 * time.Millisecond
	// defaultCost is the initial value of the smoothed mean cost of all requests.
	defaultCost = 10 * time.Millisecond
	// defaultTargetWait is the target wait of a rank that the configuration does not have.
	defaultTargetWait = time.Second
	// maxDebt limits the credit and the debt of a flow, in slot-time.
	maxDebt = 5 * time.Second
	// maxQueued is the maximum number of queued waiters, reservations included.
	maxQueued = 20000
	// minCost is the lower bound of an expected cost.
	minCost       = 10 * time.Microsecond
	minRetryAfter = 100 * time.Millisecond
)

// Rank is the configuration of one rank, a level of urgency.
type Rank struct {
	// GuaranteedShare is the fraction of the slot-time that the rank is entitled to, from 0 to 1.
	GuaranteedShare float64
	// TargetWait is the longest expected wait with which a request is accepted, if its UsefulUntil is not
	// known.
	TargetWait time.Duration
}

// Config is the part of the configuration document that the scheduler uses.
type Config struct {
	// Ranks holds the ranks from the most to the least urgent.
	Ranks []Rank
	// Weights maps each neighbour to its weight. A missing weight, or one that is not above 0, counts as 1.
	Weights map[string]float64
	// WorkspaceWeights maps workspaces to their weights within a neighbour, in the same way.
	WorkspaceWeights map[string]float64
}

// Scheduler assigns the slots of one upstream and queues the requests that wait for one. It is not safe for
// concurrent use.
type Scheduler struct {
	config       Config
	costs        map[Class]float64
	meanCost     float64
	pacers       *pacer.Pair
	queued       int
	ranks        []*rankState
	ratesUpdated time.Time
	running      int
	slots        int
	slow         slowPeriod
	// throttled is true if the rate limit kept a queued request from a free slot at the last dispatch.
	throttled     bool
	totalSlotTime time.Duration
}

// rankState is the queue and the slot-time account of one rank.
type rankState struct {
	// backlog is the expected slot-time of the queued requests.
	backlog time.Duration
	// credit is the slot-time that the rank can still claim from its guaranteed share; negative in debt.
	credit time.Duration
	flows  map[string]*flow
	queued int
	// serviceRate is the slot-time per second that the rank has recently been given; zero where it is not
	// known.
	serviceRate float64
	// wasBacklogged and slotTimeAtUpdate are the values at the last update of serviceRate.
	wasBacklogged    bool
	slotTimeAtUpdate time.Duration
	slotTime         time.Duration
	// virtualTime is the virtual time of start-time fair queueing, in seconds of slot-time per unit of weight.
	virtualTime float64
}

// New returns a scheduler for an upstream with the given number of slots.
func New(slots int, config Config, p *pacer.Pair) *Scheduler {
	s := &Scheduler{costs: make(map[Class]float64), meanCost: defaultCost.Seconds(), pacers: p, slots: slots}
	s.Configure(config)
	return s
}

// Configure applies a new configuration. Queued requests stay at the position of their rank in the list.
func (s *Scheduler) Configure(config Config) {
	s.config = config
	for len(s.ranks) < max(1, len(config.Ranks)) {
		s.ranks = append(s.ranks, &rankState{flows: make(map[string]*flow)})
	}
	for _, rank := range s.ranks {
		for _, f := range rank.flows {
			f.weight = s.weightOf(f.neighbour)
			for _, w := range f.workspaces {
				w.weight = s.workspaceWeight(w.name)
			}
		}
	}
}

func (s *Scheduler) weightOf(neighbour string) float64 {
	return positiveOr1(s.config.Weights[neighbour])
}

func (s *Scheduler) workspaceWeight(workspace string) float64 {
	return positiveOr1(s.config.WorkspaceWeights[workspace])
}

func positiveOr1(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}

func (s *Scheduler) rankConfig(rank int) Rank {
	if rank < len(s.config.Ranks) {
		return s.config.Ranks[rank]
	}
	return Rank{TargetWait: defaultTargetWait}
}

func (s *Scheduler) rankOf(class Class) *rankState {
	return s.ranks[s.knownClass(class).Rank]
}

// knownClass returns the class to which a request of the given class is accounted: its own, or that of the last rank if
// the configuration does not have its rank yet, because another node's is newer.
func (s *Scheduler) knownClass(class Class) Class {
	class.Rank = min(max(class.Rank, 0), len(s.ranks)-1)
	return class
}

func (s *Scheduler) flowOf(class Class) *flow {
	rank := s.rankOf(class)
	f, ok := rank.flows[class.Neighbour]
	if !ok {
		f = &flow{
			dropAt: minDropWorkspaces, neighbour: class.Neighbour, weight: s.weightOf(class.Neighbour),
			workspaces: make(map[string]*workspaceFlow),
		}
		rank.flows[class.Neighbour] = f
	}
	return f
}

func (s *Scheduler) newWorkspaceFlow(workspace string) *workspaceFlow {
	return &workspaceFlow{finishTag: math.Inf(-1), name: workspace, weight: s.workspaceWeight(workspace)}
}

// workspaceOf returns the flow of the class's workspace within the flow of its neighbour.
func (s *Scheduler) workspaceOf(class Class) *workspaceFlow {
	f := s.flowOf(class)
	w, ok := f.workspaces[class.Workspace]
	if !ok {
		s.dropIdleWorkspaces(f, class)
		w = s.newWorkspaceFlow(class.Workspace)
		f.workspaces[class.Workspace] = w
	}
	return w
}

// minDropWorkspaces is the number of workspaces of a flow from which idle ones are dropped.
const minDropWorkspaces = 64

// dropIdleWorkspaces drops the workspaces without queued requests that have not used more than their share. The number of
// workspaces must double until they are looked through again, so that the cost is spread over the new ones.
func (s *Scheduler) dropIdleWorkspaces(f *flow, class Class) {
	if len(f.workspaces) < f.dropAt {
		return
	}
	class = s.knownClass(class)
	for name, w := range f.workspaces {
		if name != "" && len(w.queue) == 0 && w.finishTag <= f.virtualTime {
			class.Workspace = name
			delete(f.workspaces, name)
			delete(s.costs, class)
		}
	}
	f.dropAt = max(minDropWorkspaces, 2*len(f.workspaces))
}

// expectedCost returns the expected slot-time of a request of the class: the smoothed mean of the class, or if it is new
// that of its neighbour and rank or of all requests, and at least minCost.
func (s *Scheduler) expectedCost(class Class) time.Duration {
	seconds, ok := s.costs[class]
	if !ok && class.Workspace != "" {
		seconds, ok = s.costs[class.withoutWorkspace()]
	}
	if !ok {
		seconds = s.meanCost
	}
	return max(minCost, time.Duration(seconds*float64(time.Second)))
}

// TryRun gives w a free slot. It reports false and changes nothing if no slot is free, others are queued, the rate limit
// does not allow a request now, or w has to wait for the end of a slow period.
func (s *Scheduler) TryRun(now time.Time, w *Waiter) bool {
	if s.running >= s.slots || s.queued > 0 || s.isHeld(w) || s.IsThrottled(now) {
		return false
	}
	s.start(now, w)
	return true
}

// Submit starts w, queues it or refuses it at once. If queued is false and the refusal is nil, w has a slot.
// A queued waiter gets its decision later on Decisions.
func (s *Scheduler) Submit(now time.Time, w *Waiter) (queued bool, refusal *refuser.Refusal) {
	s.updateRates(now)
	if s.TryRun(now, w) {
		return false, nil
	}
	if refusal := s.admissionRefusal(now, w); refusal != nil {
		w.phase = phaseRefused
		return false, refusal
	}
	s.enqueue(w)
	s.dispatch(now)
	s.checkInvariants()
	return true, nil
}

func (s *Scheduler) enqueue(w *Waiter) {
	w.Decisions = make(chan Decision, 1)
	w.phase = phaseQueued
	w.Class = s.knownClass(w.Class)
	if !w.Reservation {
		// The request behind a reservation is queued at its home, and its cost is counted there.
		w.charged = s.expectedCost(w.Class)
	}
	rank := s.rankOf(w.Class)
	s.flowOf(w.Class).push(w, s.workspaceOf(w.Class), rank.virtualTime, w.charged)
	rank.backlog += w.charged
	rank.queued++
	s.queued++
}

// start gives w a slot and the permission to be sent, and charges the expected cost.
func (s *Scheduler) start(now time.Time, w *Waiter) {
	s.running++
	s.pacers.Reserve(now)
	w.pacers = s.pacers
	w.Class = s.knownClass(w.Class)
	s.charge(w)
	w.phase = phaseRunning
}

// Done frees the slot of a running waiter that used it for the given time, and corrects the charge.
func (s *Scheduler) Done(now time.Time, w *Waiter, used time.Duration) {
	if !asserter.That(w.phase == phaseRunning, "scheduler-done-once", "phase %d", w.phase) {
		return
	}
	w.phase = phaseDone
	w.cancelSend()
	s.running--
	s.updateRates(now)
	s.updateCost(w.Class, used)
	s.correct(w.Class, used-w.charged)
	s.dispatch(now)
	s.checkInvariants()
}

// Release frees the slot of a running waiter that did not use it, and reverts the charge. The permission of a waiter whose
// request was not sent is given back.
func (s *Scheduler) Release(now time.Time, w *Waiter) {
	if !asserter.That(w.phase == phaseRunning, "scheduler-release-once", "phase %d", w.phase) {
		return
	}
	w.phase = phaseDone
	w.cancelSend()
	s.running--
	s.correct(w.Class, -w.charged)
	s.dispatch(now)
	s.checkInvariants()
}

// Reclassify moves the charge of a running reservation to the class of the request that it pulled.
func (s *Scheduler) Reclassify(w *Waiter, class Class) {
	class = s.knownClass(class)
	if w.Class == class {
		return
	}
	s.correct(w.Class, -w.charged)
	w.Class = class
	s.charge(w)
}

// BindNext removes the request that is next in order, among those that can run in the region of another server, from the
// queue and binds it to a slot of that server. It returns nil if there is no such request; reservations are not bound.
func (s *Scheduler) BindNext(now time.Time, binding Binding) *Waiter {
	w := s.next(now, func(w *Waiter) bool { return isRequest(w) && w.allows(binding.Region) })
	if w == nil {
		return nil
	}
	s.charge(w)
	w.phase = phaseBound
	w.Decisions <- Decision{Binding: binding, Bound: true}
	s.checkInvariants()
	return w
}

// Withdraw removes a queued waiter without a decision. It reports false if w is not queued.
func (s *Scheduler) Withdraw(w *Waiter) bool {
	if w.phase != phaseQueued {
		return false
	}
	if !s.flowOf(w.Class).remove(w, s.workspaceOf(w.Class), w.charged) {
		return false
	}
	s.subtractQueued(s.rankOf(w.Class), w.charged)
	w.phase = phaseRefused
	s.checkInvariants()
	return true
}

// SetSlots changes the number of slots. If it becomes smaller, the running requests still finish.
func (s *Scheduler) SetSlots(now time.Time, slots int) {
	s.slots = max(0, slots)
	s.dispatch(now)
	s.checkInvariants()
}

// Sweep refuses every queued waiter whose deadline has passed and, if others are queued, those whose answer
// would come too late. It starts the waiters that the rate limit allows by now.
func (s *Scheduler) Sweep(now time.Time) {
	for _, rank := range s.ranks {
		for _, f := range rank.flows {
			s.sweepFlow(now, f)
		}
	}
	s.dispatch(now)
	s.checkInvariants()
}

func (s *Scheduler) sweepFlow(now time.Time, f *flow) {
	for _, w := range f.queuedWaiters() {
		if w.isTooLate(now) && now.Before(w.Deadline) && s.queued > 1 && s.Withdraw(w) {
			w.Decisions <- Decision{Refusal: s.tooLateRefusal(now, w)}
			continue
		}
		if now.Before(w.Deadline) || !s.Withdraw(w) {
			continue
		}
		w.Decisions <- Decision{Refusal: s.expiredRefusal(now, w)}
	}
}

func (s *Scheduler) tooLateRefusal(now time.Time, w *Waiter) *refuser.Refusal {
	return refuser.NewWithRetryAfter(s.lateReason(refuser.ReasonQueueFull), s.retryAfter(now, w.Class, 0), "the wait was longer than expected and others are in time")
}

func (s *Scheduler) expiredRefusal(now time.Time, w *Waiter) *refuser.Refusal {
	return refuser.NewWithRetryAfter(s.lateReason(refuser.ReasonDeadline), s.retryAfter(now, w.Class, 0), "the deadline passed in the queue")
}

// Flush refuses every queued waiter with the given refusal. Running requests continue.
func (s *Scheduler) Flush(refusal *refuser.Refusal) {
	for _, rank := range s.ranks {
		for _, f := range rank.flows {
			for _, w := range f.queuedWaiters() {
				f.remove(w, f.workspaces[w.Class.Workspace], w.charged)
				s.subtractQueued(rank, w.charged)
				w.phase = phaseRefused
				w.Decisions <- Decision{Refusal: refusal}
			}
		}
	}
	s.checkInvariants()
}

// Slots returns the number of slots.
func (s *Scheduler) Slots() int {
	return s.slots
}

// Running returns the number of slots in use.
func (s *Scheduler) Running() int {
	return s.running
}

// Queued returns the number of queued waiters, reservations included.
func (s *Scheduler) Queued() int {
	return s.queued
}

// checkInvariants asserts what must hold between any two calls.
func (s *Scheduler) checkInvariants() {
	asserter.That(s.running >= 0, "scheduler-running", "%d running", s.running)
	asserter.That(s.queued >= 0, "scheduler-queued", "%d queued", s.queued)
	hasIdleSlot := s.running < s.slots && !s.throttled && s.hasStartable()
	asserter.That(!hasIdleSlot, "scheduler-work-conserving", "%d queued with %d of %d slots", s.queued, s.running, s.slots)
	asserter.That(!math.IsNaN(s.meanCost), "scheduler-mean", "mean cost is not a number")
}
