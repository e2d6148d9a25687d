package gossiper

import (
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	// freezeTime is longer than the time after which a silent member counts as dead.
	freezeTime = 6 * time.Second
	// restartedIncarnation and knownIncarnation are of two starts of a process, in milliseconds. Between
	// them the time of day went back by 2.4 s.
	knownIncarnation     = 10_000
	restartedIncarnation = knownIncarnation - 2400
	// rejoinTime is until when all must know again of a member that is back.
	rejoinTime = 5 * time.Second
)

// TestTimeOfDayStepsBack restarts a member under an incarnation below the one that its peers know, with
// another upstream. All must take its new record.
func TestTimeOfDayStepsBack(t *testing.T) {
	n := newNetwork(t, 30)
	restart := func(incarnation uint64) {
		n.stopped[name(5)] = true
		n.run(300 * time.Millisecond)
		n.stopped[name(5)] = false
		n.add(5, incarnation)
	}
	restart(knownIncarnation)
	n.run(rejoinTime)
	restart(restartedIncarnation)
	n.views[name(5)].SetUpstream("elsewhere", 3, announcer.StateReady)
	back, ok := n.until(rejoinTime, func(g *Gossiper) bool {
		m, _ := g.Member(name(5))
		return m.Status == StatusAlive && m.Service == "elsewhere" && m.Incarnation > knownIncarnation
	})
	t.Logf("all know of the restart after %s", back)
	if !ok {
		t.Errorf("not all know of the restart after %s", rejoinTime)
	}
}

// TestFrozenMemberComesBack halts a member for 6 s, twice, while another leaves. Its peers must believe in
// it again soon, and it must know by then who has left.
func TestFrozenMemberComesBack(t *testing.T) {
	n := newNetwork(t, 30)
	n.run(10 * time.Second)
	for range 2 {
		n.stopped[name(7)] = true
		n.run(freezeTime)
		if m, _ := n.views[name(1)].Member(name(7)); m.Status == StatusAlive {
			t.Fatalf("a member that was silent for %s counts as alive", freezeTime)
		}
		n.views[name(8)].SetUpstream("s8", 12, announcer.StateDraining)
		n.stopped[name(7)] = false
		n.tick(name(7), n.views[name(7)], 0)
		back, ok := n.until(rejoinTime, func(g *Gossiper) bool {
			frozen, _ := g.Member(name(7))
			leaving, _ := g.Member(name(8))
			return frozen.Status == StatusAlive && leaving.Upstream == announcer.StateDraining
		})
		t.Logf("alive for all after %s", back)
		if !ok {
			t.Errorf("not alive for all after %s", rejoinTime)
		}
	}
}
