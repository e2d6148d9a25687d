package carrier

import (
	"sync"
	"time"
)

const (
	defaultPatience = time.Second
	deviationFactor = 4
	// minPatience is above the time for which an upstream that shares its VM is slow.
	minPatience     = 600 * time.Millisecond
	patienceSamples = 8
	smoothing       = 8
)

// patience estimates how long an answer of one peer can take before its connection is suspect,
// from the smoothed time and deviation of recent answers as TCP does for retransmission (RFC 6298).
type patience struct {
	mu        sync.Mutex
	deviation time.Duration
	mean      time.Duration
	samples   int
}

func newPatience() *patience {
	return &patience{}
}

func (p *patience) observe(taken time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples++
	if p.samples == 1 {
		p.mean = taken
		p.deviation = taken / 2
		return
	}
	difference := taken - p.mean
	p.mean += difference / smoothing
	p.deviation += (difference.Abs() - p.deviation) / (smoothing / 2)
}

// current returns the time after which an answer is overdue.
func (p *patience) current() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.samples < patienceSamples {
		return defaultPatience
	}
	return max(minPatience, p.mean+deviationFactor*p.deviation)
}
