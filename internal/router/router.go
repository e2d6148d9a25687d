// Package router picks the node that an attempt is sent to, from knowledge that is always stale.
package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	failureSmoothing = 0.2
	failuresToRest   = 3
	maxRest          = 10 * time.Second
	// maxReportAge stands for every longer time, and for a target that was never heard of.
	maxReportAge = time.Minute
	minRest      = 500 * time.Millisecond
	minWeight    = 0.02
	// slowTime is for how long a target's word that it is slow is believed.
	slowTime = 400 * time.Millisecond
	// suspectTime is for how long a target whose answer is overdue is passed over.
	suspectTime = 400 * time.Millisecond
	// speedPower makes a straggler's part smaller than its speed: the tail is what it takes longest.
	speedPower = 3
)

// target is what the router knows of one member's upstream.
type target struct {
	gossiper.Member
	failureRate float64
	failures    int
	latency     time.Duration
	outstanding int
	reported    float64
	reportedAt  time.Time
	rest        time.Duration
	restUntil   time.Time
	slowUntil   time.Time
}

// Router holds the targets of each service. It is safe for concurrent use.
type Router struct {
	clock      timekeeper.Clock
	dataCentre string
	policy     Policy
	region     string

	mu       sync.Mutex
	random   *rand.Rand
	services map[string][]*target
	targets  map[string]*target
}

// New returns a router for a node in the given place.
func New(clock timekeeper.Clock, random *rand.Rand, policy Policy, region, dataCentre string) *Router {
	return &Router{
		clock:      clock,
		dataCentre: dataCentre,
		policy:     policy,
		random:     random,
		region:     region,
		services:   make(map[string][]*target),
		targets:    make(map[string]*target),
	}
}

// Update takes a member's newest record.
func (r *Router) Update(m gossiper.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[m.Name]
	if !ok {
		t = &target{}
		r.targets[m.Name] = t
	}
	if t.Incarnation != m.Incarnation {
		*t = target{outstanding: t.outstanding}
	}
	r.unlist(t)
	t.Member = m
	if m.IsServing() {
		r.services[m.Service] = append(r.services[m.Service], t)
	}
	if m.Status >= gossiper.StatusDead && t.outstanding == 0 {
		delete(r.targets, m.Name)
	}
}

func (r *Router) unlist(t *target) {
	listed := r.services[t.Service]
	if i := slices.Index(listed, t); i >= 0 {
		r.services[t.Service] = slices.Delete(listed, i, i+1)
	}
}

// Pick chooses a target for a first or further try. Members in exclude are not chosen. It reports
// false when there is none.
func (r *Router) Pick(need Need, exclude []string) (Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	usable := r.usable(need.Service, exclude, now, false)
	if len(usable) == 0 {
		usable = r.usable(need.Service, exclude, now, true)
	}
	if len(usable) == 0 {
		return Choice{}, false
	}
	others := len(usable) - 1
	if global, ok := r.policy.(interface{ IsGlobal() bool }); !ok || !global.IsGlobal() {
		usable = r.nearest(usable)
	}
	candidates := r.candidates(usable, now)
	index := r.policy.Pick(need, candidates, r.random)
	picked := usable[index]
	if picked.failures >= failuresToRest {
		// One call probes a target that has rested; the others wait for its outcome.
		picked.restUntil = now.Add(picked.rest)
	}
	believed := &candidates[index]
	return Choice{
		Load: believed.load(), LoadAge: believed.ReportAge, Member: picked.Member, Alternatives: others,
		Responsive: believed.isPrompt(need), Slow: believed.Slow,
	}, true
}

// Need is what a call asks of its target.
type Need struct {
	// Relaxed is true where the answer comes in time even if the upstream is slow for a moment.
	Relaxed bool
	Service string
	// TargetLatency is the time within which the response is fully useful; zero if none is set.
	TargetLatency time.Duration
}

// Choice is a picked target.
type Choice struct {
	gossiper.Member
	// Load is the part of the slots that was in use when LoadAge ago the target was heard of; Slow is
	// whether its upstream was slow.
	Load    float64
	LoadAge time.Duration
	Slow    bool
	// Responsive is true if the target is believed to have free slots and its usual speed.
	Responsive bool
	// Alternatives is the number of other targets that could have been picked.
	Alternatives int
}

// usable returns the service's targets that are not excluded and, unless resting is true, not
// resting after failures.
func (r *Router) usable(service string, exclude []string, now time.Time, resting bool) []*target {
	var usable []*target
	for _, t := range r.services[service] {
		if slices.Contains(exclude, t.Name) || (!resting && now.Before(t.restUntil)) {
			continue
		}
		usable = append(usable, t)
	}
	return usable
}

// nearest keeps the targets in the own data centre, or else in the own region, or else all.
func (r *Router) nearest(targets []*target) []*target {
	if near := filter(targets, func(t *target) bool { return t.DataCentre == r.dataCentre }); len(near) > 0 {
		return near
	}
	if near := filter(targets, func(t *target) bool { return t.Region == r.region }); len(near) > 0 {
		return near
	}
	return targets
}

func filter(targets []*target, keep func(*target) bool) []*target {
	var kept []*target
	for _, t := range targets {
		if keep(t) {
			kept = append(kept, t)
		}
	}
	return kept
}

func (r *Router) candidates(targets []*target, now time.Time) []Candidate {
	typical := medianLatency(targets)
	candidates := make([]Candidate, len(targets))
	for i, t := range targets {
		candidates[i] = Candidate{
			Distance:    r.distance(t),
			FailureRate: t.failureRate,
			Latency:     t.latency,
			Name:        t.Name,
			Outstanding: t.outstanding,
			Reported:    t.reported,
			ReportAge:   min(maxReportAge, now.Sub(t.reportedAt)),
			Slots:       t.Slots,
			Slow:        now.Before(t.slowUntil),
			Weight:      t.weight(typical),
		}
	}
	return candidates
}

func (r *Router) distance(t *target) int {
	switch {
	case t.DataCentre == r.dataCentre:
		return 0
	case t.Region == r.region:
		return 1
	default:
		return 2
	}
}

// medianLatency returns the lower median of the known latencies.
func medianLatency(targets []*target) time.Duration {
	var known []time.Duration
	for _, t := range targets {
		if t.latency > 0 {
			known = append(known, t.latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// weight lowers the part of a target that is slower than its siblings or fails. A target that is
// faster gets no more than its part, so that a quick failure attracts nothing.
func (t *target) weight(typical time.Duration) float64 {
	speed := 1.0
	if t.latency > typical && typical > 0 {
		speed = float64(typical) / float64(t.latency)
	}
	success := 1 - t.failureRate
	return max(minWeight, math.Pow(speed, speedPower)*success*success)
}

// HandOn chooses another node of the service for a request that found no free slot: a near one, and
// a straggler seldom.
func (r *Router) HandOn(service string, exclude []string) (gossiper.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	usable := r.nearest(r.usable(service, exclude, now, false))
	if len(usable) == 0 {
		return gossiper.Member{}, false
	}
	return usable[Weighted{}.Pick(Need{}, r.candidates(usable, now), r.random)].Member, true
}

// Reservation chooses another node of the service for a reservation. All are as likely, because a
// node pulls only when it has a free slot.
func (r *Router) Reservation(service string, exclude []string) (gossiper.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	usable := r.usable(service, exclude, r.clock.Now(), false)
	if len(usable) == 0 {
		return gossiper.Member{}, false
	}
	return usable[r.random.IntN(len(usable))].Member, true
}

// Members returns the nodes of the service that can be sent requests.
func (r *Router) Members(service string) []gossiper.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := make([]gossiper.Member, 0, len(r.services[service]))
	for _, t := range r.services[service] {
		members = append(members, t.Member)
	}
	return members
}

// Count returns the number of nodes of the service that can be sent requests.
func (r *Router) Count(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.services[service])
}

// Sent books a call that was sent to the target.
func (r *Router) Sent(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.targets[name]; ok {
		t.outstanding++
	}
}

// Learn books the outcome of a call to the target. failed is true when the target or its upstream
// failed; a refusal for want of room is no failure.
func (r *Router) Learn(name string, load carrier.Load, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[name]
	if !ok {
		return
	}
	t.outstanding--
	now := r.clock.Now()
	if load.Slots > 0 {
		t.latency = load.Latency
	}
	t.take(now, load)
	t.learn(now, failed)
}

// take books a target's word on its load.
func (t *target) take(now time.Time, load carrier.Load) {
	if load.Slots > 0 {
		t.reported = float64(load.Running+load.Queued) / float64(load.Slots)
		t.reportedAt = now
	}
	if load.Slowdown > 0 {
		t.slowUntil = time.Time{}
	}
	if load.IsSlow() {
		t.slowUntil = now.Add(slowTime)
	}
}

// ObserveLoad records a load report of the target. It reports whether the target's upstream has become slow.
func (r *Router) ObserveLoad(name string, load carrier.Load) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[name]
	if !ok {
		return false
	}
	now := r.clock.Now()
	wasSlow := now.Before(t.slowUntil)
	t.take(now, load)
	return !wasSlow && now.Before(t.slowUntil)
}

// MarkOverdue records that a response of the target is overdue.
func (r *Router) MarkOverdue(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.targets[name]; ok {
		t.slowUntil = r.clock.Now().Add(suspectTime)
	}
}

func (t *target) learn(now time.Time, failed bool) {
	if !failed {
		t.failureRate -= failureSmoothing * t.failureRate
		t.failures = 0
		t.rest = 0
		t.restUntil = time.Time{}
		return
	}
	t.failureRate += failureSmoothing * (1 - t.failureRate)
	t.failures++
	if t.failures >= failuresToRest {
		t.rest = min(max(minRest, 2*t.rest), maxRest)
		t.restUntil = now.Add(t.rest)
	}
}
