package relayer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/settingsreader"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// ErrForming is returned for a change while the register has too few replicas to bear the losses that
// it must.
var ErrForming = merry.Sentinel("the register has too few replicas yet")

// ErrUnknownService is wrapped by the error of an announcement for a service that is not configured.
var ErrUnknownService = merry.Sentinel("no such service")

// Announce takes what the upstream beside the node says of itself.
func (n *Node) Announce(a announcer.Announcement) error {
	if document := n.current(); document != nil {
		if _, ok := document.ServiceNamed(a.Service); !ok {
			return fmt.Errorf("%w: %s", ErrUnknownService, a.Service)
		}
	}
	_, err := n.registrar.Announce(a)
	return err
}

// Withdraw notes that the upstream's process goes.
func (n *Node) Withdraw(instance string, born int64) {
	n.log.Info("The upstream says that it goes.", "instance", instance, "born", born)
	n.registrar.Withdraw(instance, born)
}

// Change makes a version of the document.
func (n *Node) Change(ctx context.Context, change *replicator.Change) error {
	if !n.isFormed() {
		return ErrForming
	}
	_, err := n.register.Change(ctx, change)
	return err
}

// Read returns the newest value of the register, as a majority of its replicas knows it.
func (n *Node) Read(ctx context.Context) (*replicator.Value, error) {
	return n.register.Read(ctx)
}

// IsReady reports whether callers can be sent to the node: it has a document and does not leave.
func (n *Node) IsReady() bool {
	return n.current() != nil && !n.leaving.Load()
}

// Reload follows settings that have changed. Only seeds can change while the node runs.
func (n *Node) Reload(settings *settingsreader.Settings) {
	var added []netip.AddrPort
	for _, seed := range settings.Seeds {
		if !slices.Contains(n.settings.Seeds, seed) {
			added = append(added, seed)
		}
	}
	n.gossiper.AddSeeds(added)
	n.log.Info("The settings were read again.", "new-seeds", len(added))
}

// ReloadFailed notes that settings could not be read. The old ones stay in force.
func (n *Node) ReloadFailed(err error) {
	n.log.Error("The settings can't be read again.", "error", err)
}

// DrainFor hands new work to others and finishes what is in flight. For the time away everything goes on,
// since callers need it to notice that the node is not ready; then the upstream is left to the node's
// next start and no more requests are taken. It returns when nothing is in flight, or after the time most.
func (n *Node) DrainFor(away, most time.Duration) {
	n.log.Info("Draining.", "away", away, "most", most)
	started := n.clock.Now()
	n.leaving.Store(true)
	for _, l := range n.entries {
		l.Drain()
	}
	time.Sleep(away)
	self := n.gossiper.Self()
	n.gossiper.SetUpstream(self.Service, self.Slots, announcer.StateDraining)
	n.executor.Drain()
	time.Sleep(min(settleTime, away))
	if n.callers != nil {
		n.callers.Shut()
	}
	for n.inFlight() > 0 && n.clock.Now().Sub(started) < most {
		time.Sleep(drainPoll)
	}
	n.gossiper.Leave()
	n.log.Info("Drained.", "in-flight", n.inFlight(), "took", n.clock.Now().Sub(started))
}

// settleTime is how long the other nodes take to send their attempts elsewhere.
const settleTime = 100 * time.Millisecond

func (n *Node) inFlight() int {
	count := n.executor.Running()
	for _, l := range n.entries {
		count += l.InFlight()
	}
	return count
}
