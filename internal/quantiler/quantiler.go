// Package quantiler estimates a quantile of a stream in constant memory.
package quantiler

import (
	"math"
	"sync"
	"time"
)

const (
	// tailSamples is how many samples on the rarer side of the quantile an estimate needs, on average,
	// before it is used; it needs minSamples in any case.
	tailSamples = 1.0
	minSamples  = 8
	minSample   = time.Microsecond
	// step is the size of both steps together, as a logarithm.
	step = 0.2
)

// Estimate follows one quantile of the durations that it observes, by steps up and down whose sizes
// balance at the quantile (frugal streaming; Ma, Muthukrishnan and Sandler, 2013). It is safe for
// concurrent use.
type Estimate struct {
	needed   int
	quantile float64

	mu      sync.Mutex
	samples int
	// value is the logarithm of the estimate in seconds.
	value float64
}

// New returns an estimate of the quantile, which is between 0 and 1.
func New(quantile float64) *Estimate {
	rarer := min(quantile, 1-quantile)
	return &Estimate{needed: max(minSamples, int(math.Round(tailSamples/rarer))), quantile: quantile}
}

// Observe takes one sample.
func (e *Estimate) Observe(sample time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	logarithm := math.Log(max(sample, minSample).Seconds())
	e.samples++
	switch {
	case e.samples == 1:
		e.value = logarithm
	case logarithm > e.value:
		e.value += step * e.quantile
	default:
		e.value -= step * (1 - e.quantile)
	}
}

// Value returns the estimate, or zero while too little is known.
func (e *Estimate) Value() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.samples < e.needed {
		return 0
	}
	return time.Duration(math.Exp(e.value) * float64(time.Second))
}
