package relayer_test

import (
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// TestAnnouncementWhileDraining guards against other nodes that send attempts to a draining node again, because a new
// process of the upstream beside it has announced itself.
func TestAnnouncementWhileDraining(t *testing.T) {
	const notice, limit = 100 * time.Millisecond, 5 * time.Second
	c := newTestCluster(t, 1, responder.Behaviour{ServiceTime: time.Second, Slots: 4, Steady: true})
	target := c.Node(1)
	answered := make(chan callResult, 1)
	go func() { answered <- c.post("running", 4*time.Second) }()
	for c.Journal.Count("running") == 0 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		target.Node.DrainFor(notice, limit)
	}()
	awaitServing(t, c.Deployment, 0)
	err := target.Node.Announce(t.Context(), announcer.Announcement{
		Address: target.Settings.CallerAddress.String(), Born: time.Now().UnixMilli(), Instance: "next", Service: "entries",
		Slots: 4, State: announcer.StateReady,
	})
	if err != nil {
		t.Error(err)
	}
	for isOpen := true; isOpen; time.Sleep(time.Millisecond) {
		if m, _ := c.entry.Node.Member(target.Spec.Name); m.IsServing() {
			t.Fatal("the draining node is listed as serving")
		}
		select {
		case <-drained:
			isOpen = false
		default:
		}
	}
	if got := <-answered; !got.answered {
		t.Errorf("the running request: %s", got)
	}
}
