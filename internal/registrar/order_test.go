package registrar

import (
	"errors"
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// numbered returns an announcement with the start time of its process and a sequence number.
func numbered(instance string, born int64, sequence uint64, state announcer.State) announcer.Announcement {
	a := announcement(state)
	a.Instance, a.Born, a.Sequence = instance, born, sequence
	return a
}

// TestOutdatedAnnouncements guards against delayed announcements, or those of an earlier process, that replace
// newer ones across drains and restarts of an upstream.
func TestOutdatedAnnouncements(t *testing.T) {
	r := New(timekeeper.System{}, func(announcer.Announcement) {})
	steps := []struct {
		name  string
		a     announcer.Announcement
		want  error
		state announcer.State
	}{
		{"first", numbered("i1", 100, 1, announcer.StateReady), nil, announcer.StateReady},
		{"renewed", numbered("i1", 100, 3, announcer.StateReady), nil, announcer.StateReady},
		{"delayed", numbered("i1", 100, 2, announcer.StateDraining), ErrOutdated, announcer.StateReady},
		{"draining", numbered("i1", 100, 4, announcer.StateDraining), nil, announcer.StateDraining},
		{"ready after draining", numbered("i1", 100, 5, announcer.StateReady), ErrOutdated, announcer.StateDraining},
		{"new process of the same instance", numbered("i1", 200, 1, announcer.StateReady), nil, announcer.StateReady},
		{"previous process", numbered("i1", 100, 9, announcer.StateReady), ErrOutdated, announcer.StateReady},
		{"another instance", numbered("i2", 300, 1, announcer.StateReady), nil, announcer.StateReady},
		{"older instance at the address", numbered("i1", 200, 9, announcer.StateReady), ErrOutdated, announcer.StateReady},
	}
	for _, step := range steps {
		if _, err := r.Announce(step.a); !errors.Is(err, step.want) {
			t.Errorf("%s: got %v, want %v", step.name, err, step.want)
		}
		if state := r.Current().State; state != step.state {
			t.Errorf("%s: the state is %s, want %s", step.name, state, step.state)
		}
	}
}

// TestWithdrawnUpstreamStaysDraining guards against a withdrawn process that becomes ready again because it still
// sends announcements and still passes health checks.
func TestWithdrawnUpstreamStaysDraining(t *testing.T) {
	r := New(timekeeper.System{}, func(announcer.Announcement) {})
	if _, err := r.Announce(numbered("i1", 100, 1, announcer.StateReady)); err != nil {
		t.Fatal(err)
	}
	r.Withdraw(announcer.Process{Instance: "i1"})
	if _, err := r.Announce(numbered("i1", 100, 2, announcer.StateReady)); !errors.Is(err, ErrOutdated) {
		t.Errorf("an announcement after the withdrawal: %v", err)
	}
	r.AddDiscovered(numbered("i1", 0, 0, announcer.StateReady))
	if state := r.Current().State; state != announcer.StateDraining {
		t.Errorf("the state of a withdrawn upstream is %s", state)
	}
	r.Withdraw(announcer.Process{Instance: "i0"})
	if r.Current().Instance != "i1" {
		t.Error("the withdrawal of an old process replaced the current one")
	}
}

// TestDiscoveredUpstream guards against a running upstream that is not used after a restart of the node, or after it
// was marked as down, although it was discovered.
func TestDiscoveredUpstream(t *testing.T) {
	r := New(timekeeper.System{}, func(announcer.Announcement) {})
	discovered := announcement(announcer.StateReady)
	r.AddDiscovered(discovered)
	if state := r.Current().State; state != announcer.StateReady {
		t.Errorf("the state of a discovered upstream is %s", state)
	}
	if _, err := r.Announce(numbered("i1", 100, 7, announcer.StateReady)); err != nil {
		t.Fatal(err)
	}
	r.MarkDown(announcer.Process{Instance: "i1"})
	r.AddDiscovered(discovered)
	if current := r.Current(); current.State != announcer.StateReady || current.Born != 100 {
		t.Errorf("discovered again: %+v", current)
	}
}

// TestProcessAfterOneThatIsDown guards against a process that is shut out for a lease because its clock was set back, and
// against a late word on an earlier process under the same id that ends the current one.
func TestProcessAfterOneThatIsDown(t *testing.T) {
	r := New(timekeeper.System{}, func(announcer.Announcement) {})
	announce := func(born int64) {
		t.Helper()
		if _, err := r.Announce(numbered("i1", born, 1, announcer.StateReady)); err != nil {
			t.Fatal(err)
		}
	}
	announce(100)
	r.MarkDown(announcer.Process{Instance: "i1", Born: 100})
	announce(50)
	r.MarkDown(announcer.Process{Instance: "i1", Born: 100})
	if current := r.Current(); current.State != announcer.StateReady || current.Born != 50 {
		t.Errorf("the current announcement is %+v", current)
	}
}

// TestProcessKeepsItsService guards against an announcement of another writer that moves a running process to another service.
// Another process can be of another one.
func TestProcessKeepsItsService(t *testing.T) {
	r := New(timekeeper.System{}, func(announcer.Announcement) {})
	own := numbered("i1", 100, 1, announcer.StateReady)
	if _, err := r.Announce(own); err != nil {
		t.Fatal(err)
	}
	moved := numbered("i1", 100, 2, announcer.StateReady)
	moved.Service = "another"
	if _, err := r.Announce(moved); !errors.Is(err, ErrInvalid) || r.Current() != own {
		t.Errorf("the same process: %v, %+v", err, r.Current())
	}
	moved.Born = 200
	if _, err := r.Announce(moved); err != nil {
		t.Errorf("another process: %v", err)
	}
}
