package gossiper

import (
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// TestAnnouncementsAtFleetStart has the upstreams of 300 members announce themselves within one heartbeat interval, as at
// the start of a deployment, while each member's budget allows it to spread some 20 records a second. All members must know
// all upstreams soon: an entry node that knows half of a service sends all of its requests there.
func TestAnnouncementsAtFleetStart(t *testing.T) {
	const (
		members      = 300
		gossipRate   = 2450 // Bytes per second.
		comparePause = 750 * time.Millisecond
		heartbeat    = 1500 * time.Millisecond
		// maxDelay is what is left until the traffic starts, 8 s after the members.
		maxDelay = 8*time.Second - heartbeat
	)
	n := newNetwork(t, members)
	n.comparePause = 750 * time.Millisecond
	for name := range n.gossipers {
		n.budgets[name] = budgeter.NewBytes(n, gossipRate)
	}
	for i := range members {
		n.schedule(heartbeat*time.Duration(i)/members, func() {
			n.gossipers[memberName(i)].SetUpstream(announcer.Announcement{Service: "s", Slots: 11, State: announcer.StateReady})
		})
	}
	n.run(heartbeat)
	knownAfter, ok := n.runUntil(time.Minute, func(g *Gossiper) bool {
		for i := range members {
			if m, _ := g.Member(memberName(i)); m.Service != "s" {
				return false
			}
		}
		return true
	})
	t.Logf("all members know all upstreams %s after the last announcement", knownAfter)
	if !ok || knownAfter > maxDelay {
		t.Errorf("all members know all upstreams after %s, want at most %s", knownAfter, maxDelay)
	}
}
