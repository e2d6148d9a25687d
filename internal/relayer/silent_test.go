package relayer_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/internal/skipper"
)

// TestSilentConnections makes one or all of the connections to a node silent permanently, while new ones work. It
// guards against calls that are lost, run twice or are delayed because other connections are silent, and against a
// node that is marked down for it.
func TestSilentConnections(t *testing.T) {
	const (
		callers        = 8
		callsPerCaller = 40
		service        = 20 * time.Millisecond
		// delayThreshold is the time beyond the service time after which a call counts as delayed.
		delayThreshold = 60 * time.Millisecond
	)
	for _, count := range []int{1, callers} {
		t.Run(fmt.Sprintf("%d of %d", count, callers), func(t *testing.T) {
			skipper.KnownRed(t)
			c := newTestCluster(t, 1, responder.Behaviour{ServiceTime: service, Slots: callers, Steady: true})
			run := func(prefix string) (results []callResult) {
				var mu sync.Mutex
				var work sync.WaitGroup
				for i := range callers {
					work.Go(func() {
						for n := range callsPerCaller {
							id := fmt.Sprintf("%s-%d-%d", prefix, i, n)
							result := sendCall(t, c.entry.Settings.CallerAddress, fasthttp.MethodPost, id, "", 3*time.Second)
							mu.Lock()
							results = append(results, result)
							mu.Unlock()
							if ran := c.Journal.Count(id); ran != 1 {
								t.Errorf("%s ran %d times", id, ran)
							}
						}
					})
				}
				work.Wait()
				return results
			}
			run("warm")
			if got := c.network.silence(c.Node(1).Settings.PeerAddress, count); got != count {
				t.Fatalf("%d connections were open, want at least %d", got, count)
			}
			delayed, worst := 0, time.Duration(0)
			for _, result := range run("silent") {
				if !result.answered {
					t.Errorf("a call was not answered: %s", result)
				}
				if result.elapsed > service+delayThreshold {
					delayed++
				}
				worst = max(worst, result.elapsed)
			}
			t.Logf("%d of %d calls delayed, the worst took %s", delayed, callers*callsPerCaller, worst)
			if delayed > 2*count {
				t.Errorf("%d calls were delayed by %d silent connections", delayed, count)
			}
			if m, _ := c.entry.Node.Member(c.Node(1).Spec.Name); !m.IsServing() {
				t.Error("the node was marked down")
			}
		})
	}
}
