// Package router picks the node that an attempt is sent to. It decides on load reports and outcomes that are always
// out of date.
package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/localizer"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	failureSmoothing = 0.2
	// failuresToBackOff is the number of consecutive failures after which a target is avoided for a while.
	failuresToBackOff = 3
	maxBackoff        = 10 * time.Second
	// maxReportAge replaces every longer age of a load report, and the age for a target without a report.
	maxReportAge = time.Minute
	minBackoff   = 500 * time.Millisecond
	minWeight    = 0.02
	// slowReportLifetime is how long a target counts as slow after it has reported that it is.
	slowReportLifetime = 400 * time.Millisecond
	// maxStartDelay replaces every longer reported start delay, so that a target is tried again.
	maxStartDelay = 5 * time.Second
	// overdueSlowTime is how long a target counts as slow after one of its responses is overdue.
	overdueSlowTime = 400 * time.Millisecond
	// speedExponent makes the weight of a slow target lower than in proportion to its speed, because its calls make
	// up the latency tail.
	speedExponent = 3
)

// target is what the router knows of one member's upstream.
type target struct {
	gossiper.Member
	failureRate  float64
	failures     int
	latency      time.Duration
	outstanding  int
	reportedLoad float64
	// queueLength is the number of running and queued requests, and usedSlots that of the slots that the node uses, as last
	// reported. usedSlots is zero if there was no report.
	queueLength, usedSlots int
	reportedAt             time.Time
	backoff                time.Duration
	backoffUntil           time.Time
	slowUntil              time.Time
	// delayedUntil is when the upstream's rate limit was reported to let a new request start.
	delayedUntil time.Time
}

// Router holds the targets of each service and picks among them. It is safe for concurrent use.
type Router struct {
	clock      timekeeper.Clock
	dataCentre string
	policy     Policy
	region     string

	mu sync.Mutex
	// evacuated are the data centres whose targets are not picked.
	evacuated map[string]bool
	// localizer decides which attempts leave the data centre. If it is nil, the policy weighs the distance.
	localizer *localizer.Localizer
	random    *rand.Rand
	services  map[string][]*target
	targets   map[string]*target
}

// New returns a router without targets, for a node in the given region and data centre.
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

// Update records a member's newest membership record. Members that are not serving can't be picked, and a member with
// a new incarnation starts without history.
func (r *Router) Update(m gossiper.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[m.Name]
	if !ok {
		t = &target{}
		r.targets[m.Name] = t
	}
	r.removeFromService(t)
	if t.Incarnation != m.Incarnation {
		*t = target{outstanding: t.outstanding}
	}
	t.Member = m
	if m.IsServing() {
		r.services[m.Service] = append(r.services[m.Service], t)
	}
	if m.Status >= gossiper.StatusDead && t.outstanding == 0 {
		delete(r.targets, m.Name)
	}
}

func (r *Router) removeFromService(t *target) {
	listed := r.services[t.Service]
	if i := slices.Index(listed, t); i >= 0 {
		r.services[t.Service] = slices.Delete(listed, i, i+1)
	}
}

// SetEvacuated sets the data centres whose targets are not picked.
func (r *Router) SetEvacuated(dataCentres []string) {
	evacuated := make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		evacuated[name] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated = evacuated
}

// Pick chooses a target for an attempt. Members in exclude are not chosen, and members that back off after failures
// only if there is no other. It reports false if there is no target.
func (r *Router) Pick(need Need, exclude []string) (Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	usable := r.usable(&need, exclude, now, false)
	if len(usable) == 0 {
		usable = r.usable(&need, exclude, now, true)
	}
	if len(usable) == 0 {
		return Choice{}, false
	}
	others := len(usable) - 1
	if r.localizer != nil {
		usable = r.localize(need, usable, len(exclude) > 0, now)
	} else if weigher, ok := r.policy.(interface{ WeighsDistance() bool }); !ok || !weigher.WeighsDistance() {
		usable = r.nearest(usable)
	}
	candidates := r.candidates(usable, now)
	index := r.policy.Pick(need, candidates, r.random)
	picked := usable[index]
	if picked.failures >= failuresToBackOff {
		// One call probes a target whose backoff has ended. The backoff is extended, so that other calls avoid the
		// target until the outcome is known.
		picked.backoffUntil = now.Add(picked.backoff)
	}
	candidate := &candidates[index]
	return Choice{
		Load: candidate.load(), LoadAge: candidate.ReportAge, Member: picked.Member, Alternatives: others,
		Responsive: candidate.isResponsive(), Slow: candidate.Slow, Leaves: picked.DataCentre != r.dataCentre,
	}, true
}

// Need is what a call requires of its target.
type Need struct {
	// AllowedRegions are the regions in which the call can run; empty for all.
	AllowedRegions []string
	Service        string
	// TargetLatency is the time within which the response is fully useful; zero if none is set.
	TargetLatency time.Duration
	// UsefulWait is how long the call can wait in a queue and still be answered in time; zero if the route sets no target
	// latency.
	UsefulWait time.Duration
	// Draw is a random number in [0, 1) that is the same for all attempts of the call.
	Draw float64
	// Refused is true if a target has refused the call because its queue was full.
	Refused bool
	// Returned is true if an earlier attempt of the call has left the data centre without success.
	Returned bool
}

// Allows reports whether the call can run in a region.
func (n *Need) Allows(region string) bool {
	return len(n.AllowedRegions) == 0 || slices.Contains(n.AllowedRegions, region)
}

// Choice is a picked target.
type Choice struct {
	gossiper.Member
	// Load is the estimated fraction of the target's slots in use, above 1 with a queue. LoadAge is the age of the
	// target's last load report. Slow is true if the target's upstream counts as slow.
	Load    float64
	LoadAge time.Duration
	Slow    bool
	// Responsive is true if the target is believed to have free slots and its usual speed.
	Responsive bool
	// Alternatives is the number of other targets that could have been picked.
	Alternatives int
	// Leaves is true if the target is in another data centre.
	Leaves bool
}

// usable returns the service's targets in the allowed regions that are not in exclude, not in an evacuated data centre and,
// unless includeBackedOff is true, not backing off after failures.
func (r *Router) usable(need *Need, exclude []string, now time.Time, includeBackedOff bool) []*target {
	var usable []*target
	for _, t := range r.services[need.Service] {
		if slices.Contains(exclude, t.Name) {
			continue
		}
		if reason := r.ruledOut(need, t, now); reason == "" || (includeBackedOff && reason == RuledOutBackoff) {
			usable = append(usable, t)
		}
	}
	return usable
}

// nearest returns the targets in this node's data centre, or if there are none, in its region, or else all.
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
	var matching []*target
	for _, t := range targets {
		if keep(t) {
			matching = append(matching, t)
		}
	}
	return matching
}

func (r *Router) candidates(targets []*target, now time.Time) []Candidate {
	median := medianLatency(targets)
	candidates := make([]Candidate, len(targets))
	for i, t := range targets {
		candidates[i] = Candidate{
			Distance:     r.distance(t),
			FailureRate:  t.failureRate,
			Latency:      t.latency,
			Name:         t.Name,
			Outstanding:  t.outstanding,
			ReportedLoad: t.reportedLoad,
			ReportAge:    min(maxReportAge, now.Sub(t.reportedAt)),
			Slots:        t.Slots,
			Slow:         now.Before(t.slowUntil),
			StartDelay:   max(0, t.delayedUntil.Sub(now)),
			Weight:       t.weight(now, median),
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

// medianLatency returns the lower median of the known latencies, or zero if none is known.
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

// weight returns the target's weight, from minWeight to 1. It is lower if the target is slower than the median of its
// siblings, fails or has its rate limit used up. A faster target gets no more than weight 1, so that quick failures
// attract no calls.
func (t *target) weight(now time.Time, median time.Duration) float64 {
	speed := 1.0
	if t.latency > median && median > 0 {
		speed = float64(median) / float64(t.latency)
	}
	success := 1 - t.failureRate
	if now.Before(t.delayedUntil) {
		return minWeight
	}
	return max(minWeight, math.Pow(speed, speedExponent)*success*success)
}

// PickForHandOff chooses another node of the service for an attempt that found no free slot. It picks one of the nearest
// nodes, and a slow or failing one seldom. It reports false if there is none.
func (r *Router) PickForHandOff(need Need, exclude []string) (gossiper.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	usable := r.nearest(r.usable(&need, exclude, now, false))
	if len(usable) == 0 {
		return gossiper.Member{}, false
	}
	return usable[Weighted{}.Pick(Need{}, r.candidates(usable, now), r.random)].Member, true
}

// PickForReservation chooses another node of the service for a reservation. All nodes are equally likely, because a
// node pulls a reserved request only when it has a free slot. With a localizer they are those of the data centre that it
// decides on. It reports false if there is none.
func (r *Router) PickForReservation(need Need, exclude []string) (gossiper.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	usable := r.usable(&need, exclude, now, false)
	if len(usable) == 0 {
		return gossiper.Member{}, false
	}
	if r.localizer != nil {
		need.Draw = r.random.Float64()
		usable = r.localize(need, usable, true, now)
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

// RecordCallStart records that a call is sent to the target. The caller must call RecordCallEnd when the call has
// ended.
func (r *Router) RecordCallStart(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.targets[name]; ok {
		t.outstanding++
	}
}

// RecordCallEnd records the outcome of a call to the target. failed is true if the target or its upstream failed; a
// refusal for lack of capacity is not a failure.
func (r *Router) RecordCallEnd(name string, load carrier.Load, failed bool) {
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
	t.recordLoad(now, load)
	t.recordResult(now, failed)
}

// recordLoad records a load report of the target. Zero values of Slots or Slowdown mean that they are not known.
func (t *target) recordLoad(now time.Time, load carrier.Load) {
	if load.Slots > 0 {
		t.reportedLoad = float64(load.Running+load.Queued) / float64(load.Slots)
		t.queueLength, t.usedSlots = load.Running+load.Queued, load.Slots
		t.reportedAt = now
		t.delayedUntil = now.Add(min(max(0, load.StartDelay), maxStartDelay))
	}
	if load.Slowdown > 0 {
		t.slowUntil = time.Time{}
	}
	if load.IsSlow() {
		t.slowUntil = now.Add(slowReportLifetime)
	}
}

// ObserveLoad records a load report of the target.
func (r *Router) ObserveLoad(name string, load carrier.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.targets[name]; ok {
		t.recordLoad(r.clock.Now(), load)
	}
}

// MarkOverdue records that a response of the target is overdue. The target then counts as slow for overdueSlowTime.
func (r *Router) MarkOverdue(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.targets[name]; ok {
		t.slowUntil = r.clock.Now().Add(overdueSlowTime)
	}
}

func (t *target) recordResult(now time.Time, failed bool) {
	if !failed {
		t.failureRate -= failureSmoothing * t.failureRate
		t.failures = 0
		t.backoff = 0
		t.backoffUntil = time.Time{}
		return
	}
	t.failureRate += failureSmoothing * (1 - t.failureRate)
	t.failures++
	if t.failures >= failuresToBackOff {
		t.backoff = min(max(minBackoff, 2*t.backoff), maxBackoff)
		t.backoffUntil = now.Add(t.backoff)
	}
}
