package dispatcher

import (
	"math"
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// mostOff is by how many requests a part may differ from its weight, whatever the start of the sequence.
const mostOff = 2.5

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
		if off := math.Abs(float64(counts["b"]) - 0.1*float64(requests)); off > mostOff {
			t.Errorf("%d requests: %v, off by %.1f requests", requests, counts, off)
		}
	}
}
