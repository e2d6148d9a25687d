// Package quantiler estimates a quantile of a stream of durations in constant memory.
package quantiler

import (
	"math"
	"sync"
	"time"
)

const (
	// tailSamples is how many samples an estimate needs, on average, on the rarer side of the quantile
	// before it is used. It needs at least minSamples in any case.
	tailSamples = 1.0
	minSamples  = 8
	// minSample is used in place of shorter samples, so that every logarithm is finite.
	minSample = time.Microsecond
	// logStep is the sum of the step up and the step down, in units of the natural logarithm.
	logStep = 0.2
)

// Estimate tracks one quantile of the durations that it observes. Each sample above the estimate moves it
// up and any other moves it down, by step sizes that balance at the quantile (frugal streaming; Ma,
// Muthukrishnan and Sandler, 2013). The steps are multiplicative. It is safe for concurrent use.
type Estimate struct {
	requiredSamples int
	quantile        float64

	mu      sync.Mutex
	samples int
	// logEstimate is the natural logarithm of the estimate in seconds.
	logEstimate float64
}

// New returns an estimate of the given quantile, which is between 0 and 1.
func New(quantile float64) *Estimate {
	tail := min(quantile, 1-quantile)
	return &Estimate{requiredSamples: max(minSamples, int(math.Round(tailSamples/tail))), quantile: quantile}
}

// Observe updates the estimate with one sample.
func (e *Estimate) Observe(sample time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	logarithm := math.Log(max(sample, minSample).Seconds())
	e.samples++
	switch {
	case e.samples == 1:
		e.logEstimate = logarithm
	case logarithm > e.logEstimate:
		e.logEstimate += logStep * e.quantile
	default:
		e.logEstimate -= logStep * (1 - e.quantile)
	}
}

// Value returns the estimate, or zero while there are too few samples.
func (e *Estimate) Value() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.samples < e.requiredSamples {
		return 0
	}
	return time.Duration(math.Exp(e.logEstimate) * float64(time.Second))
}
