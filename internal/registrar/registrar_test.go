package registrar

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

func announcement(state announcer.State) announcer.Announcement {
	return announcer.Announcement{Address: "127.0.0.1:80", Instance: "i1", Service: "entries", Slots: 3, State: state}
}

// TestChangesAreReportedInOrder guards against onChange calls out of order: a state is announced while the call
// for the previous one is still running. The state that was reported last must be the current one, or a node
// goes on refusing requests for an upstream that is ready.
func TestChangesAreReportedInOrder(t *testing.T) {
	var mu sync.Mutex
	var reported announcer.State
	notifying, release := make(chan struct{}), make(chan struct{})
	r := New(timekeeper.System{}, func(a announcer.Announcement) {
		if a.State == announcer.StateStarting {
			close(notifying)
			<-release
		}
		mu.Lock()
		defer mu.Unlock()
		reported = a.State
	})
	announce := func(state announcer.State) {
		if _, err := r.Announce(announcement(state)); err != nil {
			t.Error(err)
		}
	}
	var announcing sync.WaitGroup
	announcing.Go(func() { announce(announcer.StateStarting) })
	<-notifying
	announcing.Go(func() { announce(announcer.StateReady) })
	// Gives a registrar without serialization the time to report the second state before the first.
	time.Sleep(20 * time.Millisecond)
	close(release)
	announcing.Wait()
	if current := r.Current().State; reported != current {
		t.Errorf("reported state %s, current state %s", reported, current)
	}
}

// TestLeaseExpires guards against a renewed lease that expires early, and against one that never does.
func TestLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reported []announcer.State
		r := New(timekeeper.System{}, func(a announcer.Announcement) { reported = append(reported, a.State) })
		for range 3 {
			if _, err := r.Announce(announcement(announcer.StateReady)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(LeaseTime - time.Millisecond)
		}
		if state := r.Current().State; state != announcer.StateReady {
			t.Errorf("the state with a renewed lease is %s", state)
		}
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		if state := r.Current().State; state != announcer.StateGone {
			t.Errorf("the state with an expired lease is %s", state)
		}
		if len(reported) != 2 || reported[1] != announcer.StateGone {
			t.Errorf("reported states %v", reported)
		}
	})
}

// TestAnnouncementsAreValidated guards against invalid fields that are accepted, and against errors that don't name
// the field.
func TestAnnouncementsAreValidated(t *testing.T) {
	tests := map[string]func(*announcer.Announcement){
		"address": func(a *announcer.Announcement) { a.Address = "here" },
		"service": func(a *announcer.Announcement) { a.Service = "" },
		"slots":   func(a *announcer.Announcement) { a.Slots = 0 },
		"state":   func(a *announcer.Announcement) { a.State = "tired" },
	}
	for field, corrupt := range tests {
		a := announcement(announcer.StateReady)
		corrupt(&a)
		_, err := New(timekeeper.System{}, func(announcer.Announcement) {}).Announce(a)
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}
