// Package quotagranter decides how many tokens of a workspace's quota a replica of the register leases to entry nodes. Each of n
// replicas grants 1/n of each quota from a token bucket of its own, so that no message between replicas is needed and a
// partition leaves each side the part of its replicas.
package quotagranter

import (
	"sync"
	"time"
)

const (
	// maxAge is the age of the confirmation of its revision up to which a granter grants: a replica that was replaced and can't
	// know it stops after that time.
	maxAge = 2 * time.Second
	// settleTime is how long a granter waits before it begins under a set of replicas that is new to it, and before it uses a larger
	// share: until a replaced one has stopped and its last tokens have expired.
	settleTime = maxAge + maxLease
	// askInterval is the time that a granter without tokens lets pass until the next question, if its bucket does not overflow
	// meanwhile. At high rates a question would else bring one token.
	askInterval = 100 * time.Millisecond
	// maxNext limits the time that a granter names, since limits can change meanwhile.
	maxNext = 10 * time.Second
	// minSweepBuckets is the number of buckets from which idle ones are looked for.
	minSweepBuckets = 64
)

// Freshness tells since when the node's value of the register is known to be the newest.
type Freshness interface {
	// Age returns the time since the moment for which the value in force is known to be the newest.
	Age() time.Duration
}

// Config is what a granter derives from a value of the register.
type Config struct {
	// IsReplica is true if this node is one of the replicas.
	IsReplica bool
	Limits    *Limits
	// Replicas is the number of replicas or, while the set changes, that of the larger set.
	Replicas int
	// ReplicasRevision is the revision at which the set of replicas changed last; zero if that is not known.
	ReplicasRevision uint64
	// Standalone is true if there is no register. The node then holds the whole quota for its own callers.
	Standalone bool
}

// division is the number of granters by which the quotas are divided from a time on.
type division struct {
	from     time.Duration
	granters int
}

// Granter grants the tokens of one replica. It is safe for concurrent use. Times are those of a clock that counts suspension.
type Granter struct {
	freshness Freshness

	mu      sync.Mutex
	buckets map[string]*bucket
	config  Config
	// divisor is the number of granters that the buckets are sized for.
	divisor int
	// recorded is the revision of the set of replicas in the durable record: the granter has begun under that set, in this
	// process or an earlier one. It is zero if there is none.
	recorded uint64
	// setSettledAt is when granters that have missed the last change of the set of replicas have stopped.
	setSettledAt time.Duration
	// divisions are the divisors since the granter has begun, the oldest first. The last one is in force, or will be.
	divisions []division
	// startsAt is when the granter begins with empty buckets.
	startsAt time.Duration
	// sweepAt is the number of buckets at which idle ones are dropped.
	sweepAt int
}

// New returns a granter that grants nothing until Configure is called.
func New(freshness Freshness) *Granter {
	return &Granter{freshness: freshness, buckets: make(map[string]*bucket), sweepAt: minSweepBuckets}
}

// Configure applies a value of the register. It must be called before the value is confirmed. A node that was no replica, or that
// may have missed that it was replaced for a time, begins anew.
func (g *Granter) Configure(now time.Duration, config Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyDivisions(now)
	old := g.config
	g.config = config
	if !old.IsReplica || old.ReplicasRevision != config.ReplicasRevision {
		g.setSettledAt = now + settleTime
	}
	switch {
	case config.Standalone && old.Standalone:
		g.resizeAll(now)
	case config.Standalone:
		g.restart(now, now, 1)
	case !config.IsReplica:
		clear(g.buckets)
	case !old.IsReplica || g.freshness.Age() > maxAge:
		g.restart(now, now+g.settleTimeOf(config), config.Replicas)
	default:
		g.changeDivision(now, config.Replicas)
		g.applyDivisions(now)
		g.resizeAll(now)
	}
}

// settleTimeOf returns how long the granter waits until it begins. It needs no wait under a set of replicas under which it has
// begun before: each replica that is not in the set had stopped by then. Since its buckets are empty, what it grants and what
// it granted before are together within the share of one granter.
func (g *Granter) settleTimeOf(config Config) time.Duration {
	if config.ReplicasRevision != 0 && config.ReplicasRevision == g.recorded {
		return 0
	}
	return settleTime
}

// SetRecorded tells the granter the revision of the set of replicas that its node has recorded durably.
func (g *Granter) SetRecorded(replicasRevision uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recorded = replicasRevision
}

// Unrecorded returns the revision of the set of replicas that has to be recorded, since the granter has begun under it. It
// reports false if there is none.
func (g *Granter) Unrecorded(now time.Duration) (replicasRevision uint64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	revision := g.config.ReplicasRevision
	hasBegun := g.config.IsReplica && now >= max(g.startsAt, g.setSettledAt)
	return revision, hasBegun && revision != 0 && revision != g.recorded
}

// restart drops all tokens and begins at a later time.
func (g *Granter) restart(now, startsAt time.Duration, granters int) {
	clear(g.buckets)
	g.startsAt = max(now, startsAt)
	g.divisor = max(1, granters)
	g.divisions = []division{{from: g.startsAt, granters: g.divisor}}
}

// changeDivision divides the quotas by another number of granters: at once if it is larger, and else when granters that have
// missed the change have stopped.
func (g *Granter) changeDivision(now time.Duration, granters int) {
	granters = max(1, granters)
	last := g.divisions[len(g.divisions)-1]
	current := max(g.granters(now), last.granters)
	if last.from > now && last.granters < current {
		g.divisions = g.divisions[:len(g.divisions)-1]
	}
	from := max(now, g.startsAt)
	if granters < current {
		from += settleTime
	}
	if granters != current {
		g.divisions = append(g.divisions, division{from: from, granters: granters})
	}
	g.divisions = g.divisions[max(0, len(g.divisions)-maxDivisions):]
}

// maxDivisions limits the history from which the level of a new bucket is computed. Without the oldest part it is lower.
const maxDivisions = 8

// granters returns the number of granters by which the quotas are divided now.
func (g *Granter) granters(now time.Duration) int {
	granters := g.divisions[0].granters
	for _, s := range g.divisions {
		if s.from <= now {
			granters = s.granters
		}
	}
	return granters
}

// applyDivisions resizes the buckets if another divisor has come in force.
func (g *Granter) applyDivisions(now time.Duration) {
	if len(g.divisions) == 0 {
		return
	}
	last := g.divisions[len(g.divisions)-1]
	if last.from > now || g.divisor == last.granters {
		return
	}
	g.divisor = last.granters
	g.resizeAll(last.from)
}

// resizeAll adapts the buckets to the limits and the divisor in force. The bucket of a workspace that has no quota any more goes
// on, in case it gets one again.
func (g *Granter) resizeAll(now time.Duration) {
	for name, b := range g.buckets {
		if limit, ok := g.config.Limits.Of(name); ok {
			b.resize(now, g.shareOf(now, limit))
		}
	}
}

// shareOf returns the share of a workspace's quota with the divisor in force. The window's limit grows only when all that was
// granted under a larger divisor, perhaps by a granter that is not in the set any more, is out of the window.
func (g *Granter) shareOf(now time.Duration, limit Limit) quotaShare {
	s := g.config.Limits.perGranter(limit, g.divisor)
	s.most = g.mostOf(now, limit)
	return s
}

func (g *Granter) mostOf(now time.Duration, limit Limit) int {
	divisor := g.divisor
	for i, s := range g.divisions {
		hasEnded := i+1 < len(g.divisions) && g.divisions[i+1].from <= now-g.config.Limits.span()
		if s.from <= now && !hasEnded {
			divisor = max(divisor, s.granters)
		}
	}
	return g.config.Limits.perGranter(limit, divisor).most
}

// Grant answers a question.
func (g *Granter) Grant(now time.Duration, q Question) Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason := g.unavailability(now); reason != "" {
		return Reply{Unavailable: reason}
	}
	limit, ok := g.config.Limits.Of(q.Workspace)
	if !ok {
		return Reply{Unavailable: UnavailableNoQuota}
	}
	g.applyDivisions(now)
	b := g.bucketOf(now, q.Workspace, limit)
	b.refill(now)
	b.most = g.mostOf(now, limit)
	b.addDenied(q.Denied)
	reply := Reply{Granted: b.take(now, q.Wanted)}
	if reply.Granted < q.Wanted {
		next := max(b.untilGrant(now, 1), min(askInterval, b.untilLevel(b.capacity/2)))
		reply.NextMillis = millis(min(maxNext, next))
		reply.BackMillis = millis(b.untilGrant(now, 1+b.denied))
	}
	return reply
}

// millis returns the duration in milliseconds, rounded up.
func millis(d time.Duration) int {
	return int((d + time.Millisecond - 1) / time.Millisecond)
}

// unavailability returns why the granter can't grant now, or the empty value.
func (g *Granter) unavailability(now time.Duration) Unavailability {
	switch {
	case g.config.Standalone:
		return ""
	case !g.config.IsReplica:
		return UnavailableNoReplica
	case now < g.startsAt:
		return UnavailableSettling
	case g.freshness.Age() > maxAge:
		return UnavailableNotFresh
	default:
		return ""
	}
}

// bucketOf returns the bucket of the workspace. Workspaces that have not been asked for have none: a new one gets the tokens that
// it would have gathered since the granter has begun.
func (g *Granter) bucketOf(now time.Duration, workspace string, limit Limit) *bucket {
	if b, ok := g.buckets[workspace]; ok {
		return b
	}
	if len(g.buckets) >= g.sweepAt {
		g.dropIdle(now)
	}
	first := g.divisions[0]
	b := newBucket(first.from, g.config.Limits.perGranter(limit, first.granters))
	for _, s := range g.divisions[1:] {
		if s.from <= now {
			b.resize(s.from, g.config.Limits.perGranter(limit, s.granters))
		}
	}
	g.buckets[workspace] = b
	return b
}

// dropIdle drops the buckets that are full. The number of buckets must double until it is called again, so that its cost is
// spread over the new ones.
func (g *Granter) dropIdle(now time.Duration) {
	for name, b := range g.buckets {
		b.refill(now)
		b.window.advance(now)
		if b.isIdle() {
			delete(g.buckets, name)
		}
	}
	g.sweepAt = max(minSweepBuckets, 2*len(g.buckets))
}

// Buckets returns the number of workspaces for which the granter keeps a bucket.
func (g *Granter) Buckets() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.buckets)
}
