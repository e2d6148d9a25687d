package dispatcher

import (
	"math"
	"math/rand/v2"
	"sync/atomic"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// goldenRatio spreads its multiples evenly over the unit interval, whatever their number.
const goldenRatio = 0.6180339887498949

// split shares a route's requests out by weight. Each part keeps its share also over few requests, and
// whether or not the parts have room.
type split struct {
	count atomic.Uint64
	parts []validator.Part
	start float64
	sum   float64
}

func newSplit(parts []validator.Part) *split {
	s := &split{parts: parts, start: rand.Float64()}
	for _, part := range parts {
		s.sum += part.Weight
	}
	return s
}

// next returns the service that the next request goes to.
func (s *split) next() string {
	_, at := math.Modf(s.start + goldenRatio*float64(s.count.Add(1)))
	at *= s.sum
	for _, part := range s.parts {
		at -= part.Weight
		if at < 0 {
			return part.Service
		}
	}
	return s.parts[len(s.parts)-1].Service
}
