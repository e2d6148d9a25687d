package executor

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var weightedLateBinding = policy{name: "late binding, weighted", lateBinding: true, viaEntryNodes: true}

// TestFastFailingUpstreamGetsLessWork has one upstream answer with errors after 0.1 ms. It frees its slots
// quickly, but must get less than its equal share of the requests, not more.
func TestFastFailingUpstreamGetsLessWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 8, true, 1, 1e9, testDocument(time.Minute))
		g.members[7].failFast.Store(true)
		const perSecond, length = 6000.0, 5 * time.Second
		runLoad(g, weightedLateBinding, perSecond, length, 1)
		fair := perSecond * length.Seconds() / 8
		got := float64(g.members[7].failedRequests.Load())
		t.Logf("the failing upstream got %.0f requests, its equal share is %.0f", got, fair)
		if got > fair/4 {
			t.Errorf("the failing upstream got %.0f requests, want at most a quarter of its equal share", got)
		}
	})
}

// TestSuddenSlowdown makes one of 8 upstreams 10 times slower at once and restores it after 2 s. The median
// latency of all calls must stay low.
func TestSuddenSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 8, true, 1, 1e9, testDocument(time.Minute))
		slow := g.members[7]
		go func() {
			time.Sleep(2 * time.Second)
			slow.slowdown.Store(10)
			began := time.Now()
			for slow.Status().Limit > testSlots/2 && time.Since(began) < time.Second {
				time.Sleep(time.Millisecond)
			}
			t.Logf("the limit has dropped after %s", time.Since(began))
			time.Sleep(2*time.Second - time.Since(began))
			slow.slowdown.Store(1)
			began = time.Now()
			for slow.Status().Limit < testSlots && time.Since(began) < 5*time.Second {
				time.Sleep(time.Millisecond)
			}
			t.Logf("the limit is restored after %s", time.Since(began))
		}()
		const perSecond = 0.75 * 8 * testSlots / 0.010
		q := runLoad(g, weightedLateBinding, perSecond, 8*time.Second, 1)
		t.Logf("p50 %s p99 %s p99.9 %s", q.p50, q.p99, q.p999)
		if q.p50 > 20*time.Millisecond {
			t.Errorf("the median is %s although 7 of 8 upstreams run at their usual speed", q.p50)
		}
	})
}

// TestLostBindingMessages drops 30% of one kind of late-binding messages. No request may run twice
// or remain without an outcome, and no slot or queue entry may be left over.
func TestLostBindingMessages(t *testing.T) {
	for _, message := range []string{"reserve", "pull", "pull-reply", "send"} {
		t.Run(message, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 4, true, 1, 1e9, testDocument(time.Minute))
				lossRandom := g.random
				g.isLost = func(kind string) bool {
					g.mu.Lock()
					defer g.mu.Unlock()
					return kind == message && lossRandom.Float64() < 0.3
				}
				q := runLoad(g, weightedLateBinding, 0.95*4*testSlots/0.010, 2*time.Second, 1)
				t.Logf("p99 %s, refused %d of %d, %.0f bindings undone",
					q.p99, q.refused, len(g.runs), g.eventSum("bindings_undone"))
				for id, count := range g.runs {
					if count > 1 {
						t.Errorf("%s ran %d times", id, count)
					}
				}
				for _, m := range g.members {
					if load := m.Status().Load; load.Running != 0 || load.Queued != 0 {
						t.Errorf("%s is left with %d running and %d queued", m.name, load.Running, load.Queued)
					}
				}
			})
		})
	}
}

// TestNodeFailsWhileRequestsWait makes a node unreachable repeatedly while others hold its reservations and
// grants. No request may run twice.
func TestNodeFailsWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 4, true, 1, 1e9, testDocument(time.Minute))
		go func() {
			for range 5 {
				time.Sleep(300 * time.Millisecond)
				g.members[3].down.Store(true)
				time.Sleep(100 * time.Millisecond)
				g.members[3].down.Store(false)
			}
		}()
		q := runLoad(g, weightedLateBinding, 0.95*4*testSlots/0.010, 2*time.Second, 1)
		t.Logf("p99 %s, refused %d of %d", q.p99, q.refused, len(g.runs))
		for id, count := range g.runs {
			if count > 1 {
				t.Errorf("%s ran %d times", id, count)
			}
		}
	})
}

// TestFloodOverAGroup floods four upstreams that use late binding with 3 times their capacity of the least
// urgent rank. The p99 of the most urgent rank must rise by at most 20%.
func TestFloodOverAGroup(t *testing.T) {
	const capacity, length = 4 * testSlots / 0.010, 3 * time.Second
	var withoutFlood, withFlood, floodLatency quantiles
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 4, true, 1, 1e9, testDocument(200*time.Millisecond))
		withoutFlood = runLoad(g, weightedLateBinding, capacity/4, length, 1)
	})
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 4, true, 1, 1e9, testDocument(200*time.Millisecond))
		done := make(chan struct{})
		go func() {
			defer close(done)
			floodLatency = runRankLoad(g, weightedLateBinding, "bulk", "bulk", 3*capacity, length, 2)
		}()
		withFlood = runLoad(g, weightedLateBinding, capacity/4, length, 1)
		<-done
	})
	t.Logf("urgent p99 without flood %s, with flood %s, refused %d; bulk p99 %s, refused %d",
		withoutFlood.p99, withFlood.p99, withFlood.refused, floodLatency.p99, floodLatency.refused)
	if ratio(withFlood.p99, withoutFlood.p99) > 1.2 {
		t.Errorf("p99 of the most urgent rank is %s with the flood, want at most 1.2 times %s", withFlood.p99, withoutFlood.p99)
	}
}

// TestUrgentFloodOverAGroup floods four upstreams with 3 times their capacity of the most urgent rank. All
// ranks must get at least 95% of their guaranteed shares.
func TestUrgentFloodOverAGroup(t *testing.T) {
	// With exponential service times, the sampling error of the request counts is 2% after 5 s.
	const capacity, length = 4 * testSlots / 0.010, 24 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 4, true, 1, 1e9, testDocument(200*time.Millisecond))
		loads := map[string]float64{"urgent": 3 * capacity, "browse": capacity, "bulk": capacity}
		results := make(map[string]quantiles)
		var mu sync.Mutex
		var floods sync.WaitGroup
		for rank, perSecond := range loads {
			floods.Go(func() {
				got := runRankLoad(g, weightedLateBinding, rank, rank, perSecond, length, uint64(len(rank)))
				mu.Lock()
				defer mu.Unlock()
				results[rank] = got
			})
		}
		floods.Wait()
		for _, rank := range testDocument(time.Second).Ranks {
			fraction := float64(results[rank.Name].answered) / (capacity * (length - length/6).Seconds())
			t.Logf("%s got %.3f of the capacity, guaranteed %.2f", rank.Name, fraction, rank.GuaranteedShare)
			if fraction < 0.95*rank.GuaranteedShare {
				t.Errorf("%s got %.3f of the capacity, want 95%% of %.2f", rank.Name, fraction, rank.GuaranteedShare)
			}
		}
	})
}
