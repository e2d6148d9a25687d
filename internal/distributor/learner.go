// Package distributor brings the newest value of the register to the nodes: whoever has got it chosen pushes it to all
// members, members that hear of a newer one fetch it, and replicas find out whether what they have accepted was chosen.
package distributor

import (
	"context"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// LearnInterval is the interval at which the owner of a Learner must call Check.
const LearnInterval = 100 * time.Millisecond

const (
	// learnDelay is how long the proposer of a value has to tell of it before the first replica asks for it.
	learnDelay = 200 * time.Millisecond
	// learnTurn is how long each replica leaves that to the one before it.
	learnTurn = 150 * time.Millisecond
	// roundDelay is how long a proposer has to finish its round before the first replica runs another one, which would
	// preempt it, and roundTurn how long each replica leaves that to the one before it.
	roundDelay = time.Second
	roundTurn  = 300 * time.Millisecond
	// firstRoundDelay and firstRoundTurn are the same for a replica that has just started with a stored value. It can't ask without
	// a round, since the set of replicas in that value may be an old one.
	firstRoundDelay = 100 * time.Millisecond
	firstRoundTurn  = 200 * time.Millisecond
	// firstRoundPause is the time between two rounds of such a replica. Until others are back, a round fails at once.
	firstRoundPause = 250 * time.Millisecond
	// learnTimeout limits a round.
	learnTimeout = 3 * time.Second
)

// ReplicaNode is the node of a replica.
type ReplicaNode interface {
	// Accepted returns the newest value that the replica has accepted, or nil.
	Accepted() *replicator.Value
	// InForce returns the revision of the value in force, or zero.
	InForce() uint64
	// QueryMajority puts the value in force that a majority of the replicas has accepted, if they agree on one.
	QueryMajority(ctx context.Context) error
	// RunRound puts the newest chosen value in force after a round, which completes a change of the replicas.
	RunRound(ctx context.Context, accepted *replicator.Value) error
	// Turn returns the number of running replicas that come first in the order of their names.
	Turn() int
}

// Learner checks whether a value that the replica of a node has accepted was chosen: the proposer may have ended before it
// could push the value, or before a change of the replicas was complete. One goroutine calls it.
type Learner struct {
	clock timekeeper.Clock
	node  ReplicaNode

	// stored is the revision of the value that the replica had accepted when its process started.
	stored uint64
	// revision is that of the accepted value that is not in force; zero if there is none.
	revision uint64
	// nextQuery and nextRound are the times from which the node asks the others, and runs a round.
	nextQuery, nextRound time.Time
}

// NewLearner returns a learner for the replica of a node.
func NewLearner(clock timekeeper.Clock, node ReplicaNode) *Learner {
	return &Learner{clock: clock, node: node}
}

// SetStored tells the learner the revision of the value that the replica had accepted when its process started. Its proposer has had
// the time to finish. It must be called before Check.
func (l *Learner) SetStored(revision uint64) {
	l.stored = revision
}

// isRestored reports whether the replica has just started and has only the value that it had stored before.
func (l *Learner) isRestored() bool {
	return l.revision == l.stored && l.node.InForce() == 0
}

// Check asks for the chosen value, or runs a round, if it is this node's turn.
func (l *Learner) Check(ctx context.Context) {
	accepted := l.node.Accepted()
	if accepted == nil || !needsRound(accepted, l.node.InForce()) {
		l.revision = 0
		return
	}
	now := l.clock.Now()
	if accepted.Revision != l.revision {
		turn := time.Duration(l.node.Turn())
		l.revision = accepted.Revision
		l.nextQuery, l.nextRound = now.Add(learnDelay+turn*learnTurn), now.Add(roundDelay+turn*roundTurn)
		if l.isRestored() {
			l.nextRound = now.Add(firstRoundDelay + turn*firstRoundTurn)
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	switch {
	case !now.Before(l.nextRound):
		// A failed round is repeated.
		_ = l.node.RunRound(ctx, accepted)
		l.nextRound = l.clock.Now().Add(roundDelay)
		if l.isRestored() {
			l.nextRound = l.clock.Now().Add(firstRoundPause)
		}
	case !now.Before(l.nextQuery) && len(accepted.Previous) == 0:
		// Replicas that don't agree are asked again, and then a round is run.
		_ = l.node.QueryMajority(ctx)
		l.nextQuery = l.clock.Now().Add(learnDelay)
	}
}

// needsRound reports whether a replica that has accepted the value has to learn what was chosen: the value is newer than the
// revision in force, or it needs a majority of its previous replicas as well, whose disks may be lost for good.
func needsRound(accepted *replicator.Value, inForce uint64) bool {
	return accepted.Revision > inForce || len(accepted.Previous) > 0
}
