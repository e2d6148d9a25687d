// Package pacer spaces the requests to an upstream that has named a rate limit or is cold. It uses no locks and starts no
// goroutines: the owner serialises the calls and passes the current time.
package pacer

import (
	"math"
	"time"
)

// Promise is the largest number of requests that an upstream gets: in any Window, Excess times those that the limit allows
// and Slack more.
type Promise struct {
	Window time.Duration
	Excess float64
	Slack  float64
	// Pace is the part of the promise at which requests are spaced, as long as that is no more than Excess times the limit.
	// Zero spaces them by the limit itself.
	Pace float64
}

// The promises to an upstream.
var (
	// RateLimitPromise is that to an upstream that has named a rate limit.
	RateLimitPromise = Promise{Window: 4 * time.Second, Excess: 1.5, Slack: 5}
	// ColdPromise is that to a cold upstream. The pace brings it up soon; with the burst of a process and the requests that an
	// earlier one has sent in the same second, it stays within the promise.
	ColdPromise = Promise{Window: time.Second, Excess: 1.5, Slack: 8, Pace: 0.7}
)

// windowFraction is the fraction of the promise that is used. The rest is for requests that a process sent before this one
// took its place.
const windowFraction = 0.9

const (
	// burstTime is the time at the limit whose requests can be sent at once.
	burstTime = 250 * time.Millisecond
	// maxInterval is the longest time between two requests. Only a response shows that a limit has ended, so that a very
	// low limit must not keep the next request away for longer.
	maxInterval = 4 * time.Second
	// spanCount is the number of spans into which a window is divided to count its requests.
	spanCount = 80
	// windowSpans is the number of spans that a window ending now can overlap.
	windowSpans = spanCount + 1
)

// atMost returns how many requests the upstream may get in one window under the limit.
func (p Promise) atMost(perSecond float64) float64 {
	return p.Excess*perSecond*p.Window.Seconds() + p.Slack
}

// pace returns the requests per second at which they are spaced under the limit.
func (p Promise) pace(perSecond float64) float64 {
	if p.Pace == 0 {
		return perSecond
	}
	return min(p.Pace*p.atMost(perSecond)/p.Window.Seconds(), p.Excess*perSecond)
}

// spanTime is the resolution with which the requests of a window are counted.
func (p Promise) spanTime() time.Duration {
	return p.Window / spanCount
}

// Pacer decides when requests can be sent to one upstream. Without a limit it only counts them. A request is reserved
// before it is sent, since both can lie apart; then Sent or Cancel is called. The requests are spaced by the generic
// cell rate algorithm (ITU-T I.371) and, whenever a reserved one is sent, are within the promise in each window. It is
// not safe for concurrent use.
type Pacer struct {
	promise Promise
	// settleTime is the time that callers have to keep to a limit after its first naming.
	settleTime time.Duration
	startedAt  time.Time
	// perSecond is zero without a limit.
	perSecond float64
	// wasLimited is true from the first naming of a limit on.
	wasLimited bool
	// countedFrom is the first span that counts towards a window.
	countedFrom int
	// nextDue is the theoretical arrival time of the next request.
	nextDue time.Time
	// sent is a ring buffer of the requests sent in each span. newest is the number of its newest span.
	sent     [windowSpans]int
	newest   int
	reserved int
}

// New returns a pacer without a limit that keeps the promise. The settle time is how long after the first naming of a limit
// a window must keep to it; requests sent more than one window before that are not counted.
func New(now time.Time, promise Promise, settleTime time.Duration) *Pacer {
	return &Pacer{promise: promise, settleTime: settleTime, startedAt: now}
}

// SetLimit sets the limit in requests per second; zero means none.
func (p *Pacer) SetLimit(now time.Time, perSecond float64) {
	if perSecond == p.perSecond {
		return
	}
	p.advance(now)
	if p.perSecond > 0 && perSecond > 0 {
		// What was sent ahead of its time under the old limit keeps its number of requests.
		ahead := max(0, p.nextDue.Sub(now)).Seconds() / p.Interval().Seconds()
		p.perSecond = perSecond
		p.nextDue = now.Add(seconds(ahead * p.Interval().Seconds()))
		return
	}
	p.perSecond = perSecond
	if perSecond == 0 {
		return
	}
	p.nextDue = now.Add(p.tolerance())
	if !p.wasLimited {
		p.wasLimited = true
		p.countedFrom = p.spanNumber(now.Add(p.settleTime - p.promise.Window))
	}
}

// Limit returns the limit in requests per second, or zero if there is none.
func (p *Pacer) Limit() float64 {
	return p.perSecond
}

// IsLimited reports whether there is a limit.
func (p *Pacer) IsLimited() bool {
	return p.perSecond > 0
}

// Allows reports whether a request can be reserved now.
func (p *Pacer) Allows(now time.Time) bool {
	return !p.Next(now).After(now)
}

// Next returns the earliest time at which the next request can be reserved: now or later.
func (p *Pacer) Next(now time.Time) time.Time {
	if !p.IsLimited() {
		return now
	}
	p.advance(now)
	next := now
	if due := p.nextDue.Add(-p.tolerance()); due.After(next) {
		next = due
	}
	if open := p.windowOpens(); open.After(next) {
		next = open
	}
	return next
}

// ReplenishedAt returns the earliest time at which a whole burst can be reserved, if none is before: now or later.
func (p *Pacer) ReplenishedAt(now time.Time) time.Time {
	next := p.Next(now)
	if p.IsLimited() && p.nextDue.After(next) {
		return p.nextDue
	}
	return next
}

// IsReplenished reports whether a whole burst can be reserved now.
func (p *Pacer) IsReplenished(now time.Time) bool {
	return !p.IsLimited() || (!p.nextDue.After(now) && p.Allows(now))
}

// Reserve takes the permission to send one request.
func (p *Pacer) Reserve(now time.Time) {
	p.reserved++
	if p.nextDue.Before(now) {
		p.nextDue = now
	}
	p.nextDue = p.nextDue.Add(p.Interval())
}

// Sent records that a reserved request is sent now.
func (p *Pacer) Sent(now time.Time) {
	p.reserved--
	p.Count(now)
}

// Cancel gives back the permission of a reserved request that is not sent.
func (p *Pacer) Cancel() {
	p.reserved--
	p.nextDue = p.nextDue.Add(-p.Interval())
}

// Count records a request that was sent now without a reservation.
func (p *Pacer) Count(now time.Time) {
	p.advance(now)
	p.sent[p.newest%windowSpans]++
}

// WindowUse returns the fraction of the promise that the window ending now uses; zero without a limit.
func (p *Pacer) WindowUse(now time.Time) float64 {
	if !p.IsLimited() {
		return 0
	}
	p.advance(now)
	sent := 0
	for number := p.newest; number >= p.oldestCounted(); number-- {
		sent += p.sent[number%windowSpans]
	}
	return float64(sent) / p.promise.atMost(p.perSecond)
}

// Interval returns the time between two requests at the limit; zero without a limit.
func (p *Pacer) Interval() time.Duration {
	if !p.IsLimited() {
		return 0
	}
	return min(maxInterval, seconds(1/p.promise.pace(p.perSecond)))
}

// tolerance returns how far ahead of its time a request can be sent.
func (p *Pacer) tolerance() time.Duration {
	return min(burstTime, seconds(burstTime.Seconds()*p.promise.pace(p.perSecond)*p.Interval().Seconds()))
}

// windowLimit returns how many requests are sent in one window at most.
func (p *Pacer) windowLimit() int {
	return int(windowFraction * p.promise.atMost(p.perSecond))
}

// windowOpens returns when the window that ends then has room for one more request. It can lie in the past.
func (p *Pacer) windowOpens() time.Time {
	excessCount := p.reserved + 1 - p.windowLimit()
	for number := p.newest; number >= p.oldestCounted(); number-- {
		excessCount += p.sent[number%windowSpans]
		if excessCount > 0 {
			return p.startedAt.Add(time.Duration(number+windowSpans) * p.promise.spanTime())
		}
	}
	return time.Time{}
}

// oldestCounted returns the number of the oldest span that counts towards the window ending now.
func (p *Pacer) oldestCounted() int {
	return max(0, p.countedFrom, p.newest-windowSpans+1)
}

// advance clears the spans that have begun since the last call.
func (p *Pacer) advance(now time.Time) {
	current := p.spanNumber(now)
	p.newest = max(p.newest, current-windowSpans)
	for p.newest < current {
		p.newest++
		p.sent[p.newest%windowSpans] = 0
	}
}

// spanNumber returns the number of the span that contains the given time, counted from startedAt.
func (p *Pacer) spanNumber(at time.Time) int {
	return int(math.Floor(float64(at.Sub(p.startedAt)) / float64(p.promise.spanTime())))
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
