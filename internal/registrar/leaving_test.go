package registrar

import (
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// TestLeavingProcessStaysDraining guards against announcements, and probes, that bring back a process that has said in its
// answers that it leaves. Another process, also under the same id, is not affected.
func TestLeavingProcessStaysDraining(t *testing.T) {
	var changes []announcer.State
	r := New(timekeeper.System{}, func(a announcer.Announcement) { changes = append(changes, a.State) })
	ready := announcer.Announcement{
		Address: "127.0.0.1:1", Born: 100, Instance: "i", Sequence: 1, Service: "s", Slots: 2, State: announcer.StateReady,
	}
	announce := func(a announcer.Announcement, want announcer.State) {
		t.Helper()
		if _, err := r.Announce(a); err != nil {
			t.Fatalf("%+v: %v", a, err)
		}
		if got := r.Current().State; got != want {
			t.Errorf("the state is %s, want %s", got, want)
		}
	}
	announce(ready, announcer.StateReady)
	r.MarkLeaving(announcer.Process{Instance: "another"})
	r.MarkLeaving(announcer.Process{Instance: "i", Born: 99})
	announce(ready, announcer.StateReady)
	r.MarkLeaving(announcer.Process{Instance: "i"})
	r.MarkLeaving(announcer.Process{Instance: "i"})
	ready.Sequence++
	announce(ready, announcer.StateDraining)
	r.AddDiscovered(announcer.Announcement{Address: "127.0.0.1:1", Instance: "i", Service: "s", Slots: 2, State: announcer.StateReady})
	if got := r.Current().State; got != announcer.StateDraining {
		t.Errorf("a probe made it %s", got)
	}
	restarted := ready
	restarted.Born, restarted.Sequence = 200, 0
	announce(restarted, announcer.StateReady)
	r.MarkDown(announcer.Process{Instance: "i"})
	if len(changes) != 4 {
		t.Errorf("%d changes were reported, want ready, draining, ready and gone: %v", len(changes), changes)
	}
}
