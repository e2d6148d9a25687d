package dispatcher

import (
	"math"
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// TestSplitKeepsItsWeights compares the parts of few and of many requests with the weights.
func TestSplitKeepsItsWeights(t *testing.T) {
	parts := []validator.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none", Weight: 0}}
	for _, requests := range []int{50, 300, 10000} {
		s := newSplit(parts)
		counts := make(map[string]int)
		for range requests {
			counts[s.next()]++
		}
		if counts["none"] > 0 {
			t.Errorf("a part without weight got %d", counts["none"])
		}
		if off := math.Abs(float64(counts["b"])/float64(requests) - 0.1); off > 2/float64(requests) {
			t.Errorf("%d requests: %v, off by %.3f", requests, counts, off)
		}
	}
}
