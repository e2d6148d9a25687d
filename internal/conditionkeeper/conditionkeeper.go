// Package conditionkeeper remembers at an entry node what upstreams have asked for in the answers that the node has
// passed on.
package conditionkeeper

import (
	"slices"
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	// conditionTTL is how long a condition is remembered that has not been told again.
	conditionTTL = 10 * time.Minute
	// leavingTTL is how long attempts to other nodes tell that an upstream of their service leaves. Such an upstream soon
	// ends.
	leavingTTL = 30 * time.Second
	// maxTold limits the conditions that an attempt tells of.
	maxTold = 8
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
	service string
	toldAt  time.Time
}

// New returns an empty keeper.
func New(clock timekeeper.Clock) *Keeper {
	return &Keeper{clock: clock, conditions: make(map[string]keptCondition)}
}

// Record remembers a condition that the node beside an upstream of the service has told. One that asks for nothing ends
// the remembered one. Conditions of a process that was born before the remembered one are ignored.
func (k *Keeper) Record(service string, condition carrier.UpstreamCondition) {
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
	k.conditions[condition.Node] = keptCondition{UpstreamCondition: condition, service: service, toldAt: now}
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

// For returns the conditions to send with an attempt of the service to the node: that of the upstream beside it, and the
// leaving upstreams of the service, since the node can hand the attempt off to a node beside one of these.
func (k *Keeper) For(service, node string) []carrier.UpstreamCondition {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.conditions) == 0 {
		return nil
	}
	now := k.clock.Now()
	var told []carrier.UpstreamCondition
	if own, ok := k.conditions[node]; ok && now.Sub(own.toldAt) <= conditionTTL {
		told = append(told, own.UpstreamCondition)
	}
	for _, kept := range k.leavingBeside(service, node, now) {
		told = append(told, kept.UpstreamCondition)
	}
	told = told[:min(len(told), maxTold)]
	for i := range told {
		told[i].Node = ""
	}
	return told
}

// leavingBeside returns the leaving upstreams of the service beside other nodes, the newest first. It is called with mu
// held.
func (k *Keeper) leavingBeside(service, node string, now time.Time) []keptCondition {
	var leaving []keptCondition
	for name, kept := range k.conditions {
		if name != node && kept.Leaving && kept.service == service && now.Sub(kept.toldAt) <= leavingTTL {
			leaving = append(leaving, kept)
		}
	}
	slices.SortFunc(leaving, func(a, b keptCondition) int { return b.toldAt.Compare(a.toldAt) })
	return leaving
}
