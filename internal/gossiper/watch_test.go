package gossiper

import (
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	// maxNoticeDelay is the limit on the time until the silence of a watched member shows.
	maxNoticeDelay = 3 * watchTicks * TickInterval
	// lastMember is the member that the tests stop.
	lastMember = 13
)

// watchLast makes the first five members watch the last one.
func watchLast(n *network) {
	for i := range 5 {
		n.gossipers[memberName(i)].Watch([]string{memberName(lastMember)}, false)
	}
}

// TestSilenceShowsSoonInLargeDeployments guards against a watch that is as slow as the detection of dead members, which
// takes longer with more members.
func TestSilenceShowsSoonInLargeDeployments(t *testing.T) {
	for _, count := range []int{14, 100} {
		n := newNetwork(t, count)
		watchLast(n)
		n.run(5 * time.Second)
		for i := range 5 {
			contact := n.gossipers[memberName(i)].Contacts()[memberName(lastMember)]
			if !contact.Heard || contact.Silence > maxNoticeDelay {
				t.Errorf("%d members: the contact with a running member is %+v", count, contact)
			}
		}
		n.stopped[memberName(lastMember)] = true
		n.run(maxNoticeDelay + time.Second)
		for i := range 5 {
			if contact := n.gossipers[memberName(i)].Contacts()[memberName(lastMember)]; contact.Silence < time.Second {
				t.Errorf("%d members: %s after a member has ended its silence is %s", count, maxNoticeDelay+time.Second, contact.Silence)
			}
		}
	}
}

// TestPauseIsNoSilence guards against a member that takes the others for silent because it was paused itself.
func TestPauseIsNoSilence(t *testing.T) {
	n := newNetwork(t, 14)
	watchLast(n)
	n.run(5 * time.Second)
	paused := memberName(0)
	n.stopped[paused] = true
	n.run(freezeDuration)
	n.stopped[paused] = false
	g := n.gossipers[paused]
	g.Tick()
	if contact := g.Contacts()[memberName(lastMember)]; contact.Silence > 0 {
		t.Errorf("after a pause of the member itself another one counts as silent for %s", contact.Silence)
	}
}

// TestMemberLooksForOthersOnce guards against spare members that ping the replicas for ever, which each replica would have to
// answer for any number of spares.
func TestMemberLooksForOthersOnce(t *testing.T) {
	n := newNetwork(t, 2)
	looking, found := n.gossipers[memberName(0)], memberName(1)
	n.stopped[found] = true
	packets := func(d time.Duration) uint64 {
		before := looking.Counters().PacketsSent
		n.run(d)
		return looking.Counters().PacketsSent - before
	}
	const period, pings = 4 * time.Second, uint64(4 * time.Second / (watchTicks * TickInterval))
	n.run(10 * time.Second)
	looking.Watch([]string{found}, true)
	if searching := packets(period); searching < pings {
		t.Errorf("%d packets in %s while it looks for a member, want %d", searching, period, pings)
	}
	if contact := looking.Contacts()[found]; contact.Heard || contact.Silence < period {
		t.Errorf("the contact with a silent member is %+v", contact)
	}
	n.stopped[found] = false
	n.scheduleTick(found, n.gossipers[found], 0)
	n.run(8 * time.Second)
	looking.Watch([]string{found}, true)
	afterwards := packets(period)
	if contact := looking.Contacts()[found]; contact != (Contact{Heard: true}) {
		t.Errorf("the contact with a member that was found is %+v", contact)
	}
	looking.Watch(nil, true)
	if unwatched := packets(period); afterwards >= unwatched+pings/2 {
		t.Errorf("%d packets in %s after it was found, %d without a watch", afterwards, period, unwatched)
	}
}

// TestWatchLeavesBudgetForUpdates guards against replicas whose watch uses up their budget for spreading, or the sends of
// their updates, so that changes of members and versions reach the others late.
func TestWatchLeavesBudgetForUpdates(t *testing.T) {
	const (
		members, replicas = 63, 5
		gossipRate        = 2450 // Bytes per second.
	)
	spread := func(watches bool) (overBudget uint64, inForce time.Duration) {
		n := newNetwork(t, members)
		for name := range n.gossipers {
			n.budgets[name] = budgeter.NewBytes(n, gossipRate)
		}
		var names []string
		for i := range replicas {
			names = append(names, memberName(i))
		}
		if watches {
			for _, name := range names {
				n.gossipers[name].Watch(names, false)
			}
		}
		n.run(10 * time.Second)
		for round := range 20 {
			n.gossipers[names[0]].SetVersion(uint64(round + 1))
			for i := range 5 {
				name := memberName(replicas + (5*round+i)%(members-replicas))
				n.gossipers[name].SetUpstream(announcer.Announcement{Service: "s", Slots: round + 1, State: announcer.StateReady})
			}
			n.run(300 * time.Millisecond)
		}
		inForce, _ = n.runUntil(10*time.Second, func(g *Gossiper) bool { return g.version == 20 })
		for _, name := range names {
			overBudget += n.gossipers[name].Counters().OverBudget
		}
		return overBudget, inForce
	}
	overWithout, without := spread(false)
	overWith, with := spread(true)
	t.Logf("in force everywhere after %s, over budget %d times; with a watch after %s, %d times", without, overWithout, with, overWith)
	if overWith > overWithout+2 || with > without+2*TickInterval {
		t.Errorf("with a watch: over budget %d times and in force after %s; without: %d times, %s", overWith, with, overWithout, without)
	}
}
