package executor

import (
	"context"
	"strconv"
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
// can go to another node must be refused at once; others must run.
func TestOptionalAttemptsAreHandedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newGroup(t, 1, true, 1, 1e9, testDocument(time.Second)).members[0]
		optional := func(a *carrier.Attempt) { a.Optional = true }
		mandatory := func(*carrier.Attempt) {}
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

// TestStartWaitsForEndOfSlowPeriod sends requests of 100 ms to an upstream whose VM is 7 times slower than usual. A
// request that starts in such a period is slow to its end, so each must wait until the VM has its usual speed again.
// If the period lasts, the requests must start when they have waited for about as long as they would have lost at once.
func TestStartWaitsForEndOfSlowPeriod(t *testing.T) {
	const (
		probeInterval = 25 * time.Millisecond
		serviceTime   = 100 * time.Millisecond
	)
	for _, test := range []struct {
		name       string
		slowPeriod time.Duration
		want       time.Duration
	}{
		{"500ms", 500 * time.Millisecond, 600 * time.Millisecond},
		{"endless", time.Hour, 600*time.Millisecond + 7*serviceTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newGroup(t, 1, false, 1, 1e9, testDocument(time.Second)).members[0]
				m.reportsLoad.Store(true)
				m.group.demand = func(string) time.Duration { return serviceTime }
				m.ProbeLoad(t.Context())
				for range 50 {
					m.sendAttempt("usual", func(*carrier.Attempt) {})
				}
				m.slowdown.Store(7)
				began := time.Now()
				time.AfterFunc(test.slowPeriod, func() { m.slowdown.Store(1) })
				ctx, stop := context.WithCancel(t.Context())
				go m.probeLoadEvery(ctx, probeInterval)
				for i := range testSlots {
					x := m.newExecution(strconv.Itoa(i), time.Now().Add(5*time.Second))
					x.Attempt.Rank = "urgent"
					go func() {
						if got := reasonOf(m.Execute(context.Background(), x)); got != "" {
							t.Errorf("refused as %s", got)
						}
						if taken := time.Since(began); (taken - test.want).Abs() > 50*time.Millisecond {
							t.Errorf("answered after %s, want about %s", taken, test.want)
						}
					}()
				}
				time.Sleep(5 * time.Second)
				stop()
				// The goroutine that probes ends after its next pause.
				time.Sleep(probeInterval + time.Millisecond)
			})
		})
	}
}

// probeLoadEvery reports the upstream's load and sweeps the queue once per interval, as the node's tasks do.
func (m *member) probeLoadEvery(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		m.ProbeLoad(ctx)
		m.Sweep()
		time.Sleep(interval)
	}
}

// TestOldLoadReportIsRefreshedBeforeStart lets the VM turn slow between two requests that are a second apart. The
// second one must be handed back, although the last report said that the VM was fast.
func TestOldLoadReportIsRefreshedBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newGroup(t, 1, false, 1, 1e9, testDocument(time.Second)).members[0]
		optional := func(a *carrier.Attempt) { a.Optional = true }
		m.reportsLoad.Store(true)
		m.ProbeLoad(t.Context())
		if got := reasonOf(m.sendAttempt("fast", optional)); got != "" {
			t.Errorf("usual speed: refused as %s", got)
		}
		time.Sleep(time.Second)
		m.slowdown.Store(7)
		if got := reasonOf(m.sendAttempt("slow", optional)); got != refuser.ReasonBusy {
			t.Errorf("slow since the last report: %q, want %q", got, refuser.ReasonBusy)
		}
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
		crash := quarantiner.Crash{Process: announcer.Process{Instance: "crashed"}, Service: testService}
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
