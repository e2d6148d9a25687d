package gossiper

import (
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	// freezeDuration is longer than the time after which a silent member no longer counts as alive.
	freezeDuration = 6 * time.Second
	// knownIncarnation and restartedIncarnation belong to two successive starts of a process, in
	// milliseconds. Between them the system clock was set back by 2.4 s.
	knownIncarnation     = 10_000
	restartedIncarnation = knownIncarnation - 2400
	// maxRejoinDelay is the limit on the time until all members know that a member is running again.
	maxRejoinDelay = 5 * time.Second
)

// TestRestartWithLowerIncarnation guards against a restarted member whose new record is ignored: the system
// clock was set back, so that its incarnation is below the one that its peers know.
func TestRestartWithLowerIncarnation(t *testing.T) {
	n := newNetwork(t, 30)
	restart := func(incarnation uint64) {
		n.stopped[memberName(5)] = true
		n.run(300 * time.Millisecond)
		n.stopped[memberName(5)] = false
		n.add(5, incarnation)
	}
	restart(knownIncarnation)
	n.run(maxRejoinDelay)
	restart(restartedIncarnation)
	n.gossipers[memberName(5)].SetUpstream(announcer.Announcement{Service: "elsewhere", Slots: 3, State: announcer.StateReady})
	rejoined, ok := n.runUntil(maxRejoinDelay, func(g *Gossiper) bool {
		m, _ := g.Member(memberName(5))
		return m.Status == StatusAlive && m.Service == "elsewhere" && m.Incarnation > knownIncarnation
	})
	t.Logf("all members know of the restart after %s", rejoined)
	if !ok {
		t.Errorf("some members do not know of the restart after %s", maxRejoinDelay)
	}
}

// TestFrozenMemberRejoins guards against a member that stays dead to its peers, or misses a drain, after it was
// frozen: a member is halted for 6 s, twice, while the upstream of another one starts to drain.
func TestFrozenMemberRejoins(t *testing.T) {
	n := newNetwork(t, 30)
	n.run(10 * time.Second)
	for range 2 {
		n.stopped[memberName(7)] = true
		n.run(freezeDuration)
		if m, _ := n.gossipers[memberName(1)].Member(memberName(7)); m.Status == StatusAlive {
			t.Fatalf("a member that was silent for %s still counts as alive", freezeDuration)
		}
		n.gossipers[memberName(8)].SetUpstream(announcer.Announcement{Service: "s8", Slots: 12, State: announcer.StateDraining})
		n.stopped[memberName(7)] = false
		n.scheduleTick(memberName(7), n.gossipers[memberName(7)], 0)
		rejoined, ok := n.runUntil(maxRejoinDelay, func(g *Gossiper) bool {
			frozen, _ := g.Member(memberName(7))
			leaving, _ := g.Member(memberName(8))
			return frozen.Status == StatusAlive && leaving.Upstream == announcer.StateDraining
		})
		t.Logf("all members know the frozen member as alive after %s", rejoined)
		if !ok {
			t.Errorf("some members do not know the frozen member as alive after %s", maxRejoinDelay)
		}
	}
}

// TestDrainOutlastsAnnouncements guards against a draining member that is sent attempts again, because a new process of
// its upstream has announced itself as ready.
func TestDrainOutlastsAnnouncements(t *testing.T) {
	n := newNetwork(t, 3)
	n.run(10 * time.Second)
	draining := n.gossipers[memberName(1)]
	draining.SetUpstream(announcer.Announcement{Service: "s1", Slots: 12, State: announcer.StateReady})
	draining.Drain()
	draining.SetUpstream(announcer.Announcement{Service: "s1", Slots: 6, State: announcer.StateReady})
	spread, ok := n.runUntil(maxDrainDelay, func(g *Gossiper) bool {
		m, _ := g.Member(memberName(1))
		return m.Slots == 6 && m.Upstream == announcer.StateDraining
	})
	t.Logf("all members know of the new process after %s", spread)
	if !ok {
		t.Error("some members take the draining member for a serving one")
	}
	draining.SetUpstream(announcer.Announcement{Service: "s1", Slots: 6, State: announcer.StateGone})
	if got := draining.Self().Upstream; got != announcer.StateGone {
		t.Errorf("the upstream that has ended is listed as %s", got)
	}
}

// TestRestartedMemberIsToldOfLeavingUpstream guards against an upstream that has said that it leaves and gets requests again
// after its node was restarted: the members that know of it tell the new process, also where datagrams are lost, the
// system clock was set back, or the node is restarted once more.
func TestRestartedMemberIsToldOfLeavingUpstream(t *testing.T) {
	const maxTellDelay = 2 * time.Second
	leaving := announcer.Announcement{Born: 100, Instance: "i", Service: "s", Slots: 2, State: announcer.StateDraining}
	for _, lossRate := range []float64{0, 0.1} {
		for _, incarnations := range [][]uint64{{knownIncarnation + 1}, {restartedIncarnation}, {knownIncarnation + 1, knownIncarnation + 2}} {
			n := newNetwork(t, 30)
			n.lossRate = lossRate
			name := memberName(5)
			restart := func(incarnation uint64) {
				n.stopped[name] = true
				n.run(300 * time.Millisecond)
				n.stopped[name] = false
				delete(n.remembered, name)
				n.add(5, incarnation)
			}
			restart(knownIncarnation)
			n.run(maxRejoinDelay)
			n.gossipers[name].SetUpstream(leaving)
			n.run(100 * time.Millisecond)
			for _, incarnation := range incarnations {
				restart(incarnation)
				told, ok := n.runUntil(maxTellDelay, func(*Gossiper) bool { return n.remembered[name] == leaving.Process() })
				if !ok {
					t.Errorf("loss %.1f, incarnations %v: the restarted member is not told after %s", lossRate, incarnations, told)
				}
			}
		}
	}
}
