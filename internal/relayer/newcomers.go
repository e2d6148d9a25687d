package relayer

import (
	"context"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
)

// newcomersKept is how many newcomers can wait to be told; further ones are told at their next change.
const newcomersKept = 64

// noteNewcomer has a node of the own service told of crashes if it may not have been there when they were.
func (n *Node) noteNewcomer(m gossiper.Member) {
	if m.Name == n.settings.Name || !m.IsServing() || m.Service != n.service() || n.quarantiner.IsEmpty() {
		return
	}
	select {
	case n.newcomers <- m:
	default:
		n.meter.Event("newcomers_passed_over")
	}
}

// tellNewcomers tells the nodes that are started of the requests that have crashed upstreams, until ctx is done:
// otherwise each of them would lose its upstream to such a request.
func (n *Node) tellNewcomers(ctx context.Context) {
	told := make(map[string]uint64)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-n.newcomers:
			if told[m.Name] != m.Incarnation && n.tellCrashes(ctx, m) {
				told[m.Name] = m.Incarnation
			}
		}
	}
}

// tellCrashes tells one node of the crashes that are known of its service. It reports whether all were heard.
func (n *Node) tellCrashes(ctx context.Context, m gossiper.Member) bool {
	for _, crash := range n.quarantiner.Known(m.Service) {
		calling, cancel := context.WithTimeout(ctx, crashTimeout)
		err := n.messenger.Call(calling, m.Control, messenger.PurposeMembership, methodCrash, crash, nil)
		cancel()
		if err != nil {
			n.log.Warn("A node could not be told of a crash.", "member", m.Name, "instance", crash.Instance, "error", err)
			return false
		}
	}
	return true
}
