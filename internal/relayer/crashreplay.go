package relayer

import (
	"context"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
)

// crashReplayQueueLen is how many members can wait for a replay of known crashes. A member beyond it is queued at
// its next change.
const crashReplayQueueLen = 64

// queueCrashReplay queues a member of the node's own service that may not have been running when crashes were
// reported.
func (n *Node) queueCrashReplay(m gossiper.Member) {
	if m.Name == n.settings.Name || !m.IsServing() || m.Service != n.service() || n.quarantiner.IsEmpty() {
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
			n.log.Warn("A known crash could not be sent to a member.", "member", m.Name, "instance", crash.Instance, "error", err)
			return false
		}
	}
	return true
}
