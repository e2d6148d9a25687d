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
	// formTimeout is how long a new register waits for nodes that it does not know of before it is used with fewer
	// replicas than wanted, and growTimeout how long it waits for those that it knows of.
	formTimeout = 6 * time.Second
	growTimeout = 20 * time.Second
)

// maintainRegister forms the register and maintains its set of replicas until ctx is done, in deployments where no
// operator names the replicas.
func (n *Node) maintainRegister(ctx context.Context) {
	if !n.settings.SelfForming || n.register.acceptor == nil {
		return
	}
	upkeep := &replicaUpkeep{node: n, silent: make(map[string]bool)}
	runEvery(ctx, maintainInterval, func() {
		roundCtx, cancel := context.WithTimeout(ctx, maintainTimeout)
		defer cancel()
		if n.register.Local() == nil {
			n.formRegister(roundCtx)
			return
		}
		upkeep.run(roundCtx)
	})
}

// replicaUpkeep maintains the set of replicas of a register that is formed. Only the goroutine of maintainRegister uses
// it.
type replicaUpkeep struct {
	node *Node
	// silent holds the names of the watched nodes that are silent.
	silent map[string]bool
	// waitingSince is when the change became due that is not made yet; zero if none is due.
	waitingSince time.Time
}

// run watches the nodes of the replicas, and changes the replicas if that is due and this node's turn.
func (u *replicaUpkeep) run(ctx context.Context) {
	n := u.node
	view := n.maintainerView()
	n.gossiper.Watch(maintainer.Watched(&view))
	view.Contacts = n.gossiper.Contacts()
	u.logSilences(&view)
	replicas, changed := maintainer.Next(view)
	now := n.clock.Now()
	switch {
	case !changed:
		u.waitingSince = time.Time{}
		return
	case u.waitingSince.IsZero():
		u.waitingSince = now
		n.log.Info("A change of the replicas is due.", "wanted", replicaNames(replicas))
	}
	if maintainer.ShouldAct(view, now.Sub(u.waitingSince)) {
		n.reconfigure(ctx, replicas)
	}
}

// logSilences logs and counts the watched nodes that have become silent or were heard again.
func (u *replicaUpkeep) logSilences(view *maintainer.View) {
	for name, contact := range view.Contacts {
		isSilent := maintainer.IsSilent(view.Contacts, name)
		switch {
		case isSilent && !u.silent[name]:
			u.silent[name] = true
			u.node.meter.Event("replica_nodes_silent")
			u.node.log.Warn("A watched node is silent.", "member", name, "heard", contact.Heard, "silence", contact.Silence)
		case !isSilent && u.silent[name]:
			delete(u.silent, name)
			u.node.log.Info("A watched node was heard again.", "member", name)
		}
	}
}

func (n *Node) maintainerView() maintainer.View {
	view := maintainer.View{
		Contacts:       n.gossiper.Contacts(),
		Replicas:       n.register.Local().Replicas,
		Self:           n.settings.Name,
		TargetReplicas: n.targetReplicas(),
	}
	for _, m := range n.gossiper.Members() {
		if m.DiskID != "" {
			view.Candidates = append(view.Candidates, maintainer.NewCandidate(&m, m.Name == n.settings.Name && n.draining.Load()))
		}
	}
	return view
}

// targetReplicas returns the number of replicas of which a majority survives the tolerated losses.
func (n *Node) targetReplicas() int {
	return 2*n.settings.ToleratedLosses + 1
}

func (n *Node) reconfigure(ctx context.Context, replicas []replicator.Replica) {
	local := n.register.Local()
	value, err := n.register.proposer.Reconfigure(ctx, local.Revision, replicas)
	if err != nil {
		n.log.Warn("The replicas could not be changed.", "error", err, "revision", local.Revision, "wanted", replicaNames(replicas))
		return
	}
	n.log.Info("The replicas are changed.", "revision", value.Revision, "replicas", replicaNames(value.Replicas))
	if err := n.register.publish(value); err != nil {
		n.log.Error("The value of the register could not be activated.", "error", err)
	}
}

func replicaNames(replicas []replicator.Replica) string {
	text := ""
	for _, replica := range replicas {
		text += replica.VM + "/" + replica.DiskID[:min(4, len(replica.DiskID))] + " "
	}
	return text
}

// formRegister creates the register on the seeds when the deployment starts for the first time. A replica that
// already holds a value reads the register instead.
func (n *Node) formRegister(ctx context.Context) {
	if n.register.acceptor.Accepted() != nil {
		if _, err := n.register.Read(ctx); err != nil {
			n.log.Warn("The register can't be read yet.", "error", err)
		}
		return
	}
	seeds, isSeed := n.seedReplicas()
	if !n.settings.Bootstrap || !isSeed || len(seeds) < len(n.settings.Seeds) {
		return
	}
	// Seeds that start rounds at the same moment would preempt each other's ballots.
	if rand.N(len(seeds)) != 0 {
		return
	}
	value, err := n.register.proposer.CreateEmpty(ctx, seeds)
	if err != nil {
		n.log.Warn("The register is not formed yet.", "error", err)
		return
	}
	n.log.Info("The register is formed.", "replicas", replicaNames(value.Replicas))
	if err := n.register.publish(value); err != nil && !errors.Is(err, context.Canceled) {
		n.log.Error("The value of the register could not be activated.", "error", err)
	}
}

// seedReplicas returns the live seeds whose disks are known, as replicas, and whether this node is a seed.
func (n *Node) seedReplicas() ([]replicator.Replica, bool) {
	var seeds []replicator.Replica
	for _, m := range n.gossiper.Members() {
		isSeed := slices.ContainsFunc(n.settings.Seeds, func(seed netip.AddrPort) bool { return seed == m.Control })
		if isSeed && m.DiskID != "" && m.Status <= gossiper.StatusSuspect {
			seeds = append(seeds, replicator.Replica{DiskID: m.DiskID, VM: m.Name})
		}
	}
	isSelf := func(seed netip.AddrPort) bool { return seed == n.settings.ControlAddress }
	return seeds, slices.ContainsFunc(n.settings.Seeds, isSelf)
}

// acceptsChanges reports whether the register survives the tolerated losses, or has had enough time to get there.
func (n *Node) acceptsChanges() bool {
	local := n.register.Local()
	if local == nil {
		return false
	}
	if len(local.Replicas) >= n.targetReplicas() {
		return true
	}
	return formingTimedOut(n.maintainerView(), n.clock.Now().Sub(n.started))
}

// formingTimedOut reports whether a register with fewer replicas than wanted is used as it is after the node has
// been running for so long. A change that such a register acknowledges does not survive the tolerated losses.
func formingTimedOut(view maintainer.View, running time.Duration) bool {
	if _, changes := maintainer.Next(view); changes || maintainer.HasSpare(&view) {
		return running > growTimeout
	}
	return running > formTimeout
}
