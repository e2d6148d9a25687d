package leavekeeper

import (
	"context"
	"maps"
	"slices"

	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// Links sends requests to the replica on a VM. Its methods are called concurrently.
type Links interface {
	ReadLeaves(ctx context.Context, vm string, request ReadRequest) (Reply, error)
	StoreLeaves(ctx context.Context, vm string, request StoreRequest) (Reply, error)
}

// Quorum stores and reads entries on the replicas of the register. With majorities that overlap, an entry that was stored is read as
// long as no more disks are lost than the register bears.
type Quorum struct {
	links Links
}

// NewQuorum returns a quorum that sends its requests through links.
func NewQuorum(links Links) *Quorum {
	return &Quorum{links: links}
}

// Store stores the entries on a majority of each set of replicas of the register's value. The error wraps replicator.ErrNoMajority and
// the errors of the replicas.
func (q *Quorum) Store(ctx context.Context, value *replicator.Value, entries []Entry) error {
	return q.store(ctx, value, StoreRequest{Entries: entries})
}

// store sends a request to the replicas of the value, with their disks and the revision filled in.
func (q *Quorum) store(ctx context.Context, value *replicator.Value, request StoreRequest) error {
	_, err := replicator.AskMajorities(ctx, value, func(ctx context.Context, replica replicator.Replica) (Reply, error) {
		filled := request
		filled.DiskID, filled.ReplicasRevision = replica.DiskID, value.ReplicasRevision
		return q.links.StoreLeaves(ctx, replica.VM, filled)
	})
	return err
}

// Read returns the entries of a node, or of all nodes if vm is empty, that a majority of each set of replicas of the register's value
// holds together. The errors are those of Store.
func (q *Quorum) Read(ctx context.Context, value *replicator.Value, vm string) ([]Entry, error) {
	replies, err := replicator.AskMajorities(ctx, value, func(ctx context.Context, replica replicator.Replica) (Reply, error) {
		return q.links.ReadLeaves(ctx, replica.VM, ReadRequest{
			DiskID: replica.DiskID, ReplicasRevision: value.ReplicasRevision, VM: vm,
		})
	})
	if err != nil {
		return nil, err
	}
	found := make(map[Entry]bool)
	for _, reply := range replies {
		for _, entry := range reply.Entries {
			found[entry] = true
		}
	}
	return slices.Collect(maps.Keys(found)), nil
}

// HandOver implements replicator.Successor: it brings all entries that the previous replicas of a value hold to a majority of its
// replicas. Reading them makes the previous ones refuse what is stored under their set later, so that nothing is missed.
func (q *Quorum) HandOver(ctx context.Context, joint *replicator.Value) error {
	entries, err := q.Read(ctx, joint, "")
	if err != nil || len(entries) == 0 {
		return err
	}
	return q.store(ctx, joint, StoreRequest{Entries: entries, IsHandOver: true})
}
