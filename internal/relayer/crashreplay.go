package relayer

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
)

// crashReplayQueueLen is how many members can wait for a replay of known crashes. A member beyond it is queued at
// its next change.
const crashReplayQueueLen = 64

// minCrashHolders is the number of nodes that are told of a crash. If the service has fewer, nodes of others are told as
// well, so that one of them can tell a node of the service that was restarted.
const minCrashHolders = 3

// crashHolders returns the other live nodes that are told of the crashes of a service. A node whose upstream has crashed
// itself is one of them.
func (n *Node) crashHolders(service string) []gossiper.Member {
	var holders, others []gossiper.Member
	for _, m := range n.gossiper.Members() {
		switch {
		case m.Name == n.settings.Name || m.Status > gossiper.StatusSuspect:
		case m.Service == service:
			holders = append(holders, m)
		default:
			others = append(others, m)
		}
	}
	if len(holders) >= minCrashHolders {
		return holders
	}
	// All nodes of a service choose the same ones, whichever of them sees a crash.
	slices.SortFunc(others, func(a, b gossiper.Member) int {
		return cmp.Compare(xxhash.Sum64String(service+"/"+a.Name), xxhash.Sum64String(service+"/"+b.Name))
	})
	return append(holders, others[:min(len(others), minCrashHolders-len(holders))]...)
}

// queueCrashReplay queues a member whose service has known crashes, and that may not have been running when these were
// reported.
func (n *Node) queueCrashReplay(m gossiper.Member) {
	if m.Name == n.settings.Name || !m.IsServing() || !n.quarantiner.KnowsCrashes(m.Service) {
		return
	}
	select {
	case n.crashReplayQueue <- m:
	default:
		n.meter.Event("newcomers_passed_over")
	}
}

// replayCrashes sends the known crashes to each queued member, once per incarnation, until ctx is done. Otherwise
// each node that is started later would lose its upstream to a request that is known to crash upstreams.
func (n *Node) replayCrashes(ctx context.Context) {
	replayed := make(map[string]uint64)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-n.crashReplayQueue:
			if replayed[m.Name] != m.Incarnation && n.replayCrashesTo(ctx, m) {
				replayed[m.Name] = m.Incarnation
			}
		}
	}
}

// replayCrashesTo sends the known crashes of a member's service to it and reports whether all were delivered.
func (n *Node) replayCrashesTo(ctx context.Context, m gossiper.Member) bool {
	for _, crash := range n.quarantiner.KnownCrashes(m.Service) {
		callCtx, cancel := context.WithTimeout(ctx, crashReportTimeout)
		err := n.messenger.Call(callCtx, m.Control, messenger.PurposeMembership, methodCrash, crash, nil)
		cancel()
		if err != nil {
			n.log.Warn("A known crash could not be sent to a member.", "member", m.Name, "process", crash.Process, "error", err)
			return false
		}
	}
	return true
}
