package relayer

import (
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// sharers counts the nodes that share the slack of a service: the most that were there at once within a window or
// two, since one that has gone may have used its share just before.
type sharers struct {
	clock timekeeper.Clock

	mu      sync.Mutex
	before  int
	most    int
	rotated time.Time
}

func newSharers(clock timekeeper.Clock) *sharers {
	return &sharers{clock: clock}
}

// count takes the number of nodes that are there now and returns the number that share.
func (s *sharers) count(now int, window time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.clock.Now(); at.Sub(s.rotated) >= window {
		s.before, s.most, s.rotated = s.most, 0, at
	}
	s.most = max(s.most, now)
	return max(s.before, s.most)
}
