package relayer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/confirmer"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/settingsreader"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// ErrTooFewReplicas is returned for a change while the register has too few replicas to survive the losses
// that it has to tolerate.
var ErrTooFewReplicas = merry.Sentinel("the register has too few replicas yet")

// ErrUnknownService is wrapped by the error for an announcement of a service that is not configured.
var ErrUnknownService = merry.Sentinel("no such service")

// Announce handles an announcement of the upstream beside the node. It returns nil for a leave once that is stored by the register's
// replicas. The error wraps ErrUnknownService if the document in force does not have the service, ErrOtherUpstream, an error of the
// registrar, or leavekeeper.ErrNotStored or ErrFull for a leave of which that is not known when ctx is done; the upstream gets no requests
// all the same.
func (n *Node) Announce(ctx context.Context, a announcer.Announcement) error {
	if document := n.currentDocument(); document != nil {
		if _, ok := document.ServiceNamed(a.Service); !ok {
			n.meter.Event("announcements_of_unknown_service")
			return fmt.Errorf("%w: %s", ErrUnknownService, a.Service)
		}
	}
	_, err := n.announce(ctx, a)
	return err
}

// announce registers an announcement that doesn't contradict the settings, stores its leave if it is one, and returns the lease.
func (n *Node) announce(ctx context.Context, a announcer.Announcement) (announcer.Lease, error) {
	if err := n.identity.Load().check(&a); err != nil {
		n.meter.Event("announcements_of_other_upstream")
		n.events.write(false, "An announcement is not of the upstream that the settings name.", "instance", a.Instance, "error", err)
		return announcer.Lease{}, err
	}
	lease, err := n.registrar.Announce(a)
	if !a.IsLeave() || !n.registrar.IsLeaving(a.Process()) {
		return lease, err
	}
	return lease, n.leaves.confirm(ctx, announcer.Leave{Process: a.Process()})
}

// Withdraw records that the upstream's process is about to exit, as reported by the process itself. A zero born stands for the current
// process of the instance, or all that have started by now. It returns nil once that is stored by the register's replicas. The error
// wraps leavekeeper.ErrNotStored or ErrFull if that is not known when ctx is done; the upstream gets no requests all the same.
func (n *Node) Withdraw(ctx context.Context, process announcer.Process) error {
	n.log.Info("The upstream says that it goes.", "instance", process.Instance, "born", process.Born)
	return n.leaves.confirm(ctx, n.registrar.Withdraw(process))
}

// Change makes a version of the document. It returns ErrTooFewReplicas while the register has too few replicas.
func (n *Node) Change(ctx context.Context, change *replicator.Change) error {
	if !n.acceptsChanges() {
		return ErrTooFewReplicas
	}
	_, err := n.register.Change(ctx, change)
	return err
}

// Read returns the newest value of the register, read from a majority of its replicas.
func (n *Node) Read(ctx context.Context) (*replicator.Value, error) {
	return n.register.Read(ctx)
}

// IsReady reports whether callers can be sent to the node: it has a document, is not draining, and does not wait for its first
// confirmation.
func (n *Node) IsReady() bool {
	return n.currentDocument() != nil && !n.draining.Load() && !n.awaitsConfirmation()
}

// firstConfirmationWait is how long after its start a node can be not ready for lack of a confirmation. Later it is ready for
// requests that need no key.
const firstConfirmationWait = 3 * time.Second

// awaitsConfirmation reports whether the node has just started and would refuse requests with a key for lack of a confirmation.
func (n *Node) awaitsConfirmation() bool {
	isNew := n.clock.Now().Sub(n.started) < firstConfirmationWait
	return isNew && confirmerNode{n.register}.Need().Lifetime > 0 && n.confirmer.Age() == confirmer.Never
}

// Reload applies settings that have changed. Only new seeds, and another service or address of the upstream, take effect while the node
// runs.
func (n *Node) Reload(settings *settingsreader.Settings) {
	var added []netip.AddrPort
	for _, seed := range settings.Seeds {
		if !slices.Contains(n.settings.Seeds, seed) {
			added = append(added, seed)
		}
	}
	n.gossiper.AddSeeds(added)
	n.setIdentity(newUpstreamIdentity(settings))
	n.log.Info("The settings were read again.", "new-seeds", len(added))
}

// ReloadFailed logs that the settings could not be read. The old ones stay in force.
func (n *Node) ReloadFailed(err error) {
	n.log.Error("The settings can't be read again.", "error", err)
}

// DrainFor hands new work to other nodes and finishes what is in flight. For the time notice the node serves as
// before, because callers need it to notice that the node is not ready. Then the upstream gets no more attempts, and
// calls that can outlast the drain are refused. The callers' address stays open until nothing runs at the upstream, which
// may make calls of its own there. The upstream keeps running for the node's next start. DrainFor returns when
// nothing is in flight, or soon after the time limit has passed since the call.
func (n *Node) DrainFor(notice, limit time.Duration) {
	n.log.Info("Draining.", "away", notice, "most", limit)
	started := n.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	defer context.AfterFunc(ctx, n.executor.Stop)()
	n.draining.Store(true)
	for _, l := range n.requestListeners {
		l.Drain()
	}
	timekeeper.Sleep(ctx, n.clock, notice)
	n.dispatcher.RefuseBeyond(started.Add(limit))
	n.leaveService()
	timekeeper.Sleep(ctx, n.clock, min(rerouteDelay, notice))
	awaitZero(ctx, n.executor.Running)
	if n.callerListener != nil {
		n.callerListener.Close(ctx)
	}
	awaitZero(ctx, n.inFlight)
	n.gossiper.Leave()
	n.log.Info("Drained.", "in-flight", n.inFlight(), "took", n.clock.Now().Sub(started))
}

// leaveService announces that the upstream takes no more attempts and refuses those that are queued.
func (n *Node) leaveService() {
	n.gossiper.Drain()
	n.executor.Drain()
}

// awaitZero waits until count returns zero or ctx is done.
func awaitZero(ctx context.Context, count func() int) {
	for count() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
}

// rerouteDelay is how long the other nodes take to send their attempts elsewhere, and late callers theirs.
const rerouteDelay = 300 * time.Millisecond

func (n *Node) inFlight() int {
	count := n.executor.Running()
	for _, l := range n.requestListeners {
		count += l.InFlight()
	}
	return count
}
