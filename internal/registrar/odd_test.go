package registrar

import (
	"errors"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// TestOddAnnouncementsAreRefused guards against an announcement of another writer, with fields out of range, that takes the
// place of the upstream's own.
func TestOddAnnouncementsAreRefused(t *testing.T) {
	now := time.Now().UnixMilli()
	odd := map[string]func(a *announcer.Announcement){
		"port zero":             func(a *announcer.Announcement) { a.Address = "127.0.0.1:0" },
		"unspecified address":   func(a *announcer.Announcement) { a.Address = "0.0.0.0:80" },
		"unspecified address 6": func(a *announcer.Announcement) { a.Address = "[::]:80" },
		"multicast address":     func(a *announcer.Announcement) { a.Address = "224.0.0.1:80" },
		"largest slots":         func(a *announcer.Announcement) { a.Slots = math.MaxInt },
		"largest born":          func(a *announcer.Announcement) { a.Born = math.MaxInt64 },
		"born tomorrow":         func(a *announcer.Announcement) { a.Born = now + (24 * time.Hour).Milliseconds() },
		"negative born":         func(a *announcer.Announcement) { a.Born = -1 },
		"largest sequence":      func(a *announcer.Announcement) { a.Sequence = math.MaxUint64 },
		"negative cold":         func(a *announcer.Announcement) { a.Cold = -time.Second },
		"largest cold":          func(a *announcer.Announcement) { a.Cold = math.MaxInt64 },
	}
	for name, corrupt := range odd {
		t.Run(name, func(t *testing.T) {
			r := New(timekeeper.System{}, func(announcer.Announcement) {})
			own := numbered("i1", now, 5, announcer.StateReady)
			if _, err := r.Announce(own); err != nil {
				t.Fatal(err)
			}
			other := own
			other.Sequence++
			corrupt(&other)
			if _, err := r.Announce(other); !errors.Is(err, ErrInvalid) {
				t.Errorf("%v, want an error that wraps ErrInvalid", err)
			}
			own.Sequence += 2
			if _, err := r.Announce(own); err != nil {
				t.Errorf("the upstream's own announcement is refused after it: %v", err)
			}
			if got := r.Current(); got != own {
				t.Errorf("the current announcement is %+v", got)
			}
		})
	}
}

// TestUpstreamRecoversFromForgedAnnouncement guards against an announcement of another writer, newer than the upstream's own
// but plausible, that shuts the upstream out for ever: it holds for its lease at most.
func TestUpstreamRecoversFromForgedAnnouncement(t *testing.T) {
	forged := map[string]func(a *announcer.Announcement){
		"born later":     func(a *announcer.Announcement) { a.Born += 60_000 },
		"later sequence": func(a *announcer.Announcement) { a.Sequence += 900 },
		"another instance, draining": func(a *announcer.Announcement) {
			a.Instance, a.Born, a.State = "i2", a.Born+60_000, announcer.StateDraining
		},
	}
	for name, forge := range forged {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := New(timekeeper.System{}, func(announcer.Announcement) {})
				own := numbered("i1", time.Now().Add(-time.Hour).UnixMilli(), 5, announcer.StateReady)
				other := own
				forge(&other)
				for _, a := range []announcer.Announcement{own, other} {
					if _, err := r.Announce(a); err != nil {
						t.Fatal(err)
					}
				}
				for range 4 {
					time.Sleep(LeaseTime / 3)
					own.Sequence++
					// Refused until the lease of the forged announcement has run out.
					_, _ = r.Announce(own)
				}
				if got := r.Current(); got != own {
					t.Errorf("the current announcement is %+v, want %+v", got, own)
				}
			})
		})
	}
}

// TestWithdrawalWithOddBornIsForgotten guards against a withdrawal with a start time out of range that shuts out every later
// process of the upstream.
func TestWithdrawalWithOddBornIsForgotten(t *testing.T) {
	r := New(timekeeper.System{}, func(announcer.Announcement) {})
	r.Withdraw(announcer.Process{Instance: "i1", Born: math.MaxInt64})
	if _, err := r.Announce(numbered("i2", time.Now().UnixMilli(), 1, announcer.StateReady)); err != nil {
		t.Error(err)
	}
}
