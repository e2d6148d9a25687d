// Package maintainer decides which nodes hold the replicas of the register if no operator names them. It only
// decides: the register's rounds keep a change safe, whichever node requests it.
package maintainer

import (
	"slices"
	"strings"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// replacementDelay is how long a replica's node must have been gone before another node replaces it.
const replacementDelay = time.Second

// Candidate is a node that can hold a replica if it has a disk.
type Candidate struct {
	// DiskID identifies the node's disk; empty if it has none.
	DiskID string
	// Gone is true if the node has left or is believed dead.
	Gone bool
	// Leaving is true if the node is still running and will end on purpose.
	Leaving bool
	Name    string
	// StateAge is how long the node has been in its current state.
	StateAge time.Duration
}

// View is the information from which a node decides.
type View struct {
	Candidates []Candidate
	// Replicas is the set in force.
	Replicas []replicator.Replica
	// KnowsAllNodes is true if the node has run long enough to know all other nodes.
	KnowsAllNodes bool
	// TargetReplicas is the number of replicas that is needed to survive the tolerated losses.
	TargetReplicas int
}

// Next returns the set of replicas that should replace the one in force, and whether the two differ. A replica
// whose node has another disk now moves to that disk. Further nodes are added up to TargetReplicas. After
// that, a replica whose node is gone, or else leaving, is replaced with a live node that holds no replica, if there is
// one.
func Next(view View) ([]replicator.Replica, bool) {
	next := slices.Clone(view.Replicas)
	changed := replaceDisks(next, view.Candidates)
	for _, candidate := range spareReplicas(next, view.Candidates) {
		if len(next) < view.TargetReplicas {
			next = append(next, candidate)
			changed = true
			continue
		}
		if i := firstReplaceable(next, &view); i >= 0 {
			next[i] = candidate
			changed = true
		}
	}
	return next, changed
}

// replaceDisks updates the disk ids of replicas whose live nodes have another disk, and reports whether there were
// any.
func replaceDisks(replicas []replicator.Replica, candidates []Candidate) bool {
	changed := false
	for i, replica := range replicas {
		for _, candidate := range candidates {
			if candidate.Name == replica.VM && candidate.DiskID != replica.DiskID && !candidate.Gone {
				replicas[i].DiskID = candidate.DiskID
				changed = true
			}
		}
	}
	return changed
}

// spareReplicas returns the live nodes with a disk that stay and hold no replica, in the order of their names.
func spareReplicas(replicas []replicator.Replica, candidates []Candidate) []replicator.Replica {
	var spares []replicator.Replica
	for _, candidate := range candidates {
		isReplica := func(r replicator.Replica) bool { return r.VM == candidate.Name }
		if !candidate.Gone && !candidate.Leaving && candidate.DiskID != "" && !slices.ContainsFunc(replicas, isReplica) {
			spares = append(spares, replicator.Replica{DiskID: candidate.DiskID, VM: candidate.Name})
		}
	}
	slices.SortFunc(spares, func(a, b replicator.Replica) int { return strings.Compare(a.VM, b.VM) })
	return spares
}

// firstReplaceable returns the index of the first replica whose node counts as permanently gone or, if there is none, of
// the first whose node is leaving, or -1.
func firstReplaceable(replicas []replicator.Replica, view *View) int {
	gone := slices.IndexFunc(replicas, view.isGone)
	if gone >= 0 {
		return gone
	}
	return slices.IndexFunc(replicas, view.isLeaving)
}

// isGone reports whether the replica's node counts as permanently gone: after replacementDelay, or if it is unknown to
// a node that knows all others.
func (v *View) isGone(replica replicator.Replica) bool {
	candidate, ok := v.candidate(replica.VM)
	if !ok {
		return v.KnowsAllNodes
	}
	return candidate.Gone && candidate.StateAge >= replacementDelay
}

func (v *View) isLeaving(replica replicator.Replica) bool {
	candidate, ok := v.candidate(replica.VM)
	return ok && candidate.Leaving
}

// candidate returns the candidate with the name, and whether it is known.
func (v *View) candidate(name string) (Candidate, bool) {
	i := slices.IndexFunc(v.Candidates, func(c Candidate) bool { return c.Name == name })
	if i < 0 {
		return Candidate{}, false
	}
	return v.Candidates[i], true
}

// ShouldAct reports whether the node self should make a change that has been due for the time waited. The live replicas
// take turns in the order of their names: the first acts at once, each further one turnInterval later if the
// change is still due. One that is leaving acts at once.
func ShouldAct(view View, self string, waited time.Duration) bool {
	var live []string
	for _, replica := range view.Replicas {
		for _, candidate := range view.Candidates {
			if candidate.Name == replica.VM && !candidate.Gone {
				live = append(live, replica.VM)
			}
		}
	}
	slices.Sort(live)
	position := slices.Index(live, self)
	if candidate, ok := view.candidate(self); ok && candidate.Leaving {
		return position >= 0
	}
	return position >= 0 && waited >= time.Duration(position)*turnInterval
}

// turnInterval is how long each replica leaves the change to the one before it.
const turnInterval = 700 * time.Millisecond
