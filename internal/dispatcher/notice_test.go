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

// turning is a Targets whose upstream turns slow with each word on its load.
type turning struct {
	*level
}

// LoadSeen implements Targets.
func (turning) LoadSeen(string, carrier.Load) bool { return true }

// TestNoticeBeginsASecondTry has a node tell that its upstream has turned slow while a call waits for
// it. The call is answered by another one.
func TestNoticeBeginsASecondTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tries atomic.Int64
		chain := newChain(t, 1, func() carrier.Outcome {
			if tries.Add(1) == 101 {
				time.Sleep(time.Second)
			}
			time.Sleep(10 * time.Millisecond)
			return carrier.Outcome{}
		})
		d := chain[0].Dispatcher
		d.Targets = turning{chain[0]}
		for range 100 {
			d.Dispatch(context.Background(), newRequest(), &fasthttp.Response{})
		}
		// Only the notice can help: the timer would need twice the time.
		go func() {
			time.Sleep(4 * time.Millisecond)
			d.LoadSeen("target", carrier.Load{Slots: 12, Slowdown: 7})
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
