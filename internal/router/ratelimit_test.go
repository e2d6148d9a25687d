package router

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// TestTargetWithStartDelayIsAvoided covers a target whose upstream's rate limit is used up: it is not picked until that has
// passed, even if the report names an absurd time, and never counts as responsive before.
func TestTargetWithStartDelayIsAvoided(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, time.Duration(1 << 62), -time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			r := New(timekeeper.System{}, rand.New(rand.NewPCG(1, 1)), Cheapest{}, "", "")
			for _, name := range []string{"limited", "other"} {
				r.Update(gossiper.Member{Name: name, Service: "s", Slots: 4, Upstream: announcer.StateReady})
			}
			r.ObserveLoad("limited", carrier.Load{Slots: 4, StartDelay: delay})
			picks := func() (limited int) {
				for range 100 {
					if choice, ok := r.Pick(Need{Service: "s"}, nil); ok && choice.Name == "limited" {
						limited++
					}
				}
				return limited
			}
			if got := picks(); delay > 0 && got > 0 {
				t.Errorf("%d of 100 picks during the delay", got)
			}
			if choice, _ := r.Pick(Need{Service: "s"}, []string{"other"}); choice.Responsive != (delay <= 0) {
				t.Errorf("responsive is %t with a delay of %s", choice.Responsive, delay)
			}
			time.Sleep(maxStartDelay)
			if got := picks(); got == 0 {
				t.Error("it is never picked again")
			}
		})
	}
}
