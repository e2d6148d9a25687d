package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// TestHowLongACallMayWait checks routes whose usual latency is known and not known, for callers that
// can come back and for those that can't. A route that was just added must be able to queue.
func TestHowLongACallMayWait(t *testing.T) {
	d := newChain(t, 1, func() carrier.Outcome { return carrier.Outcome{} })[0].Dispatcher
	tests := []struct {
		name                       string
		target, until, work, queue time.Duration
		least, most                time.Duration
	}{
		{"no target", 0, time.Second, 0, 0, 0, 0},
		{"new route, can come back", 250 * time.Millisecond, 2 * time.Second, 0, 0, 100 * time.Millisecond, 150 * time.Millisecond},
		{"new route, can't come back", time.Second, time.Second, 0, 0, 400 * time.Millisecond, 600 * time.Millisecond},
		{"known, can come back", 250 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond, 0, 130 * time.Millisecond, 160 * time.Millisecond},
		{"call below, can't come back", 80 * time.Millisecond, 200 * time.Millisecond, 15 * time.Millisecond, 0, 110 * time.Millisecond, 130 * time.Millisecond},
		{"call below a flood", 120 * time.Millisecond, 400 * time.Millisecond, 40 * time.Millisecond, 100 * time.Millisecond, 170 * time.Millisecond, 190 * time.Millisecond},
		{"late already", 250 * time.Millisecond, 2 * time.Second, 400 * time.Millisecond, 0, minUseful, minUseful},
	}
	for _, test := range tests {
		now := d.Clock.Now()
		call := &Call{Route: test.name, Service: "s", Started: now, Target: test.target, Until: now.Add(test.until)}
		for range 100 {
			if test.work > 0 {
				d.latencies.of(call).observe(test.work+test.queue, test.work)
			}
		}
		if got := d.useful(call); got < test.least || got > test.most {
			t.Errorf("%s: may wait %s, want %s to %s", test.name, got, test.least, test.most)
		}
	}
}

// TestFullQueuesAreTriedForCallsBelow has two nodes refuse a call for want of room. A call that an upstream
// makes is offered to the next one, since its parent runs; a caller that can come back is told to.
func TestFullQueuesAreTriedForCallsBelow(t *testing.T) {
	tests := []struct {
		name     string
		deadline time.Duration
		tries    int
		served   bool
	}{
		{"call below", 200 * time.Millisecond, 3, true},
		{"can come back", 10 * time.Second, 1, false},
	}
	for _, test := range tests {
		tries := 0
		d := newChain(t, 1, func() carrier.Outcome {
			if tries++; tries <= 2 {
				return carrier.Outcome{Refusal: refuser.Later(refuser.ReasonQueueFull, time.Second, "full")}
			}
			return carrier.Outcome{}
		})[0].Dispatcher
		document := *d.table.Load().document
		document.Routes[0].Deadline = validator.Duration(test.deadline)
		d.Configure(&document)
		refusal := d.Dispatch(context.Background(), newRequest(), &fasthttp.Response{})
		if served := refusal == nil; served != test.served || tries != test.tries {
			t.Errorf("%s: served %t after %d tries, want %t after %d", test.name, served, tries, test.served, test.tries)
		}
	}
}
