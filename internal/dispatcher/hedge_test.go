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

// TestOverdueCallIsHedged lets the first attempt of one call take a hundred times as long as usual. A hedge must answer
// it soon after the high quantile of the route's latencies.
func TestOverdueCallIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const usual = 10 * time.Millisecond
		var attempts atomic.Int64
		chain := newChain(t, 1, func() carrier.Outcome {
			if attempts.Add(1) == 101 {
				time.Sleep(100 * usual)
			}
			time.Sleep(usual)
			return carrier.Outcome{}
		})
		d := chain[0].Dispatcher
		for range 100 {
			d.Dispatch(context.Background(), newRequest(), &fasthttp.Response{})
		}
		started := time.Now()
		if refusal := d.Dispatch(context.Background(), newRequest(), &fasthttp.Response{}); refusal != nil {
			t.Fatal(refusal)
		}
		if taken := time.Since(started); taken > 3*usual {
			t.Errorf("answered after %s", taken)
		}
		time.Sleep(200 * usual)
	})
}
