package router

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/localizer"
)

// Localize makes the router pick only targets in the data centre that the localizer decides on. It must be called before
// the first Pick. The localizer must not be used elsewhere.
func (r *Router) Localize(l *localizer.Localizer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.localizer = l
}

// localize returns those of the targets that are in the data centre which the localizer decides on. partial is true if
// targets were left out because the call has tried them. It is called with mu held.
func (r *Router) localize(need Need, usable []*target, partial bool, now time.Time) []*target {
	chosen := r.localizer.Decide(now, localizer.Request{
		Service: need.Service, UsefulWait: need.UsefulWait, Draw: need.Draw,
		Refused: need.Refused, Returned: need.Returned, Partial: partial,
	}, localizerTargets(usable, now))
	return filter(usable, func(t *target) bool { return t.DataCentre == chosen })
}

func localizerTargets(usable []*target, now time.Time) []localizer.Target {
	targets := make([]localizer.Target, len(usable))
	for i, t := range usable {
		targets[i] = localizer.Target{
			DataCentre:  t.DataCentre,
			Slots:       t.usableSlots(),
			Load:        t.queueLength,
			Outstanding: t.outstanding,
			ServiceTime: t.latency,
			StartDelay:  max(0, t.delayedUntil.Sub(now)),
			Age:         min(maxReportAge, now.Sub(t.reportedAt)),
			Slow:        now.Before(t.slowUntil),
		}
	}
	return targets
}

// usableSlots returns the number of slots that the target's node uses, which can be fewer than the upstream announces.
func (t *target) usableSlots() int {
	if t.usedSlots > 0 {
		return t.usedSlots
	}
	return t.Slots
}

// HasRoomElsewhere reports whether a call that a target has refused for lack of room can be answered in time in another
// data centre, and no longer in this one. exclude holds the targets that have refused it.
func (r *Router) HasRoomElsewhere(need Need, exclude []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.localizer == nil {
		return false
	}
	now := r.clock.Now()
	need.Refused = true
	usable := r.localize(need, r.usable(&need, exclude, now, false), true, now)
	return len(usable) > 0 && usable[0].DataCentre != r.dataCentre
}

// ObserveCrossing records an attempt that went to another data centre: the time that it took without the time at the
// upstream, and the bytes of the request and the answer.
func (r *Router) ObserveCrossing(dataCentre, service string, elapsed time.Duration, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.localizer == nil {
		return
	}
	r.localizer.ObserveHop(r.clock.Now(), dataCentre, elapsed)
	r.localizer.ObserveBytes(service, bytes)
}

// Shares returns which part of the attempts of each service leaves the data centre; nil without a localizer.
func (r *Router) Shares() []localizer.ServiceState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.localizer == nil {
		return nil
	}
	return r.localizer.Shares()
}
