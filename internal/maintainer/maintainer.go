// Package maintainer decides which nodes hold the replicas of the register, where no operator names
// them. It only decides: the register's rounds make a change safe, whoever asks for it.
package maintainer

import (
	"slices"
	"strings"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// deadTime is how long a replica must have been given up before another takes its place.
const deadTime = time.Second

// Candidate is a node with a disk.
type Candidate struct {
	DiskID string
	// Gone is true where the node has left or is believed dead.
	Gone bool
	Name string
	// Since is how long the node has been so.
	Since time.Duration
}

// View is what a node knows when it decides.
type View struct {
	Candidates []Candidate
	// Replicas is the set in force.
	Replicas []replicator.Replica
	// Settled is true when the node has run long enough to know all the others.
	Settled bool
	// Wanted is the number of replicas that bears the tolerated losses.
	Wanted int
}

// Next returns the set of replicas that should follow, and whether it differs from the one in force.
// A replica whose disk was replaced gives way to the new disk; further nodes come in up to the wanted
// number; one that is gone gives way to a node that has none.
func Next(view View) ([]replicator.Replica, bool) {
	next := slices.Clone(view.Replicas)
	changed := swapDisks(next, view.Candidates)
	for _, candidate := range fresh(next, view.Candidates) {
		if len(next) < view.Wanted {
			next = append(next, candidate)
			changed = true
			continue
		}
		if i := firstGone(next, &view); i >= 0 {
			next[i] = candidate
			changed = true
		}
	}
	return next, changed
}

// swapDisks replaces the disks of the nodes that came back with another one.
func swapDisks(replicas []replicator.Replica, candidates []Candidate) bool {
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

// fresh returns the live nodes that hold no replica, in the order of their names.
func fresh(replicas []replicator.Replica, candidates []Candidate) []replicator.Replica {
	var found []replicator.Replica
	for _, candidate := range candidates {
		isReplica := func(r replicator.Replica) bool { return r.VM == candidate.Name }
		if !candidate.Gone && candidate.DiskID != "" && !slices.ContainsFunc(replicas, isReplica) {
			found = append(found, replicator.Replica{DiskID: candidate.DiskID, VM: candidate.Name})
		}
	}
	slices.SortFunc(found, func(a, b replicator.Replica) int { return strings.Compare(a.VM, b.VM) })
	return found
}

// firstGone returns the index of a replica whose node is gone for good as far as is known, or -1.
func firstGone(replicas []replicator.Replica, view *View) int {
	return slices.IndexFunc(replicas, func(replica replicator.Replica) bool {
		i := slices.IndexFunc(view.Candidates, func(c Candidate) bool { return c.Name == replica.VM })
		if i < 0 {
			return view.Settled
		}
		return view.Candidates[i].Gone && view.Candidates[i].Since >= deadTime
	})
}

// Acts reports whether the node makes the change now. The first live replica acts; the others follow
// one after the other if nothing comes of it.
func Acts(view View, self string, waited time.Duration) bool {
	var live []string
	for _, replica := range view.Replicas {
		for _, candidate := range view.Candidates {
			if candidate.Name == replica.VM && !candidate.Gone {
				live = append(live, replica.VM)
			}
		}
	}
	slices.Sort(live)
	turn := slices.Index(live, self)
	return turn >= 0 && waited >= time.Duration(turn)*turnTime
}

// turnTime is how long a node leaves the change to the one before it.
const turnTime = 700 * time.Millisecond
