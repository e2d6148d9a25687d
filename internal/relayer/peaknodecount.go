package relayer

import (
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// peakNodeCount tracks how many nodes share the retry slack of a service: the highest number at once in the current
// window and the one before. A peak is needed since a node that has gone may have used its share just before. It is
// safe for concurrent use.
type peakNodeCount struct {
	clock timekeeper.Clock

	mu          sync.Mutex
	previous    int
	current     int
	windowStart time.Time
}

func newPeakNodeCount(clock timekeeper.Clock) *peakNodeCount {
	return &peakNodeCount{clock: clock}
}

// observe records the current number of nodes and returns the peak.
func (p *peakNodeCount) observe(count int, window time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.clock.Now(); now.Sub(p.windowStart) >= window {
		p.previous, p.current, p.windowStart = p.current, 0, now
	}
	p.current = max(p.current, count)
	return max(p.previous, p.current)
}
