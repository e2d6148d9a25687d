package budgeter

import (
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// Bytes is a token bucket that limits the control traffic of one purpose, in bytes per second. It is safe for
// concurrent use.
type Bytes struct {
	burst float64
	clock timekeeper.Clock

	mu         sync.Mutex
	refilledAt time.Time
	rate       float64
	tokens     float64
}

// burstTime is the capacity of a bucket, as the time in which an empty one is filled at its rate.
const burstTime = 2 * time.Second

// NewBytes returns a full bucket that is refilled at rate, in bytes per second.
func NewBytes(clock timekeeper.Clock, rate float64) *Bytes {
	burst := rate * burstTime.Seconds()
	return &Bytes{burst: burst, clock: clock, refilledAt: clock.Now(), rate: rate, tokens: burst}
}

// SetRate changes the refill rate, in bytes per second, and the capacity with it.
func (b *Bytes) SetRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.rate = rate
	b.burst = rate * burstTime.Seconds()
	b.tokens = min(b.tokens, b.burst)
}

// Allows reports whether n bytes may be sent now.
func (b *Bytes) Allows(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return b.tokens >= float64(n)
}

// Charge removes n bytes that were sent from the bucket. Its level can become negative, down to minus its capacity;
// then nothing is allowed until the bucket is refilled.
func (b *Bytes) Charge(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens = max(b.tokens-float64(n), -b.burst)
}

func (b *Bytes) refill() {
	now := b.clock.Now()
	b.tokens = min(b.tokens+b.rate*now.Sub(b.refilledAt).Seconds(), b.burst)
	b.refilledAt = now
}
