package carrier

import (
	"sync"
	"time"
)

const (
	// defaultResponseTimeout is the timeout until minSamples response times are known.
	defaultResponseTimeout = time.Second
	deviationFactor        = 4
	// minResponseTimeout is longer than the periods for which an upstream on a shared VM is slow.
	minResponseTimeout = 600 * time.Millisecond
	minSamples         = 8
	smoothingDivisor   = 8
)

// responseTimeEstimate estimates how long a response of one peer can take before its connection is suspected to be
// faulty. It uses the smoothed mean and deviation of recent response times, as TCP does for its retransmission timeout
// (RFC 6298). It is safe for concurrent use.
type responseTimeEstimate struct {
	mu        sync.Mutex
	deviation time.Duration
	mean      time.Duration
	samples   int
}

func newResponseTimeEstimate() *responseTimeEstimate {
	return &responseTimeEstimate{}
}

func (e *responseTimeEstimate) observe(sample time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples++
	if e.samples == 1 {
		e.mean = sample
		e.deviation = sample / 2
		return
	}
	difference := sample - e.mean
	e.mean += difference / smoothingDivisor
	e.deviation += (difference.Abs() - e.deviation) / (smoothingDivisor / 2)
}

// timeout returns the time after which a response is overdue.
func (e *responseTimeEstimate) timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.samples < minSamples {
		return defaultResponseTimeout
	}
	return max(minResponseTimeout, e.mean+deviationFactor*e.deviation)
}
