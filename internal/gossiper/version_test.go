package gossiper

import (
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// TestVersionIsSentWhenBudgetAllows guards against a document version that is counted as sent while the budget for updates
// forbids every send, and that nobody is told of afterwards.
func TestVersionIsSentWhenBudgetAllows(t *testing.T) {
	const (
		members    = 74
		gossipRate = 2450 // Bytes per second.
		// debt is more than a node may owe, so that it can send again after two seconds.
		debt = 10 * gossipRate
	)
	n := newNetwork(t, members)
	n.run(10 * time.Second)
	for name, g := range n.gossipers {
		n.budgets[name] = budgeter.NewBytes(n, gossipRate)
		g.SetUpstream(announcer.Announcement{Service: "s", Slots: 3, State: announcer.StateReady})
	}
	first := n.gossipers[memberName(0)]
	n.budgets[memberName(0)].Charge(debt)
	first.SetVersion(1)
	pending := first.versionSendsLeft
	n.run(1900 * time.Millisecond)
	if first.versionSendsLeft != pending {
		t.Errorf("%d sends of the version are left of %d, though the budget has allowed none", first.versionSendsLeft, pending)
	}
	n.run(6 * time.Second)
	if first.versionSendsLeft == pending {
		t.Errorf("the version was not sent when the budget allowed it")
	}
}
