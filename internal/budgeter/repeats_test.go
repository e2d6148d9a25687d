package budgeter

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// manualClock is a clock whose time is set by the test.
type manualClock struct {
	timekeeper.System
	now time.Time
}

// Now implements timekeeper.Clock.
func (c *manualClock) Now() time.Time { return c.now }

const (
	testRatio  = 0.2
	testSlack  = 20.0
	testWindow = 10 * time.Second
)

func newTestRepeats(clock timekeeper.Clock, upstreams int) *Repeats {
	return NewRepeats(clock, func() RepeatLimits {
		return RepeatLimits{Ratio: testRatio, Share: testSlack / float64(upstreams), Window: testWindow}
	})
}

// countInWindow returns the number of times that are in the window starting at from.
func countInWindow(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, from.Add(testWindow), time.Time.Compare)
	return last - first
}

// TestRepeatLimitHoldsAcrossUpstreams guards against incident inc1, in which upstreams kept their own limits but
// together received more repeats in some window than the service allows. Load moves between upstreams, comes in bursts
// after quiet periods and arrives late, and nodes are restarted.
func TestRepeatLimitHoldsAcrossUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &manualClock{now: time.Unix(1000, 0)}
		upstreams := rapid.IntRange(1, 6).Draw(t, "upstreams")
		var all []*Repeats
		for range upstreams {
			all = append(all, newTestRepeats(clock, upstreams))
		}
		var firsts, repeats []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			pause := rapid.SampledFrom([]time.Duration{0, 10, 90, 500, 2500, 5000, 9990, 30000}).Draw(t, "pause")
			clock.now = clock.now.Add(pause * time.Millisecond)
			i := rapid.IntRange(0, upstreams-1).Draw(t, "upstream")
			switch rapid.SampledFrom([]string{"firsts", "repeats", "repeats", "start", "restart"}).Draw(t, "what") {
			case "firsts":
				late := time.Duration(rapid.IntRange(0, 800).Draw(t, "late")) * time.Millisecond
				for range rapid.IntRange(1, 150).Draw(t, "firsts") {
					all[i].CountFirst(clock.now.Add(-late))
					firsts = append(firsts, clock.now.Add(-late))
				}
			case "repeats":
				for range rapid.IntRange(1, 60).Draw(t, "repeats") {
					if all[i].Take(1) {
						repeats = append(repeats, clock.now)
					}
				}
			case "start":
				all[i] = newTestRepeats(clock, upstreams)
			case "restart":
				all[i].Restart()
			}
		}
		slices.SortFunc(firsts, time.Time.Compare)
		for _, from := range repeats {
			requests := max(countInWindow(firsts, from), countInWindow(firsts, from.Add(-testWindow/2)),
				countInWindow(firsts, from.Add(-testWindow)))
			allowed := testRatio*float64(requests) + testSlack
			if got := countInWindow(repeats, from); float64(got) > allowed {
				t.Fatalf("%d repeats in the window from %v on, for %d requests; allowed %.0f", got, from, requests, allowed)
			}
		}
	})
}

// TestRepeatLimitAtSteadyRate checks that at a steady rate of requests the full ratio of repeats is allowed, except for
// one span of each half window.
func TestRepeatLimitAtSteadyRate(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	repeats := NewRepeats(clock, func() RepeatLimits { return RepeatLimits{Ratio: testRatio, Window: testWindow} })
	const (
		rate          = 100
		seconds       = 60
		warmUpSeconds = 10
	)
	taken := 0
	for i := range rate * seconds {
		clock.now = clock.now.Add(time.Second / rate)
		repeats.CountFirst(clock.now)
		if repeats.Take(1) && i >= rate*warmUpSeconds {
			taken++
		}
	}
	if minTaken := (1 - 1.0/halfWindowSpans) * testRatio * rate * (seconds - warmUpSeconds); float64(taken) < minTaken {
		t.Errorf("%d repeats for %d requests, want at least %.0f", taken, rate*(seconds-warmUpSeconds), minTaken)
	}
}

// TestUndoTake checks that an undone repeat no longer counts against the limit.
func TestUndoTake(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	repeats := newTestRepeats(clock, int(testSlack))
	repeats.Allows(1)
	clock.now = clock.now.Add(testWindow)
	if !repeats.Take(1) || repeats.Take(1) {
		t.Fatal("the share is not one repeat")
	}
	repeats.UndoTake(clock.now)
	if !repeats.Take(1) {
		t.Error("an undone repeat still counts")
	}
}

// BenchmarkRepeats counts first arrivals and repeats in a full window.
func BenchmarkRepeats(b *testing.B) {
	repeats := newTestRepeats(timekeeper.System{}, 4)
	for b.Loop() {
		repeats.CountFirst(time.Now())
		repeats.Take(1)
	}
}
