package router

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// latencySensitive is the need of a call that a slow period of the upstream makes late.
var latencySensitive = Need{Service: "s", TargetLatency: 250 * time.Millisecond}

// newCheapestRouter returns a router with two targets in its data centre and one in another.
func newCheapestRouter() *Router {
	r := New(timekeeper.System{}, rand.New(rand.NewPCG(1, 1)), Cheapest{}, "r1", "dc1")
	r.Update(newMember("near-1", "r1", "dc1"))
	r.Update(newMember("near-2", "r1", "dc1"))
	r.Update(newMember("far", "r1", "dc2"))
	return r
}

func pickShares(r *Router, need Need) map[string]int {
	counts := make(map[string]int)
	for range 1000 {
		if choice, ok := r.Pick(need, nil); ok {
			counts[choice.Name]++
		}
	}
	return counts
}

// TestSlowUpstreamsAreAvoided makes upstreams slow for short periods, as shared VMs do. Calls go to the nearest one
// that is not slow, and return when its node reports that it is fast again or when the report that it is slow expires.
func TestSlowUpstreamsAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCheapestRouter()
		slow := carrier.Load{Running: 3, Slots: 12, Slowdown: 7}
		fast := carrier.Load{Running: 3, Slots: 12, Slowdown: 1}
		if got := pickShares(r, latencySensitive); got["far"] > 0 || got["near-1"] < 300 || got["near-2"] < 300 {
			t.Errorf("all fast: %v", got)
		}
		r.ObserveLoad("near-1", slow)
		if got := pickShares(r, latencySensitive); got["near-2"] != 1000 {
			t.Errorf("one near slow: %v", got)
		}
		r.ObserveLoad("near-2", slow)
		if got := pickShares(r, latencySensitive); got["far"] != 1000 {
			t.Errorf("both near slow: %v", got)
		}
		if choice, _ := r.Pick(latencySensitive, []string{"far"}); choice.Responsive {
			t.Errorf("%s is slow and counts as responsive", choice.Name)
		}
		r.ObserveLoad("near-1", fast)
		if got := pickShares(r, latencySensitive); got["near-1"] != 1000 {
			t.Errorf("one near fast again: %v", got)
		}
		time.Sleep(slowReportLifetime + time.Millisecond)
		if got := pickShares(r, latencySensitive); got["near-2"] < 300 {
			t.Errorf("an expired report still counts: %v", got)
		}
	})
}

// TestFullNearTargetsAreAvoided checks that calls leave the data centre for a target with free slots if the near ones
// are full, and that no target counts as responsive if all are full.
func TestFullNearTargetsAreAvoided(t *testing.T) {
	r := newCheapestRouter()
	full := carrier.Load{Running: 12, Queued: 4, Slots: 12, Slowdown: 1}
	for _, name := range []string{"near-1", "near-2"} {
		r.ObserveLoad(name, full)
	}
	if choice, _ := r.Pick(latencySensitive, nil); choice.Name != "far" || !choice.Responsive {
		t.Errorf("the near targets are full, picked: %+v", choice)
	}
	r.ObserveLoad("far", full)
	if choice, _ := r.Pick(latencySensitive, nil); choice.Responsive {
		t.Errorf("%s is full and counts as responsive", choice.Name)
	}
}

// TestFailingTargetGetsFewCalls guards against a target that attracts calls because it sheds or fails half of them,
// which frees its slots.
func TestFailingTargetGetsFewCalls(t *testing.T) {
	r := newCheapestRouter()
	for i := range 40 {
		r.RecordCallStart("near-1")
		r.RecordCallEnd("near-1", carrier.Load{Slots: 12}, i%2 == 0)
	}
	if got := pickShares(r, latencySensitive); got["near-1"] > 50 {
		t.Errorf("a target that fails half of its calls got %v", got)
	}
}

// TestLoadReportsFade checks that a load report still counts after one second and no longer after three. In a large
// fleet an entry node sends to each target, and so gets its report, only every other second.
func TestLoadReportsFade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCheapestRouter()
		r.ObserveLoad("near-1", carrier.Load{Running: 11, Slots: 12, Slowdown: 1})
		r.ObserveLoad("near-2", carrier.Load{Running: 1, Slots: 12, Slowdown: 1})
		time.Sleep(time.Second)
		if got := pickShares(r, latencySensitive); got["near-2"] != 1000 {
			t.Errorf("after a second: %v", got)
		}
		time.Sleep(2 * time.Second)
		if got := pickShares(r, latencySensitive); got["near-1"] < 300 || got["near-2"] < 300 {
			t.Errorf("after three seconds: %v", got)
		}
	})
}
