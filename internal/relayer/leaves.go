package relayer

import (
	"context"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/leavekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
	"github.com/marigoldrelay/marigoldrelay/internal/persister"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// RPC methods of the record of leaves.
const (
	methodReadLeaves  = "read-leaves"
	methodStoreLeaves = "store-leaves"
)

const (
	// leavesFolder is the folder with the record of leaves in the data folder.
	leavesFolder = "leaves"
	// recallInterval and maxRecallInterval limit the time between two attempts of a node that has just started to read the leaves
	// of its upstream.
	recallInterval    = 100 * time.Millisecond
	maxRecallInterval = 1600 * time.Millisecond
)

// leaves connects the record of leaves to the node: on a replica it keeps the leaves of all nodes, and elsewhere it stores and
// reads those of the upstream beside the node.
type leaves struct {
	node   *Node
	quorum *leavekeeper.Quorum
	writer *leavekeeper.Writer
	// record is nil on a node without a data folder.
	record *leavekeeper.Record
}

// buildLeaves opens the record of leaves. It is called after buildRegister, which creates the identity of an empty data folder.
func (n *Node) buildLeaves() error {
	l := &leaves{node: n}
	l.quorum = leavekeeper.NewQuorum(l)
	l.writer = leavekeeper.NewWriter(n.clock, l, l)
	n.leaves = l
	n.register.proposer.SetSuccessor(l.quorum)
	if n.settings.DataFolder == "" {
		return nil
	}
	folder, err := persister.Open(filepath.Join(n.settings.DataFolder, leavesFolder))
	if err != nil {
		return merry.Prepend(err, "data-folder")
	}
	l.record, err = leavekeeper.OpenRecord(n.clock, folder)
	if err != nil {
		return merry.Prepend(err, "data-folder")
	}
	n.meter.Gauge("leaves_kept", func() float64 { return float64(l.record.Len()) })
	return nil
}

// addHandlers registers the handlers of requests to a replica.
func (l *leaves) addHandlers(m *messenger.Messenger) {
	addHandler(m, methodStoreLeaves, func(_ context.Context, p leavekeeper.StoreRequest) (leavekeeper.Reply, error) {
		if err := l.checkDisk(p.DiskID); err != nil {
			return leavekeeper.Reply{}, rpcError(err)
		}
		return leavekeeper.Reply{}, l.served(l.record.Store(p))
	})
	addHandler(m, methodReadLeaves, func(_ context.Context, p leavekeeper.ReadRequest) (leavekeeper.Reply, error) {
		if err := l.checkDisk(p.DiskID); err != nil {
			return leavekeeper.Reply{}, rpcError(err)
		}
		entries, err := l.record.Read(p.VM, p.ReplicasRevision)
		return leavekeeper.Reply{Entries: entries}, l.served(err)
	})
}

// checkDisk returns an error if this node is no replica with the disk.
func (l *leaves) checkDisk(diskID string) error {
	switch {
	case l.record == nil:
		return errNotReplica
	case diskID != l.node.register.diskID():
		return replicator.ErrOtherDisk
	default:
		return nil
	}
}

// served counts a request that the record has refused, and returns its error in the form for the calling node.
func (l *leaves) served(err error) error {
	if err != nil {
		l.node.meter.Event("leave_requests_refused")
		l.node.events.write(false, "The record of leaves refuses a request.", "reason", err)
	}
	return rpcError(err)
}

// StoreLeaves implements leavekeeper.Links.
func (l *leaves) StoreLeaves(ctx context.Context, vm string, request leavekeeper.StoreRequest) (leavekeeper.Reply, error) {
	var reply leavekeeper.Reply
	return reply, l.node.register.call(ctx, vm, methodStoreLeaves, request, &reply)
}

// ReadLeaves implements leavekeeper.Links.
func (l *leaves) ReadLeaves(ctx context.Context, vm string, request leavekeeper.ReadRequest) (leavekeeper.Reply, error) {
	var reply leavekeeper.Reply
	err := l.node.register.call(ctx, vm, methodReadLeaves, request, &reply)
	return reply, err
}

// StoreEntries implements leavekeeper.Store. If the replicas have been replaced, it succeeds once the value that names the new ones has
// come: it is pushed to all nodes. To read the register instead would fetch the document from each replica.
func (l *leaves) StoreEntries(ctx context.Context, entries []leavekeeper.Entry) error {
	value := l.node.registerValue()
	if value == nil {
		return replicator.ErrNotBootstrapped
	}
	if !l.node.acceptsChanges() {
		return ErrTooFewReplicas
	}
	return l.quorum.Store(ctx, value, entries)
}

// LeavesStored implements leavekeeper.Observer.
func (l *leaves) LeavesStored(entries []leavekeeper.Entry, took time.Duration) {
	for _, entry := range entries {
		l.node.meter.Event("leaves_stored")
		l.node.log.Info("A leave of the upstream is stored.", "process", entry.Process, "took", took)
	}
}

// LeavesNotStored implements leavekeeper.Observer.
func (l *leaves) LeavesNotStored(entries []leavekeeper.Entry, err error) {
	l.node.meter.Event("leave_store_failures")
	l.node.events.write(false, "A leave of the upstream is not stored yet.", "process", entries[0].Process, "error", err)
}

// confirm returns nil once a leave of the upstream is stored, or at once in a deployment without a register, where it is known to
// this node and those that gossip tells. The error wraps leavekeeper.ErrNotStored or leavekeeper.ErrFull.
func (l *leaves) confirm(ctx context.Context, leave announcer.Leave) error {
	if l.node.registerValue() == nil && !l.node.expectsRegister() {
		return nil
	}
	return l.writer.Confirm(ctx, leavekeeper.Entry{Leave: leave, VM: l.node.settings.Name})
}

// recall reads which processes of the upstream have said to earlier processes of this node that they leave, once, until that
// succeeds or ctx is done. The upstream is served meanwhile. If the replicas have been replaced, it succeeds once the value that names the
// new ones has come.
func (l *leaves) recall(ctx context.Context) {
	n := l.node
	wait := recallInterval
	for ctx.Err() == nil {
		value := n.registerValue()
		if value == nil {
			timekeeper.Sleep(ctx, n.clock, recallInterval)
			continue
		}
		entries, err := l.quorum.Read(ctx, value, n.settings.Name)
		if err == nil {
			for _, entry := range entries {
				n.meter.Event("leaves_recalled")
				n.registrar.MarkLeaving(entry.Leave)
			}
			n.log.Info("The leaves of the upstream are read.", "count", len(entries), "after", n.clock.Now().Sub(n.started))
			return
		}
		n.meter.Event("leave_recalls_failed")
		n.events.write(false, "The leaves of the upstream can't be read yet.", "error", err)
		timekeeper.Sleep(ctx, n.clock, wait)
		wait = min(2*wait, maxRecallInterval)
	}
}

// close releases the record's folder.
func (l *leaves) close() {
	if l.record != nil {
		// The record is already synced, so a failed close loses nothing.
		_ = l.record.Close()
	}
}
