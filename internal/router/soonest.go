package router

import (
	"math/rand/v2"
	"time"
)

// defaultServiceTime is the service time of a target that has reported none.
const defaultServiceTime = 100 * time.Millisecond

// Soonest picks the candidate from which a response is expected soonest, whatever its distance. It is made for a router with
// a localizer, which leaves candidates of one data centre. Unlike Cheapest it counts the expected wait in a queue and not a
// fixed cost of a full target.
type Soonest struct{}

// Pick implements Policy.
func (Soonest) Pick(_ Need, candidates []Candidate, random *rand.Rand) int {
	return pickLowest(candidates, random, (*Candidate).delay)
}

// delay returns by how much the response is expected to be later than that of an idle target.
func (c *Candidate) delay() time.Duration {
	delay := time.Duration(c.FailureRate*float64(failureCost)) + c.StartDelay + c.queueWait()
	if c.Slow {
		delay += slowCost
	}
	load := min(1, c.load())
	return delay + time.Duration(load*load*float64(loadCost))
}

// queueWait returns the expected wait for a free slot.
func (c *Candidate) queueWait() time.Duration {
	if c.Slots == 0 {
		return 0
	}
	serviceTime := c.Latency
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	slots := float64(c.Slots)
	return time.Duration(max(0, c.load()-1+1/slots) * float64(serviceTime))
}
