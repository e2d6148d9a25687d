// Package maintainer decides which nodes hold the replicas of the register if no operator names them. It only
// decides: the register's rounds keep a change safe, whichever node requests it.
package maintainer

import (
	"slices"
	"strings"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

const (
	// silenceLimit is the silence after which a watched node counts as gone.
	silenceLimit = 1200 * time.Millisecond
	// joinTime is the silence after which a node that was never heard from counts as gone. After a start of all nodes
	// they need that time to find each other.
	joinTime = 2 * time.Second
	// maxWatchedSpares is the number of nodes without a replica that are watched, so that one that answers is known when
	// a replica has to be replaced. As many silent ones are watched besides.
	maxWatchedSpares = 3
)

// Candidate is a node that can hold a replica if it has a disk.
type Candidate struct {
	// DiskID identifies the node's disk; empty if it has none.
	DiskID string
	// Gone is true if the node has left or is believed dead by the members.
	Gone bool
	// Leaving is true if the node is still running and will end on purpose.
	Leaving bool
	// Left is true if the node has ended on purpose.
	Left bool
	Name string
}

// View is the information from which a node decides.
type View struct {
	Candidates []Candidate
	// Contacts holds the contact with each watched node, by name.
	Contacts map[string]gossiper.Contact
	// Replicas is the set in force.
	Replicas []replicator.Replica
	// Self is the name of the node that decides.
	Self string
	// TargetReplicas is the number of replicas that is needed to survive the tolerated losses.
	TargetReplicas int
}

// NewCandidate returns the candidate for a member's record.
func NewCandidate(m *gossiper.Member, leaving bool) Candidate {
	return Candidate{
		DiskID: m.DiskID, Gone: m.Status >= gossiper.StatusDead, Leaving: leaving, Left: m.Status == gossiper.StatusLeft, Name: m.Name,
	}
}

// Watched returns the names of the nodes that the node itself has to watch, of which there are few however many nodes
// there are, and whether it watches them only until it has heard from them. A replica watches the other replicas and some
// spare nodes. A spare node looks for each replica once, so that the replicas know it soon after its start.
func Watched(view *View) (names []string, untilHeard bool) {
	for _, replica := range view.Replicas {
		names = append(names, replica.VM)
	}
	if !view.isReplica(view.Self) {
		return names, true
	}
	watchedSpares := make(map[bool]int)
	for _, spare := range spareReplicas(view) {
		isSilent := IsSilent(view.Contacts, spare.VM)
		if watchedSpares[isSilent] < maxWatchedSpares {
			watchedSpares[isSilent]++
			names = append(names, spare.VM)
		}
	}
	return names, false
}

// HasSpare reports whether a live node with a disk holds no replica.
func HasSpare(view *View) bool {
	return len(spareReplicas(view)) > 0
}

// Next returns the set of replicas that should replace the one in force, and whether the two differ. A replica
// whose node has another disk now moves to that disk. Spare nodes that answer are added up to TargetReplicas. After
// that, a replica whose node is gone, or else leaving, is replaced with such a node, if there is one. The change
// is safe whichever node requests it, so a node that was only silent for a while loses its replica and
// becomes a spare.
func Next(view View) ([]replicator.Replica, bool) {
	next := slices.Clone(view.Replicas)
	changed := replaceDisks(next, &view)
	for _, spare := range spareReplicas(&view) {
		if !view.answers(spare.VM) {
			continue
		}
		if len(next) < view.TargetReplicas {
			next = append(next, spare)
			changed = true
			continue
		}
		if i := firstReplaceable(next, &view); i >= 0 {
			next[i] = spare
			changed = true
		}
	}
	return next, changed
}

// replaceDisks updates the disk ids of replicas whose nodes run with another disk, and reports whether there were
// any.
func replaceDisks(replicas []replicator.Replica, view *View) bool {
	changed := false
	for i, replica := range replicas {
		candidate, ok := view.candidate(replica.VM)
		if ok && candidate.DiskID != replica.DiskID && !candidate.Gone && !IsSilent(view.Contacts, replica.VM) {
			replicas[i].DiskID = candidate.DiskID
			changed = true
		}
	}
	return changed
}

// spareReplicas returns the live nodes with a disk that stay and hold no replica, in the order of their names.
func spareReplicas(view *View) []replicator.Replica {
	var spares []replicator.Replica
	for _, candidate := range view.Candidates {
		if !candidate.Gone && !candidate.Leaving && candidate.DiskID != "" && !view.isReplica(candidate.Name) {
			spares = append(spares, replicator.Replica{DiskID: candidate.DiskID, VM: candidate.Name})
		}
	}
	slices.SortFunc(spares, func(a, b replicator.Replica) int { return strings.Compare(a.VM, b.VM) })
	return spares
}

// firstReplaceable returns the index of the first replica whose node is gone or, if there is none, of the first whose
// node is leaving, or -1.
func firstReplaceable(replicas []replicator.Replica, view *View) int {
	gone := slices.IndexFunc(replicas, func(r replicator.Replica) bool { return view.isGone(r.VM) })
	if gone >= 0 {
		return gone
	}
	return slices.IndexFunc(replicas, func(r replicator.Replica) bool {
		candidate, ok := view.candidate(r.VM)
		return ok && candidate.Leaving
	})
}

// isGone reports whether the node of a replica has ended on purpose or been silent for too long.
func (v *View) isGone(name string) bool {
	candidate, ok := v.candidate(name)
	return ok && candidate.Left || IsSilent(v.Contacts, name)
}

// IsSilent reports whether a watched node has been silent for too long.
func IsSilent(contacts map[string]gossiper.Contact, name string) bool {
	contact, ok := contacts[name]
	if !ok {
		return false
	}
	if !contact.Heard {
		return contact.Silence >= joinTime
	}
	return contact.Silence >= silenceLimit
}

// answers reports whether a spare node can get a replica: it is watched and was heard from recently.
func (v *View) answers(name string) bool {
	return v.Contacts[name].Heard && !IsSilent(v.Contacts, name)
}

func (v *View) isReplica(name string) bool {
	return slices.ContainsFunc(v.Replicas, func(r replicator.Replica) bool { return r.VM == name })
}

// candidate returns the candidate with the name, and whether it is known.
func (v *View) candidate(name string) (Candidate, bool) {
	i := slices.IndexFunc(v.Candidates, func(c Candidate) bool { return c.Name == name })
	if i < 0 {
		return Candidate{}, false
	}
	return v.Candidates[i], true
}

// ShouldAct reports whether the node itself should make a change that has been due for the time waited. The replicas that
// run take turns in the order of their names: the first acts at once, each further one turnInterval later if the
// change is still due. One that is leaving acts at once.
func ShouldAct(view View, waited time.Duration) bool {
	turn := Turn(view)
	if candidate, ok := view.candidate(view.Self); ok && candidate.Leaving {
		return turn >= 0
	}
	return turn >= 0 && waited >= time.Duration(turn)*turnInterval
}

// Turn returns the number of running replicas that come before the node itself in the order of their names, or -1 if the node
// has no replica.
func Turn(view View) int {
	var running []string
	for _, replica := range view.Replicas {
		if _, known := view.candidate(replica.VM); known && !view.isGone(replica.VM) {
			running = append(running, replica.VM)
		}
	}
	slices.Sort(running)
	return slices.Index(running, view.Self)
}

// turnInterval is how long each replica leaves the change to the one before it.
const turnInterval = 700 * time.Millisecond
