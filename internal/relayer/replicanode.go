package relayer

import (
	"context"

	"github.com/marigoldrelay/marigoldrelay/internal/maintainer"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// replicaNode is the node of a replica, as distributor.Learner sees it.
type replicaNode struct {
	*register
}

// Accepted implements distributor.ReplicaNode.
func (r replicaNode) Accepted() *replicator.Value {
	return r.acceptor.Accepted()
}

// QueryMajority implements distributor.ReplicaNode.
func (r replicaNode) QueryMajority(ctx context.Context) error {
	value, err := r.proposer.Query(ctx)
	if err != nil {
		return err
	}
	return r.adopt(value)
}

// RunRound implements distributor.ReplicaNode. If the accepted value has a previous set of replicas, it runs a round even if
// the others need none, because that brings this replica up to date.
func (r replicaNode) RunRound(ctx context.Context, accepted *replicator.Value) error {
	if len(accepted.Previous) == 0 {
		_, err := r.Read(ctx)
		return err
	}
	r.assumeAcceptedReplicas()
	value, err := r.proposer.Repair(ctx)
	if err != nil {
		return err
	}
	return r.adopt(value)
}

// Turn implements distributor.ReplicaNode. A node without a value in force counts all replicas that it has stored as running.
func (r replicaNode) Turn() int {
	if r.Local() == nil {
		return r.storedTurn()
	}
	return max(0, maintainer.Turn(r.node.maintainerView()))
}

// storedTurn returns the number of replicas in the accepted value that come before this node.
func (r replicaNode) storedTurn() int {
	accepted := r.acceptor.Accepted()
	if accepted == nil {
		return 0
	}
	turn := 0
	for _, replica := range accepted.Replicas {
		if replica.VM < r.node.settings.Name {
			turn++
		}
	}
	return turn
}
