package gossiper

import (
	"testing"
	"time"
)

// TestReusedAddressIsNotTheEarlierMember guards against a member that is gone and stays alive to all others, because a new
// member at its address acknowledges the pings that are meant for it.
func TestReusedAddressIsNotTheEarlierMember(t *testing.T) {
	const (
		gone, successor = 5, 30
		maxDeathDelay   = 15 * time.Second
	)
	n := newNetwork(t, successor)
	n.run(5 * time.Second)
	n.stopped[memberName(gone)] = true
	n.addAt(successor, 1, memberAddress(gone))
	noticed, ok := n.runUntil(maxDeathDelay, func(g *Gossiper) bool {
		old, _ := g.Member(memberName(gone))
		return old.Status == StatusDead
	})
	t.Logf("all members know that the earlier member is gone after %s", noticed)
	if !ok {
		t.Errorf("some members take the earlier member for alive after %s", maxDeathDelay)
	}
}
