package dispatcher

import (
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
)

// TestHowLongACallMayWait checks routes whose usual latency is known and not known, for callers that
// can come back and for those that can't. A route that was just added must be able to queue.
func TestHowLongACallMayWait(t *testing.T) {
	d := newChain(t, 1, func() carrier.Outcome { return carrier.Outcome{} })[0].Dispatcher
	tests := []struct {
		name                 string
		target, until, usual time.Duration
		least, most          time.Duration
	}{
		{"no target", 0, time.Second, 0, 0, 0},
		{"new route, can come back", 250 * time.Millisecond, 2 * time.Second, 0, 100 * time.Millisecond, 150 * time.Millisecond},
		{"new route, can't come back", time.Second, time.Second, 0, 400 * time.Millisecond, 600 * time.Millisecond},
		{"known, can come back", 250 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond, 130 * time.Millisecond, 160 * time.Millisecond},
		{"call below, can't come back", 80 * time.Millisecond, 200 * time.Millisecond, 15 * time.Millisecond, 150 * time.Millisecond, 180 * time.Millisecond},
		{"late already", 250 * time.Millisecond, 2 * time.Second, 400 * time.Millisecond, minUseful, minUseful},
	}
	for _, test := range tests {
		now := d.Clock.Now()
		call := &Call{Route: test.name, Service: "s", Started: now, Target: test.target, Until: now.Add(test.until)}
		for range 100 {
			if test.usual > 0 {
				d.latencies.of(call).observe(test.usual)
			}
		}
		if got := d.useful(call); got < test.least || got > test.most {
			t.Errorf("%s: may wait %s, want %s to %s", test.name, got, test.least, test.most)
		}
	}
}
