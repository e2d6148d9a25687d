package dispatcher

import (
	"math"
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// maxDeviation is the number of requests by which a part can differ from its share, for any start of the sequence.
const maxDeviation = 2.5

// TestSplitFollowsWeights checks that the shares follow the weights over few and over many requests.
func TestSplitFollowsWeights(t *testing.T) {
	parts := []validator.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none", Weight: 0}}
	for _, requests := range []int{50, 300, 10000} {
		s := newSplit(parts)
		counts := make(map[string]int)
		for range requests {
			counts[s.next()]++
		}
		if counts["none"] > 0 {
			t.Errorf("a part with weight 0 got %d requests", counts["none"])
		}
		if deviation := math.Abs(float64(counts["b"]) - 0.1*float64(requests)); deviation > maxDeviation {
			t.Errorf("%d requests: %v, off by %.1f requests", requests, counts, deviation)
		}
	}
}
