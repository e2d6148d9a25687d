package relayer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/maintainer"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

const (
	maintainInterval = 200 * time.Millisecond
	maintainTimeout  = 3 * time.Second
	// formTime is how long a new register waits for nodes that it does not know of before it is used with
	// fewer replicas than wanted, and growTime how long for those that it knows of.
	formTime = 6 * time.Second
	growTime = 20 * time.Second
	// settledTime is how long a node runs until it knows the others.
	settledTime = 5 * time.Second
)

// maintain forms the register and keeps its replicas where no operator names them.
func (n *Node) maintain(ctx context.Context) {
	if !n.settings.SelfForming || n.register.acceptor == nil {
		return
	}
	var waiting time.Time
	every(ctx, maintainInterval, func() {
		now := n.clock.Now()
		bounded, cancel := context.WithTimeout(ctx, maintainTimeout)
		defer cancel()
		if n.register.Local() == nil {
			n.form(bounded)
			return
		}
		view := n.maintainerView()
		replicas, changed := maintainer.Next(view)
		if !changed {
			waiting = time.Time{}
			return
		}
		if waiting.IsZero() {
			waiting = now
		}
		if maintainer.Acts(view, n.settings.Name, now.Sub(waiting)) {
			n.reconfigure(bounded, replicas)
		}
	})
}

func (n *Node) maintainerView() maintainer.View {
	view := maintainer.View{
		Replicas: n.register.Local().Replicas,
		Settled:  n.clock.Now().Sub(n.started) > settledTime,
		Wanted:   n.wantedReplicas(),
	}
	for _, record := range n.gossiper.Records() {
		if record.DiskID != "" {
			view.Candidates = append(view.Candidates, maintainer.Candidate{
				DiskID: record.DiskID, Gone: record.Status >= gossiper.StatusDead, Name: record.Name, Since: record.Age,
			})
		}
	}
	return view
}

// wantedReplicas is the number of which a majority outlasts the tolerated losses.
func (n *Node) wantedReplicas() int {
	return 2*n.settings.ToleratedLosses + 1
}

func (n *Node) reconfigure(ctx context.Context, replicas []replicator.Replica) {
	local := n.register.Local()
	value, err := n.register.proposer.Reconfigure(ctx, local.Revision, replicas)
	if err != nil {
		n.log.Warn("The replicas could not be changed.", "error", err, "revision", local.Revision, "wanted", names(replicas))
		return
	}
	n.log.Info("The replicas are changed.", "revision", value.Revision, "replicas", names(value.Replicas))
	if err := n.register.publish(value); err != nil {
		n.log.Error("The value of the register can't be followed.", "error", err)
	}
}

func names(replicas []replicator.Replica) string {
	text := ""
	for _, replica := range replicas {
		text += replica.VM + "/" + replica.DiskID[:min(4, len(replica.DiskID))] + " "
	}
	return text
}

// form makes the register at the first start of the deployment, on the seeds. A replica that holds a
// value from before reads it instead.
func (n *Node) form(ctx context.Context) {
	if n.register.acceptor.Accepted() != nil {
		if _, err := n.register.Read(ctx); err != nil {
			n.log.Warn("The register can't be read yet.", "error", err)
		}
		return
	}
	founders, isFounder := n.founders()
	if !n.settings.Bootstrap || !isFounder || len(founders) < len(n.settings.Seeds) {
		return
	}
	// Founders that begin at the same moment would outbid each other.
	if rand.N(len(founders)) != 0 {
		return
	}
	value, err := n.register.proposer.Form(ctx, founders)
	if err != nil {
		n.log.Warn("The register is not formed yet.", "error", err)
		return
	}
	n.log.Info("The register is formed.", "replicas", names(value.Replicas))
	if err := n.register.publish(value); err != nil && !errors.Is(err, context.Canceled) {
		n.log.Error("The value of the register can't be followed.", "error", err)
	}
}

// founders returns the seeds with their disks as far as they are known, and whether the node is one.
func (n *Node) founders() ([]replicator.Replica, bool) {
	var founders []replicator.Replica
	for _, m := range n.gossiper.Members() {
		isSeed := slices.ContainsFunc(n.settings.Seeds, func(seed netip.AddrPort) bool { return seed == m.Control })
		if isSeed && m.DiskID != "" && m.Status <= gossiper.StatusSuspect {
			founders = append(founders, replicator.Replica{DiskID: m.DiskID, VM: m.Name})
		}
	}
	isSelf := func(seed netip.AddrPort) bool { return seed == n.settings.ControlAddress }
	return founders, slices.ContainsFunc(n.settings.Seeds, isSelf)
}

// isFormed reports whether the register bears the tolerated losses, or has had time enough to get there.
func (n *Node) isFormed() bool {
	local := n.register.Local()
	if local == nil {
		return false
	}
	if len(local.Replicas) >= n.wantedReplicas() {
		return true
	}
	return hadTimeToForm(n.maintainerView(), n.clock.Now().Sub(n.started))
}

// hadTimeToForm reports whether a register with fewer replicas than wanted is used as it is, so long after the
// start: a change that it acknowledges does not outlast the tolerated losses.
func hadTimeToForm(view maintainer.View, running time.Duration) bool {
	if _, grows := maintainer.Next(view); grows {
		return running > growTime
	}
	return running > formTime
}
