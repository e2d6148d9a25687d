package router

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// browse is the need of a call that a slow span makes late.
var browse = Need{Service: "s", TargetLatency: 250 * time.Millisecond}

// newCheapest knows two targets in the own data centre and one in another.
func newCheapest() *Router {
	r := New(timekeeper.System{}, rand.New(rand.NewPCG(1, 1)), Cheapest{}, "r1", "dc1")
	r.Update(place("near-1", "r1", "dc1"))
	r.Update(place("near-2", "r1", "dc1"))
	r.Update(place("far", "r1", "dc2"))
	return r
}

func shares(r *Router, need Need) map[string]int {
	counts := make(map[string]int)
	for range 1000 {
		if choice, ok := r.Pick(need, nil); ok {
			counts[choice.Name]++
		}
	}
	return counts
}

// TestMachinesSlowForHalfASecond makes upstreams slow as VMs that are shared do. Calls go to the
// nearest one that is not, and come back when its node says that it is well again.
func TestMachinesSlowForHalfASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCheapest()
		slow := carrier.Load{Running: 3, Slots: 12, Slowdown: 7}
		well := carrier.Load{Running: 3, Slots: 12, Slowdown: 1}
		if got := shares(r, browse); got["far"] > 0 || got["near-1"] < 300 || got["near-2"] < 300 {
			t.Errorf("all well: %v", got)
		}
		if !r.ObserveLoad("near-1", slow) || r.ObserveLoad("near-1", slow) {
			t.Error("the turn to slow was not told once")
		}
		if got := shares(r, browse); got["near-2"] != 1000 {
			t.Errorf("one near slow: %v", got)
		}
		r.ObserveLoad("near-2", slow)
		if got := shares(r, browse); got["far"] != 1000 {
			t.Errorf("both near slow: %v", got)
		}
		relaxed := Need{Relaxed: true, Service: "s", TargetLatency: 1200 * time.Millisecond}
		if got := shares(r, relaxed); got["far"] > 0 {
			t.Errorf("a call with time to spare left the data centre: %v", got)
		}
		r.ObserveLoad("near-1", well)
		if got := shares(r, browse); got["near-1"] != 1000 {
			t.Errorf("one near well again: %v", got)
		}
		time.Sleep(slowTime + time.Millisecond)
		if got := shares(r, browse); got["near-2"] < 300 {
			t.Errorf("a word that is too old still counts: %v", got)
		}
	})
}

// TestFullNearTargets fills the near targets: calls leave the data centre for one that has room, and
// are told that no target is prompt when all are full.
func TestFullNearTargets(t *testing.T) {
	r := newCheapest()
	full := carrier.Load{Running: 12, Queued: 4, Slots: 12, Slowdown: 1}
	for _, name := range []string{"near-1", "near-2"} {
		r.ObserveLoad(name, full)
	}
	if choice, _ := r.Pick(browse, nil); choice.Name != "far" || !choice.Responsive {
		t.Errorf("the near ones are full: %+v", choice)
	}
	r.ObserveLoad("far", full)
	if choice, _ := r.Pick(browse, nil); choice.Responsive {
		t.Errorf("%s is full and counts as prompt", choice.Name)
	}
}

// TestFailingTargetLosesItsPart has one target shed or fail half of its calls, which frees its slots.
func TestFailingTargetLosesItsPart(t *testing.T) {
	r := newCheapest()
	for i := range 40 {
		r.Sent("near-1")
		r.Learn("near-1", carrier.Load{Slots: 12}, i%2 == 0)
	}
	if got := shares(r, browse); got["near-1"] > 50 {
		t.Errorf("a target that fails half of its calls got %v", got)
	}
}

// TestRarelyHeardTargets hears of two targets once, as in a fleet so large that an entry sends to each only
// every other second. What was heard counts a second later, and no more after three.
func TestRarelyHeardTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCheapest()
		r.ObserveLoad("near-1", carrier.Load{Running: 11, Slots: 12, Slowdown: 1})
		r.ObserveLoad("near-2", carrier.Load{Running: 1, Slots: 12, Slowdown: 1})
		time.Sleep(time.Second)
		if got := shares(r, browse); got["near-2"] != 1000 {
			t.Errorf("after a second: %v", got)
		}
		time.Sleep(2 * time.Second)
		if got := shares(r, browse); got["near-1"] < 300 || got["near-2"] < 300 {
			t.Errorf("after three seconds: %v", got)
		}
	})
}
