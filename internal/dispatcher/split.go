package dispatcher

import (
	"math"
	"math/rand/v2"
	"sync/atomic"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// goldenRatio spreads its multiples evenly over the unit interval, whatever their number.
const goldenRatio = 0.6180339887498949

// split distributes a route's requests over services by weight. The shares also hold over few requests, and
// whether or not the services have capacity. It is safe for concurrent use.
type split struct {
	sequence    atomic.Uint64
	parts       []validator.Part
	offset      float64
	totalWeight float64
}

func newSplit(parts []validator.Part) *split {
	s := &split{parts: parts, offset: rand.Float64()}
	for _, part := range parts {
		s.totalWeight += part.Weight
	}
	return s
}

// next returns the service for the next request.
func (s *split) next() string {
	_, position := math.Modf(s.offset + goldenRatio*float64(s.sequence.Add(1)))
	position *= s.totalWeight
	for _, part := range s.parts {
		position -= part.Weight
		if position < 0 {
			return part.Service
		}
	}
	return s.parts[len(s.parts)-1].Service
}
