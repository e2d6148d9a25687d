package pacer

import "time"

// Pair spaces the requests to one process of an upstream by two limits that begin and end independently of each other:
// the rate limit that it names and the rate that it bears while it is cold. It is not safe for concurrent use.
type Pair struct {
	// Named paces by the rate limit that the upstream names.
	Named *Pacer
	// Cold paces while the upstream is cold.
	Cold *Pacer
}

// NewPair returns a pair without limits. The settle time is that of the named limit; the limit of a cold upstream holds
// at once and for the requests of the last window as well.
func NewPair(now time.Time, settleTime time.Duration) *Pair {
	return &Pair{Named: New(now, RateLimitPromise, settleTime), Cold: New(now, ColdPromise, 0)}
}

// IsLimited reports whether there is a limit.
func (p *Pair) IsLimited() bool {
	return p.Named.IsLimited() || p.Cold.IsLimited()
}

// Allows reports whether a request can be reserved now.
func (p *Pair) Allows(now time.Time) bool {
	return p.Named.Allows(now) && p.Cold.Allows(now)
}

// Next returns the earliest time at which the next request can be reserved: now or later.
func (p *Pair) Next(now time.Time) time.Time {
	named, cold := p.Named.Next(now), p.Cold.Next(now)
	if cold.After(named) {
		return cold
	}
	return named
}

// Interval returns the time between two requests at the lower limit; zero without a limit.
func (p *Pair) Interval() time.Duration {
	return max(p.Named.Interval(), p.Cold.Interval())
}

// IsReplenished reports whether a whole burst can be reserved now.
func (p *Pair) IsReplenished(now time.Time) bool {
	return p.Named.IsReplenished(now) && p.Cold.IsReplenished(now)
}

// Reserve takes the permission to send one request.
func (p *Pair) Reserve(now time.Time) {
	p.Named.Reserve(now)
	p.Cold.Reserve(now)
}

// Sent records that a reserved request is sent now.
func (p *Pair) Sent(now time.Time) {
	p.Named.Sent(now)
	p.Cold.Sent(now)
}

// Cancel gives back the permission of a reserved request that is not sent.
func (p *Pair) Cancel() {
	p.Named.Cancel()
	p.Cold.Cancel()
}
