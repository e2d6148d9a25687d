package router

import (
	"math/rand/v2"
	"time"
)

// Costs of a target, as the time that an answer would have to come sooner to make up for them.
const (
	// distancePart is the cost of each step of distance as a part of the target latency: bytes that leave
	// the data centre are only worth it where the answer would be late otherwise.
	distancePart = 0.15
	// defaultTarget stands in where the route sets no target latency.
	defaultTarget = 400 * time.Millisecond
	failureCost   = 600 * time.Millisecond
	fullCost      = 150 * time.Millisecond
	loadCost      = 40 * time.Millisecond
	// reportTime is for how long a target's word on its load is used, ever less. In a large fleet an entry
	// hears of most targets less than once a second.
	reportTime      = 2 * time.Second
	relaxedSlowCost = 100 * time.Millisecond
	slowCost        = 250 * time.Millisecond
	// jitterCost spreads the calls over targets that are alike.
	jitterCost = 4 * time.Millisecond
)

// Cheapest picks the candidate at which an answer is expected soonest, with a price on the bytes that
// leave the data centre. It answers upstreams that are slow for a part of a second at a time: their
// nodes hand requests back, and the caller looks elsewhere for a while.
type Cheapest struct{}

// Pick implements Policy.
func (Cheapest) Pick(need Need, candidates []Candidate, random *rand.Rand) int {
	best, least := 0, time.Duration(0)
	for i := range candidates {
		cost := candidates[i].cost(need) + time.Duration(random.Int64N(int64(jitterCost)))
		if i == 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// IsGlobal reports that the policy weighs the distance itself.
func (Cheapest) IsGlobal() bool {
	return true
}

// isPrompt reports whether the target is believed to have room and its usual speed.
func (c *Candidate) isPrompt(need Need) bool {
	return c.load() < 1 && (need.Relaxed || !c.Slow)
}

// load is the part of the slots that are in use, as far as is known.
func (c *Candidate) load() float64 {
	load := c.Reported * max(0, 1-c.ReportAge.Seconds()/reportTime.Seconds())
	if c.Slots > 0 {
		load = max(load, float64(c.Outstanding)/float64(c.Slots))
	}
	return load
}

func (c *Candidate) cost(need Need) time.Duration {
	target := need.TargetLatency
	if target == 0 {
		target = defaultTarget
	}
	cost := time.Duration(float64(c.Distance) * distancePart * float64(target))
	cost += time.Duration(c.FailureRate * float64(failureCost))
	switch {
	case c.Slow && need.Relaxed:
		cost += relaxedSlowCost
	case c.Slow:
		cost += slowCost
	}
	load := c.load()
	cost += time.Duration(load * load * float64(loadCost))
	if load >= 1 {
		cost += time.Duration(load * float64(fullCost))
	}
	return cost
}
