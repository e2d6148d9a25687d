package router

import (
	"math/rand/v2"
	"time"
)

// Candidate is one upstream that a request can be sent to, with what this node knows of it.
type Candidate struct {
	// Distance is 0 in this node's data centre, 1 in its region and 2 elsewhere.
	Distance int
	// FailureRate is the smoothed fraction of the calls that failed, from 0 to 1.
	FailureRate float64
	// Latency is the last reported mean service time; zero if it is not known.
	Latency time.Duration
	// Name is the member's name.
	Name string
	// Outstanding is the number of this node's calls that wait for the target's response.
	Outstanding int
	// ReportedLoad is the target's load as last reported: running and queued requests per slot.
	ReportedLoad float64
	// ReportAge is the age of the target's last load report, at most maxReportAge.
	ReportAge time.Duration
	// Slow is true if the target's upstream was recently reported to be slow or a response of it was overdue.
	Slow bool
	// StartDelay is how long the upstream's rate limit is expected to delay a new request; zero if it can start at once.
	StartDelay time.Duration
	// Slots is the number of requests that the target's upstream runs at once; zero if it is not known.
	Slots int
	// Weight is from 0 to 1 and lower for a target that is slow or fails.
	Weight float64
}

// Policy picks one of several candidates. A policy with a method WeighsDistance that returns true gets candidates at
// all distances; the others get only the nearest.
type Policy interface {
	// Pick returns an index into candidates, which is not empty.
	Pick(need Need, candidates []Candidate, random *rand.Rand) int
}

// Random picks a candidate at random, all with the same probability.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(_ Need, candidates []Candidate, random *rand.Rand) int {
	return random.IntN(len(candidates))
}

// RoundRobin picks the candidates in turn.
type RoundRobin struct {
	next int
}

// Pick implements Policy.
func (r *RoundRobin) Pick(_ Need, candidates []Candidate, _ *rand.Rand) int {
	r.next++
	return r.next % len(candidates)
}

// LeastOutstanding picks the candidate with the fewest outstanding calls of this node; ties are broken at random.
type LeastOutstanding struct{}

// Pick implements Policy.
func (LeastOutstanding) Pick(_ Need, candidates []Candidate, random *rand.Rand) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch {
		case candidates[i].Outstanding < candidates[best].Outstanding:
			best, ties = i, 1
		case candidates[i].Outstanding == candidates[best].Outstanding:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// TwoChoices picks the one of two random candidates with the lower reported load (Mitzenmacher, 2001).
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(_ Need, candidates []Candidate, random *rand.Rand) int {
	a := random.IntN(len(candidates))
	b := random.IntN(len(candidates))
	if candidates[b].ReportedLoad < candidates[a].ReportedLoad {
		return b
	}
	return a
}

// Weighted picks a candidate with a probability proportional to its weight.
type Weighted struct{}

// Pick implements Policy.
func (Weighted) Pick(_ Need, candidates []Candidate, random *rand.Rand) int {
	totalWeight := 0.0
	for _, c := range candidates {
		totalWeight += c.Weight
	}
	position := random.Float64() * totalWeight
	for i, c := range candidates {
		position -= c.Weight
		if position < 0 {
			return i
		}
	}
	return random.IntN(len(candidates))
}
