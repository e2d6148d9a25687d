package distributor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// relayedMembers are members of data centres of three. The relays pass on what they get.
type relayedMembers struct {
	*scriptedMembers
	// frozen is true if relays answer nothing, though they may have passed the value on, and forgetful if they confirm nobody.
	frozen, forgetful bool
	relayed           int
}

// dataCentreOf returns the data centre of a member by its number.
func dataCentreOf(name string) string {
	return map[string]string{"m0": "a", "m1": "a", "m2": "a", "m3": "b", "m4": "b", "m5": "b", "m6": "c"}[name]
}

// LiveMembers implements PushNode.
func (r *relayedMembers) LiveMembers() []gossiper.Member {
	members := r.scriptedMembers.LiveMembers()
	for i := range members {
		members[i].DataCentre = dataCentreOf(members[i].Name)
	}
	return members
}

// PushToRelay implements RelayNode.
func (r *relayedMembers) PushToRelay(ctx context.Context, to gossiper.Member, value Document, others []string) ([]string, error) {
	r.mu.Lock()
	r.relayed++
	r.mu.Unlock()
	if r.frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if _, err := r.Push(ctx, to, value); err != nil || r.forgetful {
		return nil, err
	}
	relay := NewPusher(timekeeper.System{}, r, NewHistory())
	defer relay.Close()
	return relay.PassOn(ctx, value, others), nil
}

// TestValuesCrossOnce sends a value to three data centres. It guards against a value that crosses for each member, and against
// members that get it late or never because the relay is frozen or confirms nobody.
func TestValuesCrossOnce(t *testing.T) {
	for _, test := range []struct {
		name              string
		frozen, forgetful bool
		within            time.Duration
		relayed, sent     int
	}{
		{name: "calm", within: 10 * time.Millisecond, relayed: 1, sent: 7},
		{name: "frozen relay", frozen: true, within: confirmTimeout + 10*time.Millisecond, relayed: 1, sent: 7},
		{name: "nobody confirmed", forgetful: true, within: 10 * time.Millisecond, relayed: 1, sent: 7},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := &relayedMembers{scriptedMembers: newScriptedMembers(7), frozen: test.frozen, forgetful: test.forgetful}
				p := NewPusher(timekeeper.System{}, members, NewHistory())
				defer p.Close()
				p.UseRelays(members, "a")
				p.PushThroughRelays(&replicator.Value{Revision: 3})
				time.Sleep(test.within)
				sent := 0
				for _, name := range members.live {
					if revision, _ := members.newest(name); revision != 3 {
						t.Errorf("%s has revision %d after %s", name, revision, test.within)
					}
					sent += members.sent[name]
				}
				if members.relayed != test.relayed || sent > test.sent {
					t.Errorf("%d messages to relays and %d others, want %d and at most %d", members.relayed, sent, test.relayed, test.sent)
				}
			})
		})
	}
}

// TestNewerValuesFollowThroughRelays guards against members of other data centres that keep an older value of a storm of changes.
func TestNewerValuesFollowThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := &relayedMembers{scriptedMembers: newScriptedMembers(7)}
		p := NewPusher(timekeeper.System{}, members, NewHistory())
		defer p.Close()
		p.UseRelays(members, "a")
		members.setCutOff("m4", true)
		for revision := uint64(1); revision <= 20; revision++ {
			p.PushThroughRelays(&replicator.Value{Revision: revision})
			time.Sleep(500 * time.Microsecond)
		}
		members.setCutOff("m4", false)
		time.Sleep(5 * time.Second)
		for _, name := range members.live {
			if revision, _ := members.newest(name); revision != 20 {
				t.Errorf("%s has revision %d, want 20", name, revision)
			}
		}
		if p.mu.Lock(); len(p.active) > 0 {
			t.Errorf("%d members are still active", len(p.active))
		}
		p.mu.Unlock()
	})
}
