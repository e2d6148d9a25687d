package router

import (
	"math/rand/v2"
	"time"
)

// Costs of a target. A cost is the time by which the target's response would have to be faster to make up for it.
const (
	// distanceCostFactor is the cost of each step of distance, as a fraction of the target latency: traffic that
	// leaves the data centre is only worth it if the response would be late otherwise.
	distanceCostFactor = 0.15
	// defaultTargetLatency is used if the route sets no target latency.
	defaultTargetLatency = 400 * time.Millisecond
	// failureCost is multiplied by the failure rate.
	failureCost = 600 * time.Millisecond
	// fullCost is multiplied by the load, for a load of at least 1.
	fullCost = 150 * time.Millisecond
	// loadCost is multiplied by the square of the load.
	loadCost = 40 * time.Millisecond
	// reportLifetime is how long a target's load report is used, with linearly falling weight. In a large fleet an
	// entry node gets reports of most targets less than once a second.
	reportLifetime = 2 * time.Second
	// slowCost is the cost of a slow target.
	slowCost = 250 * time.Millisecond
	// jitterCost is the upper bound of a random cost that spreads calls over targets with equal costs.
	jitterCost = 4 * time.Millisecond
)

// Cheapest picks the candidate with the lowest cost: the one from which a response is expected soonest, with an added
// cost for traffic that leaves the data centre. It is made for upstreams that are slow for a fraction of a second at a
// time: their nodes hand attempts back, and entry nodes use other nodes for a while.
type Cheapest struct{}

// Pick implements Policy.
func (Cheapest) Pick(need Need, candidates []Candidate, random *rand.Rand) int {
	return pickLowest(candidates, random, func(c *Candidate) time.Duration { return c.cost(need) })
}

// pickLowest returns the index of the candidate with the lowest cost, to each of which a random one below jitterCost is added.
func pickLowest(candidates []Candidate, random *rand.Rand, cost func(*Candidate) time.Duration) int {
	best, lowest := 0, time.Duration(0)
	for i := range candidates {
		jittered := cost(&candidates[i]) + time.Duration(random.Int64N(int64(jitterCost)))
		if i == 0 || jittered < lowest {
			best, lowest = i, jittered
		}
	}
	return best
}

// WeighsDistance returns true: the policy gets candidates at all distances and weighs the distance itself.
func (Cheapest) WeighsDistance() bool {
	return true
}

// isResponsive reports whether the target is believed to have free slots, its usual speed and room in its rate limit.
func (c *Candidate) isResponsive() bool {
	return c.load() < 1 && !c.Slow && c.StartDelay == 0
}

// load returns the estimated fraction of the slots in use: the reported load, which fades with its age, or this node's
// outstanding calls, whichever is higher.
func (c *Candidate) load() float64 {
	load := c.ReportedLoad * max(0, 1-c.ReportAge.Seconds()/reportLifetime.Seconds())
	if c.Slots > 0 {
		load = max(load, float64(c.Outstanding)/float64(c.Slots))
	}
	return load
}

func (c *Candidate) cost(need Need) time.Duration {
	targetLatency := need.TargetLatency
	if targetLatency == 0 {
		targetLatency = defaultTargetLatency
	}
	cost := time.Duration(float64(c.Distance) * distanceCostFactor * float64(targetLatency))
	cost += time.Duration(c.FailureRate * float64(failureCost))
	cost += c.StartDelay
	if c.Slow {
		cost += slowCost
	}
	load := c.load()
	cost += time.Duration(load * load * float64(loadCost))
	if load >= 1 {
		cost += time.Duration(load * float64(fullCost))
	}
	return cost
}
