package dispatcher

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
)

// slowingTargets is a Targets whose upstream becomes slow with each load report.
type slowingTargets struct {
	*level
}

// ObserveLoad implements Targets.
func (slowingTargets) ObserveLoad(string, carrier.Load) bool { return true }

// TestSlowdownReportStartsHedge checks that a waiting call is hedged at once, and answered by the hedge, when its
// target reports that its upstream has become slow.
func TestSlowdownReportStartsHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int64
		chain := newChain(t, 1, func() carrier.Outcome {
			if attempts.Add(1) == 101 {
				time.Sleep(time.Second)
			}
			time.Sleep(10 * time.Millisecond)
			return carrier.Outcome{}
		})
		d := chain[0].Dispatcher
		d.Targets = slowingTargets{chain[0]}
		for range 100 {
			d.Dispatch(context.Background(), newRequest(), &fasthttp.Response{})
		}
		// Only the report can start the hedge in time: the timer would take twice as long.
		go func() {
			time.Sleep(4 * time.Millisecond)
			d.HandleLoadReport("target", carrier.Load{Slots: 12, Slowdown: 7})
		}()
		started := time.Now()
		if refusal := d.Dispatch(context.Background(), newRequest(), &fasthttp.Response{}); refusal != nil {
			t.Fatal(refusal)
		}
		if taken := time.Since(started); taken > 15*time.Millisecond {
			t.Errorf("answered after %s", taken)
		}
		time.Sleep(2 * time.Second)
	})
}
