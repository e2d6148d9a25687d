package registrar

import (
	"errors"
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
	r.MarkLeaving(announcer.Leave{Process: announcer.Process{Instance: "another"}})
	r.MarkLeaving(announcer.Leave{Process: announcer.Process{Instance: "i", Born: 99}})
	announce(ready, announcer.StateReady)
	r.MarkLeaving(announcer.Leave{Process: announcer.Process{Instance: "i"}})
	r.MarkLeaving(announcer.Leave{Process: announcer.Process{Instance: "i"}})
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

// TestWithdrawalOfDiscoveredProcess guards against a withdrawal that is acknowledged and has no effect, because the process
// was found by a health check and its start is not known.
func TestWithdrawalOfDiscoveredProcess(t *testing.T) {
	r := New(timekeeper.System{}, func(announcer.Announcement) {})
	discovered := announcement(announcer.StateReady)
	discovered.Instance = "i1"
	r.AddDiscovered(discovered)
	r.Withdraw(announcer.Process{Instance: "i1", Born: 100})
	if _, err := r.Announce(numbered("i1", 100, 5, announcer.StateReady)); !errors.Is(err, ErrOutdated) {
		t.Errorf("a late announcement: %v", err)
	}
	r.AddDiscovered(discovered)
	if state := r.Current().State; state != announcer.StateDraining {
		t.Errorf("the state is %s", state)
	}
	if _, err := r.Announce(numbered("i1", 200, 1, announcer.StateReady)); err != nil || r.Current().State != announcer.StateReady {
		t.Errorf("the next process: %v, %s", err, r.Current().State)
	}
}

// TestLeavingIsKnownBeforeFirstAnnouncement guards against a heartbeat that arrives late at a restarted node, from a process
// that has said to the earlier one that it leaves.
func TestLeavingIsKnownBeforeFirstAnnouncement(t *testing.T) {
	r := New(timekeeper.System{}, func(announcer.Announcement) {})
	r.MarkLeaving(announcer.Leave{Process: announcer.Process{Instance: "i1", Born: 100}})
	if _, err := r.Announce(numbered("i1", 100, 7, announcer.StateReady)); err != nil || r.Current().State != announcer.StateDraining {
		t.Errorf("a late heartbeat: %v, %s", err, r.Current().State)
	}
	if _, err := r.Announce(numbered("i1", 200, 1, announcer.StateReady)); err != nil || r.Current().State != announcer.StateReady {
		t.Errorf("the next process: %v, %s", err, r.Current().State)
	}
}
