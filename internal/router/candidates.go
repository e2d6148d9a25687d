package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// Reasons for which a target is not picked.
const (
	RuledOutBackoff   = "backs off after failures"
	RuledOutEvacuated = "its data centre is evacuated"
	RuledOutRegion    = "its region is not allowed"
)

// CandidateState is what the router knows of one target of a service.
type CandidateState struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Region     string `json:"region"`
	// RuledOut is the reason for which the target is not picked now; empty if it can be.
	RuledOut string `json:"ruled-out,omitempty"`
	// Load is the estimated part of the slots in use, above 1 with a queue.
	Load  float64 `json:"load"`
	Slots int     `json:"slots"`
	// ReportAge is the age of the last load report, at most a minute.
	ReportAge validator.Duration `json:"report-age"`
	Slow      bool               `json:"slow,omitempty"`
	// StartDelay is how long a rate limit or coldness is expected to delay a request.
	StartDelay validator.Duration `json:"start-delay,omitempty"`
	distance   int
}

// Candidates returns the targets of a service in the order of their distance and load, those that can't be picked last. It
// changes nothing.
func (r *Router) Candidates(need Need) []CandidateState {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	targets := r.services[need.Service]
	states := make([]CandidateState, 0, len(targets))
	for i, candidate := range r.candidates(targets, now) {
		t := targets[i]
		states = append(states, CandidateState{
			Name: t.Name, DataCentre: t.DataCentre, Region: t.Region, RuledOut: r.ruledOut(&need, t, now), Load: candidate.load(),
			Slots: t.Slots, ReportAge: validator.Duration(candidate.ReportAge.Round(time.Millisecond)), Slow: candidate.Slow,
			StartDelay: validator.Duration(candidate.StartDelay), distance: candidate.Distance,
		})
	}
	slices.SortStableFunc(states, func(a, b CandidateState) int {
		return cmp.Or(cmp.Compare(min(len(a.RuledOut), 1), min(len(b.RuledOut), 1)), cmp.Compare(a.distance, b.distance), cmp.Compare(a.Load, b.Load))
	})
	return states
}

// ruledOut returns the reason for which a target is not picked now, or the empty string. It is called with mu held.
func (r *Router) ruledOut(need *Need, t *target, now time.Time) string {
	switch {
	case r.evacuated[t.DataCentre]:
		return RuledOutEvacuated
	case !need.Allows(t.Region):
		return RuledOutRegion
	case now.Before(t.backoffUntil):
		return RuledOutBackoff
	default:
		return ""
	}
}
