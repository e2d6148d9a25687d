// Package confirmer finds out for a node whether its document is the newest, so that a node that is cut off from the register
// can stop using an old one in time. The node asks replicas of the register, which read it from a majority.
package confirmer

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	// Never is the age of the confirmation of a node that was never confirmed.
	Never = time.Duration(math.MaxInt64)
	// maxInterval is the time between two questions without a revocation time.
	maxInterval = time.Second
	// jitter is the fraction by which the time between two questions varies, so that the nodes don't ask all at once.
	jitter = 0.1
	// intervalShare is the time between two questions as a fraction of the revocation time. A node that is cut off just before
	// an answer arrives was confirmed for one interval and one answer before. With a revocation time of 5 s these are at most
	// 0.66 s and 0.32 s, which leaves 0.6 of the revocation time to serve without contact.
	intervalShare = 0.12
	// lifetimeShare is how long a confirmation counts as a fraction of the revocation time. The rest covers the rates of the
	// clocks and the time between the check and the start of the request.
	lifetimeShare = 0.8
	// patience is how long a replica has to answer before another one is asked as well.
	patience = 450 * time.Millisecond
	// avoidTime is how long a replica that has not answered in time is asked last.
	avoidTime = 5 * time.Second
	// roundTimeout limits the wait for an answer to any question of a round.
	roundTimeout = 2 * time.Second
	// retryInterval is the pause after a round without an answer.
	retryInterval = 200 * time.Millisecond
)

// Lifetime returns how long a confirmation counts if keys have to be revoked within the given time.
func Lifetime(revocation time.Duration) time.Duration {
	return time.Duration(lifetimeShare * float64(revocation))
}

// Interval returns the time between two questions of a node. The revocation time is zero if there is none.
func Interval(revocation time.Duration) time.Duration {
	if revocation == 0 {
		return maxInterval
	}
	return min(maxInterval, time.Duration(intervalShare*float64(revocation)))
}

// Result is how a round of questions ended, in snake case as the label of a counter.
type Result string

// The values of Result.
const (
	// ResultCurrent means that the document in force is the newest.
	ResultCurrent Result = "current"
	// ResultFetched means that a newer one was fetched.
	ResultFetched Result = "fetched"
	// ResultFetchFailed means that a newer one could not be fetched.
	ResultFetchFailed Result = "fetch_failed"
	// ResultUnanswered means that no replica has answered.
	ResultUnanswered Result = "unanswered"
)

// Results returns all values of Result.
func Results() []Result {
	return []Result{ResultCurrent, ResultFetched, ResultFetchFailed, ResultUnanswered}
}

// Need says whether a node has to be confirmed.
type Need struct {
	// Interval is the time between two questions; zero if none are asked.
	Interval time.Duration
	// Lifetime is how long a confirmation counts for requests with a key; zero for ever.
	Lifetime time.Duration
}

// Node is the node of a Confirmer.
type Node interface {
	// Ask asks a replica, which can be on this node, for the newest revision of the register.
	Ask(ctx context.Context, replica string) (Answer, error)
	// Fetch puts the value of a replica in force if it is newer.
	Fetch(ctx context.Context, replica string) error
	// InForce returns the revision whose document decides on requests.
	InForce() uint64
	// Need returns what the document in force asks for.
	Need() Need
	// Replicas returns the names of the replicas in the order in which they are asked.
	Replicas() []string
}

// Config holds the dependencies of a Confirmer.
type Config struct {
	Clock timekeeper.Clock
	Node  Node
	// OnResult is called with the result of each round of questions. The error is that of the last question or fetch that failed.
	OnResult func(result Result, err error)
	// OnChange is called when the confirmation has become older than its lifetime, and when it counts again.
	OnChange func(isConfirmed bool, age time.Duration)
	// Random returns a number from 0 to 1.
	Random func() float64
	// Uptime returns the time since any moment, with the time for which the machine was suspended.
	Uptime func() time.Duration
}

// Confirmer asks replicas at regular intervals whether the document in force on its node is the newest. It is safe for
// concurrent use.
type Confirmer struct {
	Config

	// confirmedAt is the time on Uptime, plus one nanosecond, for which the document is known to be the newest; zero for never.
	confirmedAt atomic.Int64
	demand      *demand
	// avoidUntil holds the time until which a replica that has not answered in time is asked last, by name. Only Run uses it.
	avoidUntil map[string]time.Time
	// isConfirmed is the state that OnChange was called with last. Only Run uses it.
	isConfirmed bool
	woken       chan struct{}
}

// New returns a confirmer of a node that was never confirmed.
func New(config Config) *Confirmer {
	return &Confirmer{Config: config, avoidUntil: make(map[string]time.Time), demand: newDemand(), woken: make(chan struct{}, 1)}
}

// Age returns the time since the moment for which the node's document is known to be the newest, or Never.
func (c *Confirmer) Age() time.Duration {
	confirmedAt := c.confirmedAt.Load()
	if confirmedAt == 0 {
		return Never
	}
	return c.Uptime() - time.Duration(confirmedAt-1)
}

// Wake makes Run read the node's need again.
func (c *Confirmer) Wake() {
	select {
	case c.woken <- struct{}{}:
	default:
	}
}

// Run asks replicas until ctx is done, while the node needs to be confirmed.
func (c *Confirmer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		need := c.Node.Need()
		if need.Interval == 0 {
			c.awaitWake(ctx)
			continue
		}
		started := c.Clock.Now()
		result, err := c.confirm(ctx)
		if ctx.Err() != nil {
			return
		}
		c.OnResult(result, err)
		c.reportState(need)
		wait := retryInterval
		if result == ResultCurrent || result == ResultFetched {
			interval := time.Duration((1 + jitter*(2*c.Random()-1)) * float64(need.Interval))
			wait = interval - c.Clock.Now().Sub(started)
		}
		c.pause(ctx, started, wait)
	}
}

func (c *Confirmer) awaitWake(ctx context.Context) {
	select {
	case <-c.woken:
	case <-ctx.Done():
	}
}

// pause waits until d has passed, Wake is called or ctx is done. If a request waits for a confirmation, it waits until
// demandInterval has passed since the last round started.
func (c *Confirmer) pause(ctx context.Context, started time.Time, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-c.after(ctx, d):
	case <-c.woken:
	case <-c.demand.asked:
		timekeeper.Sleep(ctx, c.Clock, demandInterval-c.Clock.Now().Sub(started))
	case <-ctx.Done():
	}
}

// confirm asks replicas whether the document in force is the newest, and fetches the newest one if it is not.
func (c *Confirmer) confirm(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	answered, err := c.ask(ctx)
	if err != nil {
		return ResultUnanswered, err
	}
	result := ResultCurrent
	if c.Node.InForce() < answered.answer.Revision {
		result = ResultFetched
		err = c.Node.Fetch(ctx, answered.replica)
	}
	if c.Node.InForce() < answered.answer.Revision {
		return ResultFetchFailed, err
	}
	c.confirmFor(answered.sentAt)
	return result, nil
}

// confirmFor records that the document in force was the newest at a time, or a newer one.
func (c *Confirmer) confirmFor(at time.Duration) {
	stored := int64(at) + 1
	for old := c.confirmedAt.Load(); old < stored; old = c.confirmedAt.Load() {
		if c.confirmedAt.CompareAndSwap(old, stored) {
			c.demand.confirm()
			return
		}
	}
}

// reportState calls OnChange if the confirmation counts no longer, or again.
func (c *Confirmer) reportState(need Need) {
	age := c.Age()
	isConfirmed := age != Never && (need.Lifetime == 0 || age < need.Lifetime)
	if isConfirmed != c.isConfirmed {
		c.isConfirmed = isConfirmed
		c.OnChange(isConfirmed, age)
	}
}
