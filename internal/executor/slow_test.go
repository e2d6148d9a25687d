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

// sendAttempt executes one attempt of rank urgent at the member, after applying modify to it.
func (m *member) sendAttempt(id string, modify func(a *carrier.Attempt)) carrier.Outcome {
	x := m.newExecution(id, time.Now().Add(time.Second))
	x.Attempt.Rank = "urgent"
	modify(&x.Attempt)
	return m.Execute(context.Background(), x)
}

func reasonOf(outcome carrier.Outcome) refuser.Reason {
	if outcome.Refusal == nil {
		return ""
	}
	return outcome.Refusal.Reason
}

// TestOptionalAttemptsAreHandedBack sends attempts to an upstream that is slow, and then full. Attempts that
// can go to another node must be refused at once; others, and at a slow upstream those that tolerate it, must run.
func TestOptionalAttemptsAreHandedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newGroup(t, 1, true, 1, 1e9, testDocument(time.Second)).members[0]
		optional := func(a *carrier.Attempt) { a.Optional = true }
		mandatory := func(*carrier.Attempt) {}
		toleratesSlow := func(a *carrier.Attempt) { a.Optional, a.ToleratesSlow = true, true }
		m.UpdateLoad(interpreter.Load{Slots: testSlots, Slowdown: 1})
		if got := reasonOf(m.sendAttempt("well", optional)); got != "" {
			t.Errorf("usual speed: refused as %s", got)
		}
		m.UpdateLoad(interpreter.Load{Slots: testSlots, Slowdown: 7})
		if got := reasonOf(m.sendAttempt("slow", optional)); got != refuser.ReasonBusy {
			t.Errorf("slow: %q", got)
		}
		if got := reasonOf(m.sendAttempt("must", mandatory)); got != "" {
			t.Errorf("slow, no other node: refused as %s", got)
		}
		m.UpdateLoad(interpreter.Load{Slots: testSlots, Slowdown: 7})
		if got := reasonOf(m.sendAttempt("relaxed", toleratesSlow)); got != "" {
			t.Errorf("slow, time to spare: refused as %s", got)
		}
		time.Sleep(loadReportTTL)
		if got := reasonOf(m.sendAttempt("old word", optional)); got != "" {
			t.Errorf("expired load report: refused as %s", got)
		}
		m.UpdateLoad(interpreter.Load{Slots: testSlots, Slowdown: 1})
		m.group.demand = func(string) time.Duration { return 100 * time.Millisecond }
		for range testSlots {
			go m.sendAttempt("filler", mandatory)
		}
		synctest.Wait()
		if got := reasonOf(m.sendAttempt("full", optional)); got != refuser.ReasonBusy {
			t.Errorf("full: %q", got)
		}
		time.Sleep(time.Second)
	})
}

// TestReplacedUpstreamRunsNoQueuedRequest replaces the upstream by one of another service at the same address
// while requests are queued. The queued requests must be refused as not run.
func TestReplacedUpstreamRunsNoQueuedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1, true, 1, 1e9, testDocument(time.Second))
		m := g.members[0]
		m.UpdateLoad(interpreter.Load{Slots: testSlots, Slowdown: 1})
		g.demand = func(string) time.Duration { return 100 * time.Millisecond }
		outcomes := make(chan carrier.Outcome, 3*testSlots)
		for range 3 * testSlots {
			go func() { outcomes <- m.sendAttempt("old", func(*carrier.Attempt) {}) }()
		}
		synctest.Wait()
		m.HandleAnnouncement(announcer.Announcement{
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

// TestBurstOnAFullUpstream sends four times the capacity of an upstream for one second. Almost all requests that
// are served must be in time, and no refusal may take longer than the target latency.
func TestBurstOnAFullUpstream(t *testing.T) {
	const (
		serviceTime   = 100 * time.Millisecond
		targetLatency = 250 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1, false, 1, 1e9, testDocument(time.Second))
		m := g.members[0]
		m.UpdateLoad(interpreter.Load{Slots: testSlots, Slowdown: 1})
		g.demand = func(string) time.Duration { return serviceTime }
		type result struct {
			refused bool
			elapsed time.Duration
		}
		results := make(chan result, 1000)
		sent := 0
		for range 480 {
			sent++
			go func() {
				started := time.Now()
				outcome := m.sendAttempt("burst", func(a *carrier.Attempt) { a.UsefulWait = targetLatency - serviceTime })
				results <- result{outcome.Refusal != nil, time.Since(started)}
			}()
			time.Sleep(time.Second / 480)
		}
		inTime, late := 0, 0
		for range sent {
			r := <-results
			switch {
			case r.refused && r.elapsed > targetLatency:
				t.Errorf("a refusal took %s", r.elapsed)
			case !r.refused && r.elapsed <= targetLatency:
				inTime++
			case !r.refused:
				late++
			}
		}
		t.Logf("%d in time, %d late of %d", inTime, late, sent)
		// The upstream can serve 120 requests in the second, plus those queued at its end.
		if inTime < 115 || late > 12 {
			t.Errorf("%d in time and %d late, want at least 115 and at most 12", inTime, late)
		}
	})
}

// TestCrashSuspectsDoNotOverlap sends two requests that were part of the same crash. While the first one runs
// the second must wait, and it is refused as quarantined when the first takes too long.
func TestCrashSuspectsDoNotOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newGroup(t, 1, true, 1, 1e9, testDocument(time.Second)).members[0]
		m.group.demand = func(string) time.Duration { return 800 * time.Millisecond }
		crash := quarantiner.Crash{Instance: "crashed", Service: testService}
		for _, id := range []string{"first", "second"} {
			crash.Fingerprints = append(crash.Fingerprints, m.fingerprint(m.newExecution(id, time.Now())))
		}
		m.Quarantiner.Report(crash)
		mandatory := func(*carrier.Attempt) {}
		go m.sendAttempt("first", mandatory)
		synctest.Wait()
		if got := reasonOf(m.sendAttempt("second", mandatory)); got != refuser.ReasonQuarantined {
			t.Errorf("the second suspect: %q, want %q", got, refuser.ReasonQuarantined)
		}
		time.Sleep(time.Second)
	})
}
