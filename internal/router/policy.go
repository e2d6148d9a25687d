package router

import (
	"math/rand/v2"
	"time"
)

// Candidate is one upstream that a request can go to, with what the caller knows of it.
type Candidate struct {
	// Distance is 0 in the own data centre, 1 in the own region and 2 elsewhere.
	Distance int
	// FailureRate is the smoothed part of the calls that failed, from 0 to 1.
	FailureRate float64
	// Latency is the mean time of recent answers; zero where it is not known.
	Latency time.Duration
	// Name is the member's name.
	Name string
	// Outstanding is the number of own calls that wait for the target's answer.
	Outstanding int
	// Reported is the target's load as last reported: running and queued requests for each slot.
	Reported float64
	// ReportAge is how old that report is.
	ReportAge time.Duration
	// Slow is true where the target's upstream was said to be slow of late.
	Slow bool
	// Slots is the number of requests that the target's upstream runs at once; zero where not known.
	Slots int
	// Weight is from 0 to 1; a target that is slow or fails has a lower one.
	Weight float64
}

// Policy picks one of several candidates.
type Policy interface {
	// Pick returns an index into candidates, which is not empty.
	Pick(need Need, candidates []Candidate, random *rand.Rand) int
}

// Random picks any candidate.
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

// LeastOutstanding picks the candidate with the fewest own calls; ties are broken at random.
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

// TwoChoices picks the better of two random candidates by their reported load (Mitzenmacher, 2001).
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(_ Need, candidates []Candidate, random *rand.Rand) int {
	a := random.IntN(len(candidates))
	b := random.IntN(len(candidates))
	if candidates[b].Reported < candidates[a].Reported {
		return b
	}
	return a
}

// Weighted picks a candidate with a probability in proportion to its weight.
type Weighted struct{}

// Pick implements Policy.
func (Weighted) Pick(_ Need, candidates []Candidate, random *rand.Rand) int {
	sum := 0.0
	for _, c := range candidates {
		sum += c.Weight
	}
	at := random.Float64() * sum
	for i, c := range candidates {
		at -= c.Weight
		if at < 0 {
			return i
		}
	}
	return random.IntN(len(candidates))
}
