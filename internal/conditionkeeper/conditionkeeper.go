// Package conditionkeeper remembers at an entry node what upstreams have asked for in the answers that the node has
// passed on.
package conditionkeeper

import (
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	// conditionTTL is how long a condition is remembered that has not been told again.
	conditionTTL = 10 * time.Minute
	// maxConditions limits the remembered conditions, of which there is one for each node.
	maxConditions = 1024
)

// Keeper holds the newest condition of the upstream beside each node. It is safe for concurrent use.
type Keeper struct {
	clock timekeeper.Clock

	mu         sync.Mutex
	conditions map[string]keptCondition
}

type keptCondition struct {
	carrier.UpstreamCondition
	toldAt time.Time
}

// New returns an empty keeper.
func New(clock timekeeper.Clock) *Keeper {
	return &Keeper{clock: clock, conditions: make(map[string]keptCondition)}
}

// Record remembers a condition that an upstream's node has told. A condition that asks for nothing ends the remembered one
// of the same process. Conditions of a process that was born before the remembered one are ignored.
func (k *Keeper) Record(condition carrier.UpstreamCondition) {
	k.mu.Lock()
	defer k.mu.Unlock()
	kept, ok := k.conditions[condition.Node]
	if ok && condition.Born != 0 && condition.Born < kept.Born {
		return
	}
	if condition.IsNone() {
		delete(k.conditions, condition.Node)
		return
	}
	now := k.clock.Now()
	if !ok {
		k.makeRoom(now)
	}
	k.conditions[condition.Node] = keptCondition{UpstreamCondition: condition, toldAt: now}
}

// makeRoom drops the expired conditions and, if there are too many, the oldest one. It is called with mu held.
func (k *Keeper) makeRoom(now time.Time) {
	if len(k.conditions) < maxConditions {
		return
	}
	oldest := ""
	for node, kept := range k.conditions {
		if now.Sub(kept.toldAt) > conditionTTL {
			delete(k.conditions, node)
		} else if oldest == "" || kept.toldAt.Before(k.conditions[oldest].toldAt) {
			oldest = node
		}
	}
	if len(k.conditions) >= maxConditions {
		delete(k.conditions, oldest)
	}
}

// For returns the conditions to send with an attempt to the node: that of the upstream beside it, if one is remembered.
func (k *Keeper) For(node string) []carrier.UpstreamCondition {
	k.mu.Lock()
	defer k.mu.Unlock()
	kept, ok := k.conditions[node]
	if !ok || k.clock.Now().Sub(kept.toldAt) > conditionTTL {
		return nil
	}
	return []carrier.UpstreamCondition{kept.UpstreamCondition}
}
