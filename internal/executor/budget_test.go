package executor

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/skipper"
)

// TestLateBindingOnBudget runs late binding at the designed rate of 86 calls per second and node, with and
// without the byte budget of a node. The budget must not lengthen the latency tail by dropping reservations.
func TestLateBindingOnBudget(t *testing.T) {
	const (
		bytesPerSecond = 2800
		mean           = 12 * time.Second / 86
		length         = 30 * time.Second
	)
	var exact quantiles
	capacity := (7 + 1.0/3) * testSlots / mean.Seconds()
	for _, load := range []float64{0.75, 0.90, 0.97} {
		for _, p := range []policy{
			{name: "shortest queue, exact", choose: shortestQueue},
			{name: "unlimited", lateBinding: true, viaEntryNodes: true},
			{name: "on budget", lateBinding: true, viaEntryNodes: true},
		} {
			t.Run(fmt.Sprintf("%.2f %s", load, p.name), func(t *testing.T) {
				skipper.KnownRed(t)
				synctest.Test(t, func(t *testing.T) {
					rate := 1e9
					if p.name == "on budget" {
						rate = bytesPerSecond
					}
					g := newGroup(t, 8, p.lateBinding, 1, rate, testDocument(time.Minute))
					g.demand = func(id string) time.Duration { return exponentialDemand(1, id, mean) }
					g.members[7].slowdown.Store(3)
					r := runLoad(g, p, load*capacity, length, 1)
					if p.name == "shortest queue, exact" {
						exact = r
					}
					if ratio(r.p99, exact.p99) > maxTailRatio {
						t.Errorf("p99 is %.2f times that of the exact shortest queue", ratio(r.p99, exact.p99))
					}
					calls := float64(len(g.runs))
					t.Logf("p50 %s p99 %s p99.9 %s, %.2f reservations a call, %.0f bytes a second a node", r.p50, r.p99, r.p999,
						g.eventSum("reservations")/calls, g.eventSum("reservations")*reservationBytes/length.Seconds()/8)
				})
			})
		}
	}
}
