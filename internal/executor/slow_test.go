package executor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/quarantiner"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// offer sends one attempt to the member.
func (m *member) offer(id string, change func(a *carrier.Attempt)) carrier.Outcome {
	x := m.execution(id, time.Now().Add(time.Second))
	x.Attempt.Rank = "urgent"
	change(&x.Attempt)
	return m.Execute(context.Background(), x)
}

func reasonOf(outcome carrier.Outcome) refuser.Reason {
	if outcome.Refusal == nil {
		return ""
	}
	return outcome.Refusal.Reason
}

// TestOptionalAttemptsAreHandedBack offers attempts to an upstream that is slow, and to one that is
// full. What can go elsewhere comes back at once; what can't runs here.
func TestOptionalAttemptsAreHandedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newGroup(t, 1, true, 1, 1e9, testDocument(time.Second)).members[0]
		optional := func(a *carrier.Attempt) { a.Optional = true }
		must := func(*carrier.Attempt) {}
		relaxed := func(a *carrier.Attempt) { a.Optional, a.Relaxed = true, true }
		m.Report(interpreter.Load{Slots: testSlots, Slowdown: 1})
		if got := reasonOf(m.offer("well", optional)); got != "" {
			t.Errorf("well: refused as %s", got)
		}
		m.Report(interpreter.Load{Slots: testSlots, Slowdown: 7})
		if got := reasonOf(m.offer("slow", optional)); got != refuser.ReasonBusy {
			t.Errorf("slow: %q", got)
		}
		if got := reasonOf(m.offer("must", must)); got != "" {
			t.Errorf("slow, no other node: refused as %s", got)
		}
		m.Report(interpreter.Load{Slots: testSlots, Slowdown: 7})
		if got := reasonOf(m.offer("relaxed", relaxed)); got != "" {
			t.Errorf("slow, time to spare: refused as %s", got)
		}
		time.Sleep(loadTime)
		if got := reasonOf(m.offer("old word", optional)); got != "" {
			t.Errorf("a word that is too old: refused as %s", got)
		}
		m.Report(interpreter.Load{Slots: testSlots, Slowdown: 1})
		m.group.demand = func(string) time.Duration { return 100 * time.Millisecond }
		for range testSlots {
			go m.offer("filler", must)
		}
		synctest.Wait()
		if got := reasonOf(m.offer("full", optional)); got != refuser.ReasonBusy {
			t.Errorf("full: %q", got)
		}
		time.Sleep(time.Second)
	})
}

// TestReplacedUpstreamRunsNothingOfTheOld has an instance of another service take the address while
// requests wait.
func TestReplacedUpstreamRunsNothingOfTheOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1, true, 1, 1e9, testDocument(time.Second))
		m := g.members[0]
		m.Report(interpreter.Load{Slots: testSlots, Slowdown: 1})
		g.demand = func(string) time.Duration { return 100 * time.Millisecond }
		outcomes := make(chan carrier.Outcome, 3*testSlots)
		for range 3 * testSlots {
			go func() { outcomes <- m.offer("old", func(*carrier.Attempt) {}) }()
		}
		synctest.Wait()
		m.Announced(announcer.Announcement{
			Address: "127.0.0.1:1", Instance: "other", Service: "archive", Slots: testSlots, State: announcer.StateReady,
		})
		answered, refused := 0, 0
		for range 3 * testSlots {
			if outcome := <-outcomes; outcome.Refusal == nil {
				answered++
			} else if outcome.Refusal.IsNotRun() {
				refused++
			}
		}
		if answered != testSlots || refused != 2*testSlots {
			t.Errorf("%d ran and %d were refused as not run, want %d and %d", answered, refused, testSlots, 2*testSlots)
		}
	})
}

// TestBurstOnAFullUpstream sends four times what an upstream can take for a second. Those that are
// served are served in time, and nobody waits for a refusal much longer than an answer is of use.
func TestBurstOnAFullUpstream(t *testing.T) {
	const (
		work   = 100 * time.Millisecond
		target = 250 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1, false, 1, 1e9, testDocument(time.Second))
		m := g.members[0]
		m.Report(interpreter.Load{Slots: testSlots, Slowdown: 1})
		g.demand = func(string) time.Duration { return work }
		type result struct {
			refused bool
			taken   time.Duration
		}
		results := make(chan result, 1000)
		sent := 0
		for range 480 {
			sent++
			go func() {
				started := time.Now()
				outcome := m.offer("burst", func(a *carrier.Attempt) { a.Useful = target - work })
				results <- result{outcome.Refusal != nil, time.Since(started)}
			}()
			time.Sleep(time.Second / 480)
		}
		inTime, late := 0, 0
		for range sent {
			r := <-results
			switch {
			case r.refused && r.taken > target:
				t.Errorf("a refusal took %s", r.taken)
			case !r.refused && r.taken <= target:
				inTime++
			case !r.refused:
				late++
			}
		}
		t.Logf("%d in time, %d late of %d", inTime, late, sent)
		// The upstream can serve 120 a second, and those that wait at the end.
		if inTime < 115 || late > 12 {
			t.Errorf("%d in time and %d late, want at least 115 and at most 12", inTime, late)
		}
	})
}

// TestSuspectsRunApart offers two requests that were part of one crash. While the first runs the second waits,
// and is refused for what it is.
func TestSuspectsRunApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newGroup(t, 1, true, 1, 1e9, testDocument(time.Second)).members[0]
		m.group.demand = func(string) time.Duration { return 800 * time.Millisecond }
		crash := quarantiner.Crash{Instance: "crashed", Service: testService}
		for _, id := range []string{"first", "second"} {
			crash.Fingerprints = append(crash.Fingerprints, m.fingerprint(m.execution(id, time.Now())))
		}
		m.Quarantiner.Report(crash)
		must := func(*carrier.Attempt) {}
		go m.offer("first", must)
		synctest.Wait()
		if got := reasonOf(m.offer("second", must)); got != refuser.ReasonQuarantined {
			t.Errorf("the second suspect: %q, want %q", got, refuser.ReasonQuarantined)
		}
		time.Sleep(time.Second)
	})
}
