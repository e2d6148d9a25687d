// Package scheduler decides which request gets the next slot of one upstream. It keeps an account
// of slot-time for each rank and neighbour. It holds no locks and starts no goroutines: its owner
// serialises the calls and passes the time in.
package scheduler

import (
	"math"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

const (
	costSmoothing  = 0.1
	creditWindow   = 200 * time.Millisecond
	defaultCost    = 10 * time.Millisecond
	defaultMaxWait = time.Second
	maxDebt        = 5 * time.Second
	maxQueue       = 20000
	minCost        = 10 * time.Microsecond
	minRetryAfter  = 100 * time.Millisecond
)

// Rank configures one rank.
type Rank struct {
	// GuaranteedShare is the part of the slot-time that the rank can claim, from 0 to 1.
	GuaranteedShare float64
	// TargetWait bounds the expected wait of an accepted request.
	TargetWait time.Duration
}

// Config is the part of the document that the scheduler follows.
type Config struct {
	// Ranks are listed from the most to the least urgent.
	Ranks []Rank
	// Weights maps each neighbour to its weight; a missing one counts as 1.
	Weights map[string]float64
}

// Scheduler queues requests for one upstream.
type Scheduler struct {
	config  Config
	costs   map[Class]float64
	mean    float64
	pause   time.Duration
	queued  int
	ranks   []*rankState
	rolled  time.Time
	running int
	slots   int
	total   time.Duration
}

type rankState struct {
	backlog time.Duration
	credit  time.Duration
	flows   map[string]*flow
	queued  int
	// rate is the slot-time a second that the rank got of late; zero where it is not known.
	rate         float64
	rolledQueued bool
	rolledTaken  time.Duration
	taken        time.Duration
	virtual      float64
}

// New returns a scheduler for an upstream with the given number of slots.
func New(slots int, config Config) *Scheduler {
	s := &Scheduler{costs: make(map[Class]float64), mean: defaultCost.Seconds(), slots: slots}
	s.Configure(config)
	return s
}

// Configure puts a new configuration in force. Queued requests keep their rank's position.
func (s *Scheduler) Configure(config Config) {
	s.config = config
	for len(s.ranks) < max(1, len(config.Ranks)) {
		s.ranks = append(s.ranks, &rankState{flows: make(map[string]*flow)})
	}
	for _, rank := range s.ranks {
		for _, f := range rank.flows {
			f.weight = s.weight(f.neighbour)
		}
	}
}

func (s *Scheduler) weight(neighbour string) float64 {
	if weight, ok := s.config.Weights[neighbour]; ok && weight > 0 {
		return weight
	}
	return 1
}

func (s *Scheduler) rankConfig(rank int) Rank {
	if rank < len(s.config.Ranks) {
		return s.config.Ranks[rank]
	}
	return Rank{TargetWait: defaultMaxWait}
}

func (s *Scheduler) rank(class Class) *rankState {
	index := min(max(class.Rank, 0), len(s.ranks)-1)
	return s.ranks[index]
}

func (s *Scheduler) flow(class Class) *flow {
	rank := s.rank(class)
	f, ok := rank.flows[class.Neighbour]
	if !ok {
		f = &flow{neighbour: class.Neighbour, weight: s.weight(class.Neighbour)}
		rank.flows[class.Neighbour] = f
	}
	return f
}

// cost returns the expected slot-time of a request of the class.
func (s *Scheduler) cost(class Class) time.Duration {
	seconds, ok := s.costs[class]
	if !ok {
		seconds = s.mean
	}
	return max(minCost, time.Duration(seconds*float64(time.Second)))
}

// TryRun takes a free slot for w. It reports false, and changes nothing, when there is none.
func (s *Scheduler) TryRun(w *Waiter) bool {
	if s.running >= s.slots || s.queued > 0 {
		return false
	}
	s.start(w)
	return true
}

// Submit starts w, queues it or refuses it at once. A nil refusal with queued false means that w
// has a slot; a queued waiter gets its verdict later.
func (s *Scheduler) Submit(now time.Time, w *Waiter) (queued bool, refusal *refuser.Refusal) {
	s.roll(now)
	if s.TryRun(w) {
		return false, nil
	}
	if refusal := s.refuse(now, w); refusal != nil {
		w.phase = phaseRefused
		return false, refusal
	}
	s.enqueue(w)
	s.dispatch(now)
	s.check()
	return true, nil
}

func (s *Scheduler) enqueue(w *Waiter) {
	w.Verdicts = make(chan Verdict, 1)
	w.phase = phaseQueued
	if !w.Reservation {
		// What a reservation brings waits in the queue of its home and is counted there.
		w.charged = s.cost(w.Class)
	}
	rank := s.rank(w.Class)
	s.flow(w.Class).push(w, rank.virtual, w.charged)
	rank.backlog += w.charged
	rank.queued++
	s.queued++
}

// start gives w a slot.
func (s *Scheduler) start(w *Waiter) {
	s.running++
	s.charge(w)
	w.phase = phaseRunning
}

// Done returns the slot of a running waiter that used it for the given time.
func (s *Scheduler) Done(now time.Time, w *Waiter, used time.Duration) {
	if !asserter.That(w.phase == phaseRunning, "scheduler-done-once", "phase %d", w.phase) {
		return
	}
	w.phase = phaseDone
	s.running--
	s.roll(now)
	s.learn(w.Class, used)
	s.correct(w.Class, used-w.charged)
	s.dispatch(now)
	s.check()
}

// Release returns the slot of a running waiter that did not use it, and takes back the charge.
func (s *Scheduler) Release(now time.Time, w *Waiter) {
	if !asserter.That(w.phase == phaseRunning, "scheduler-release-once", "phase %d", w.phase) {
		return
	}
	w.phase = phaseDone
	s.running--
	s.correct(w.Class, -w.charged)
	s.dispatch(now)
	s.check()
}

// Rebind books a running reservation under the class of the request that it got.
func (s *Scheduler) Rebind(w *Waiter, class Class) {
	if w.Class == class {
		return
	}
	s.correct(w.Class, -w.charged)
	w.Class = class
	s.charge(w)
}

// Take removes the request that is entitled to be served next, so that its owner can bind it to
// another server. It returns nil when no request waits.
func (s *Scheduler) Take(now time.Time, binding Binding) *Waiter {
	w := s.next(now, true)
	if w == nil {
		return nil
	}
	s.charge(w)
	w.phase = phaseTaken
	w.Verdicts <- Verdict{Binding: binding, Taken: true}
	s.check()
	return w
}

// Withdraw removes a queued waiter without a verdict. It reports false when w is not queued.
func (s *Scheduler) Withdraw(w *Waiter) bool {
	if w.phase != phaseQueued {
		return false
	}
	if !s.flow(w.Class).remove(w, w.charged) {
		return false
	}
	s.unqueue(s.rank(w.Class), w.charged)
	w.phase = phaseRefused
	s.check()
	return true
}

// SetSlots changes the number of slots. Running requests above a smaller number finish.
func (s *Scheduler) SetSlots(now time.Time, slots int) {
	s.slots = max(0, slots)
	s.dispatch(now)
	s.check()
}

// Sweep refuses at once every queued request whose deadline has passed, and those that are too late
// while others wait.
func (s *Scheduler) Sweep(now time.Time) {
	for _, rank := range s.ranks {
		for _, f := range rank.flows {
			s.sweepFlow(now, f)
		}
	}
	s.check()
}

func (s *Scheduler) sweepFlow(now time.Time, f *flow) {
	for _, w := range append([]*Waiter(nil), f.queue...) {
		if w.isLate(now) && now.Before(w.Deadline) && s.queued > 1 && s.Withdraw(w) {
			w.Verdicts <- Verdict{Refusal: s.tooLate(w)}
			continue
		}
		if now.Before(w.Deadline) || !s.Withdraw(w) {
			continue
		}
		w.Verdicts <- Verdict{Refusal: refuser.Later(refuser.ReasonDeadline, s.retryAfter(w.Class, 0), "the deadline passed in the queue")}
	}
}

func (s *Scheduler) tooLate(w *Waiter) *refuser.Refusal {
	return refuser.Later(refuser.ReasonQueueFull, s.retryAfter(w.Class, 0), "the wait was longer than expected and others are in time")
}

// Flush gives every queued waiter the refusal. Running requests go on.
func (s *Scheduler) Flush(refusal *refuser.Refusal) {
	for _, rank := range s.ranks {
		for _, f := range rank.flows {
			for len(f.queue) > 0 {
				w := f.queue[0]
				f.pop(w.charged)
				s.unqueue(rank, w.charged)
				w.phase = phaseRefused
				w.Verdicts <- Verdict{Refusal: refusal}
			}
		}
	}
	s.check()
}

// Slots returns the number of slots.
func (s *Scheduler) Slots() int {
	return s.slots
}

// Running returns the number of slots in use.
func (s *Scheduler) Running() int {
	return s.running
}

// Queued returns the number of waiters in the queue.
func (s *Scheduler) Queued() int {
	return s.queued
}

// check asserts what must hold between any two calls.
func (s *Scheduler) check() {
	asserter.That(s.running >= 0, "scheduler-running", "%d running", s.running)
	asserter.That(s.queued >= 0, "scheduler-queued", "%d queued", s.queued)
	idle := s.queued > 0 && s.running < s.slots
	asserter.That(!idle, "scheduler-work-conserving", "%d queued with %d of %d slots", s.queued, s.running, s.slots)
	asserter.That(!math.IsNaN(s.mean), "scheduler-mean", "mean cost is not a number")
}
