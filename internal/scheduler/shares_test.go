package scheduler

import (
	"testing"
	"time"
)

const (
	simSlots     = 12
	meanSlotTime = 10 * time.Millisecond
	warmUp       = 2 * time.Second
	length       = 12 * time.Second
	// capacity is the number of requests of mean slot-time that the slots can serve per second.
	capacity = float64(simSlots) * float64(time.Second) / float64(meanSlotTime)
	seed     = 7
)

func config() Config {
	return Config{
		Ranks: []Rank{
			{GuaranteedShare: 0.3, TargetWait: 200 * time.Millisecond},
			{GuaranteedShare: 0.3, TargetWait: 200 * time.Millisecond},
			{GuaranteedShare: 0.2, TargetWait: 500 * time.Millisecond},
			{GuaranteedShare: 0.1, TargetWait: time.Second},
		},
		Weights: map[string]float64{"a": 1, "b": 1, "c": 1},
	}
}

// slotTimeFraction returns the slot-time of a source as a fraction of what all slots provide in the measured
// window.
func slotTimeFraction(o sourceResult) float64 {
	return o.slotTime.Seconds() / ((length - warmUp).Seconds() * simSlots)
}

func TestFloodOfLeastUrgentSparesMostUrgent(t *testing.T) {
	urgent := source{class: Class{Rank: 0, Neighbour: "a"}, meanSlotTime: meanSlotTime, perSecond: 0.25 * capacity}
	flood := source{class: Class{Rank: 3, Neighbour: "b"}, meanSlotTime: meanSlotTime, perSecond: 3 * capacity}
	withoutFlood := simulate(t, config(), simSlots, seed, warmUp, length, []source{urgent})
	withFlood := simulate(t, config(), simSlots, seed, warmUp, length, []source{urgent, flood})
	before, after := withoutFlood[0].latencyQuantile(0.99), withFlood[0].latencyQuantile(0.99)
	t.Logf("p99 without flood %s, with flood %s; useful work %.3f",
		before, after, slotTimeFraction(withFlood[0])+slotTimeFraction(withFlood[1]))
	if float64(after) > 1.2*float64(before) {
		t.Errorf("p99 of the most urgent rank is %s with the flood, want at most 1.2 times %s", after, before)
	}
	if withFlood[0].refused > 0 {
		t.Errorf("%d of the most urgent rank were refused", withFlood[0].refused)
	}
	if work := slotTimeFraction(withFlood[0]) + slotTimeFraction(withFlood[1]); work < 0.95 {
		t.Errorf("useful work is %.3f of capacity, want at least 0.95", work)
	}
}

func TestFloodOfMostUrgentLeavesGuaranteedShares(t *testing.T) {
	sources := []source{
		{class: Class{Rank: 0, Neighbour: "a"}, meanSlotTime: meanSlotTime, perSecond: 3 * capacity},
		{class: Class{Rank: 1, Neighbour: "b"}, meanSlotTime: meanSlotTime, perSecond: capacity},
		{class: Class{Rank: 2, Neighbour: "b"}, meanSlotTime: meanSlotTime, perSecond: capacity},
		{class: Class{Rank: 3, Neighbour: "b"}, meanSlotTime: meanSlotTime, perSecond: capacity},
	}
	results := simulate(t, config(), simSlots, seed, warmUp, length, sources)
	total := 0.0
	for rank, o := range results {
		share := config().Ranks[rank].GuaranteedShare
		total += slotTimeFraction(o)
		t.Logf("rank %d got %.3f, guaranteed %.2f", rank, slotTimeFraction(o), share)
		if slotTimeFraction(o) < 0.95*share {
			t.Errorf("rank %d got %.3f of the capacity, want 95%% of %.2f", rank, slotTimeFraction(o), share)
		}
	}
	if total < 0.95 {
		t.Errorf("useful work is %.3f of capacity, want at least 0.95", total)
	}
}

func TestNeighboursOfEqualWeightShareEqually(t *testing.T) {
	tests := map[string][]source{
		"one offers five times as much": {
			{class: Class{Rank: 1, Neighbour: "a"}, meanSlotTime: meanSlotTime, perSecond: 5 * capacity},
			{class: Class{Rank: 1, Neighbour: "b"}, meanSlotTime: meanSlotTime, perSecond: capacity},
		},
		"one sends only expensive requests": {
			{class: Class{Rank: 1, Neighbour: "a"}, meanSlotTime: 20 * meanSlotTime, perSecond: 0.2 * capacity},
			{class: Class{Rank: 1, Neighbour: "b"}, meanSlotTime: meanSlotTime, perSecond: 2 * capacity},
		},
		"short, middling and long": {
			{class: Class{Rank: 1, Neighbour: "a"}, meanSlotTime: meanSlotTime / 5, perSecond: 8 * capacity},
			{class: Class{Rank: 1, Neighbour: "b"}, meanSlotTime: meanSlotTime, perSecond: capacity},
			{class: Class{Rank: 1, Neighbour: "c"}, meanSlotTime: 5 * meanSlotTime, perSecond: 0.5 * capacity},
		},
	}
	for name, sources := range tests {
		t.Run(name, func(t *testing.T) {
			results := simulate(t, config(), simSlots, seed, warmUp, length, sources)
			least, most, total := 1.0, 0.0, 0.0
			for _, o := range results {
				least, most, total = min(least, slotTimeFraction(o)), max(most, slotTimeFraction(o)), total+slotTimeFraction(o)
			}
			t.Logf("least %.3f most %.3f of capacity, useful work %.3f", least, most, total)
			if most > 1.05*least {
				t.Errorf("neighbours got between %.3f and %.3f, want them within 5%%", least, most)
			}
			if total < 0.95 {
				t.Errorf("useful work is %.3f of capacity, want at least 0.95", total)
			}
		})
	}
}

func TestIdleShareIsLentAndReturned(t *testing.T) {
	sources := []source{
		{class: Class{Rank: 3, Neighbour: "b"}, meanSlotTime: meanSlotTime, perSecond: 3 * capacity},
		{class: Class{Rank: 0, Neighbour: "a"}, meanSlotTime: meanSlotTime, perSecond: 0.25 * capacity, from: 6 * time.Second},
	}
	lent := simulate(t, config(), simSlots, seed, warmUp, 6*time.Second, sources[:1])
	got := lent[0].slotTime.Seconds() / (4 * simSlots)
	t.Logf("the only rank with demand got %.3f of capacity", got)
	if got < 0.95 {
		t.Errorf("the only rank with demand got %.3f of capacity, want at least 0.95", got)
	}
	back := simulate(t, config(), simSlots, seed, warmUp, length, sources)
	first := back[1].latencies[0]
	p99 := back[1].latencyQuantile(0.99)
	t.Logf("the owner's first request took %s, p99 %s", first, p99)
	if p99 > 12*meanSlotTime {
		t.Errorf("the owner's p99 is %s after the share was returned", p99)
	}
}

// TestGoodputUnderOverload offers up to 10 times the capacity. The slot-time of served requests must not fall
// below 95% of its peak as the load rises.
func TestGoodputUnderOverload(t *testing.T) {
	peak := 0.0
	for _, times := range []float64{1, 2, 5, 10} {
		sources := []source{
			{class: Class{Rank: 0, Neighbour: "a"}, meanSlotTime: meanSlotTime, perSecond: 0.2 * times * capacity},
			{class: Class{Rank: 1, Neighbour: "b"}, meanSlotTime: meanSlotTime, perSecond: 0.4 * times * capacity},
			{class: Class{Rank: 3, Neighbour: "b"}, meanSlotTime: meanSlotTime, perSecond: 0.4 * times * capacity},
		}
		goodput, refused, late := 0.0, 0, 0
		for rank, o := range simulate(t, config(), simSlots, seed, warmUp, length, sources) {
			goodput += slotTimeFraction(o)
			refused += o.refused
			limit := config().Ranks[sources[rank].class.Rank].TargetWait + 20*meanSlotTime
			for _, latency := range o.latencies {
				if latency > limit {
					late++
				}
			}
		}
		peak = max(peak, goodput)
		t.Logf("%2.0f times capacity: goodput %.3f, %d refused, %d answered later than target and service", times, goodput, refused, late)
		if goodput < 0.95*peak {
			t.Errorf("goodput at %.0f times capacity is %.3f, want 95%% of %.3f", times, goodput, peak)
		}
	}
}

// TestNestedCallsDuringFlood floods one upstream with long requests of a less urgent rank while other upstreams
// make short, urgent calls that can't be retried later. At least 95% of these calls must be served, because
// their parent requests depend on them.
func TestNestedCallsDuringFlood(t *testing.T) {
	const slots, want = 9, 0.95
	calls := source{
		class: Class{Rank: 0, Neighbour: "positions"}, meanSlotTime: 30 * time.Millisecond, perSecond: 40,
		deadline: 200 * time.Millisecond, usefulFor: 150 * time.Millisecond,
	}
	flood := source{
		class: Class{Rank: 1, Neighbour: "positions"}, meanSlotTime: 300 * time.Millisecond, perSecond: 60,
		deadline: 1500 * time.Millisecond, usefulFor: 500 * time.Millisecond,
	}
	config := Config{Ranks: []Rank{{TargetWait: 40 * time.Millisecond}, {TargetWait: 400 * time.Millisecond}}}
	got := simulate(t, config, slots, seed, time.Second, 20*time.Second, []source{calls, flood})
	served := float64(got[0].answered) / float64(got[0].answered+got[0].refused)
	t.Logf("%.3f of the calls served, %d of the flood served, %d refused", served, got[1].answered, got[1].refused)
	if served < want {
		t.Errorf("%.3f of the calls are served, want %.2f", served, want)
	}
}
