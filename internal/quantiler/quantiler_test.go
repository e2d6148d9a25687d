package quantiler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestEstimateTracksQuantile guards against an estimate that misses its quantile, in particular after the
// mean of the samples has changed. The first 2000 samples after each change are not compared.
func TestEstimateTracksQuantile(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	e := New(0.95)
	for _, mean := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 5 * time.Millisecond} {
		above, compared := 0, 0
		for i := range 20000 {
			sample := time.Duration(random.ExpFloat64() * float64(mean))
			if i >= 2000 {
				compared++
				if sample > e.Value() {
					above++
				}
			}
			e.Observe(sample)
		}
		share := float64(above) / float64(compared)
		t.Logf("mean %s: %.3f of the samples are above the estimate", mean, share)
		if math.Abs(share-0.05) > 0.02 {
			t.Errorf("mean %s: %.3f of the samples are above the estimate, want about 0.05", mean, share)
		}
	}
}
