package registrar

import (
	"errors"
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

func counted(instance string, born int64, sequence uint64, state announcer.State) announcer.Announcement {
	a := announcement(state)
	a.Instance, a.Born, a.Sequence = instance, born, sequence
	return a
}

// TestOutdatedAnnouncements follows an upstream through drains, restarts and words that come late.
func TestOutdatedAnnouncements(t *testing.T) {
	r := New(timekeeper.System{}, func(announcer.Announcement) {})
	steps := []struct {
		name  string
		a     announcer.Announcement
		want  error
		state announcer.State
	}{
		{"first", counted("i1", 100, 1, announcer.StateReady), nil, announcer.StateReady},
		{"renewed", counted("i1", 100, 3, announcer.StateReady), nil, announcer.StateReady},
		{"came late", counted("i1", 100, 2, announcer.StateDraining), ErrOutdated, announcer.StateReady},
		{"drains", counted("i1", 100, 4, announcer.StateDraining), nil, announcer.StateDraining},
		{"ready after it drained", counted("i1", 100, 5, announcer.StateReady), ErrOutdated, announcer.StateDraining},
		{"same id, new process", counted("i1", 200, 1, announcer.StateReady), nil, announcer.StateReady},
		{"the process before", counted("i1", 100, 9, announcer.StateReady), ErrOutdated, announcer.StateReady},
		{"another process", counted("i2", 300, 1, announcer.StateReady), nil, announcer.StateReady},
		{"an older one at the address", counted("i1", 200, 9, announcer.StateReady), ErrOutdated, announcer.StateReady},
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

// TestWithdrawnUpstreamStaysAway withdraws a process that still announces and is still found well.
func TestWithdrawnUpstreamStaysAway(t *testing.T) {
	r := New(timekeeper.System{}, func(announcer.Announcement) {})
	if _, err := r.Announce(counted("i1", 100, 1, announcer.StateReady)); err != nil {
		t.Fatal(err)
	}
	r.Withdraw("i1", 0)
	if _, err := r.Announce(counted("i1", 100, 2, announcer.StateReady)); !errors.Is(err, ErrOutdated) {
		t.Errorf("an announcement after the withdrawal: %v", err)
	}
	r.Found(counted("i1", 0, 0, announcer.StateReady))
	if state := r.Current().State; state != announcer.StateDraining {
		t.Errorf("a withdrawn upstream is %s", state)
	}
	r.Withdraw("i0", 0)
	if r.Current().Instance != "i1" {
		t.Error("the withdrawal of an old process replaced the current one")
	}
}

// TestFoundUpstream finds a process after a restart of the node, and one that counted as down.
func TestFoundUpstream(t *testing.T) {
	r := New(timekeeper.System{}, func(announcer.Announcement) {})
	found := announcement(announcer.StateReady)
	r.Found(found)
	if state := r.Current().State; state != announcer.StateReady {
		t.Errorf("an upstream that was found is %s", state)
	}
	if _, err := r.Announce(counted("i1", 100, 7, announcer.StateReady)); err != nil {
		t.Fatal(err)
	}
	r.Down("i1")
	r.Found(found)
	if current := r.Current(); current.State != announcer.StateReady || current.Born != 100 {
		t.Errorf("found again: %+v", current)
	}
}
