// Package budgeter limits the retries of requests and the bytes of control traffic.
package budgeter

import "sync"

// retryBurst is the maximum number of retries that a node saves up for a neighbour.
const retryBurst = 10.0

// Retries is the retry budget of each neighbour: a token bucket that is filled by first attempts. It is safe for
// concurrent use.
type Retries struct {
	mu     sync.Mutex
	ratio  func(neighbour string) float64
	tokens map[string]float64
}

// NewRetries returns an empty budget that earns ratio(neighbour) retries with each first attempt.
func NewRetries(ratio func(neighbour string) float64) *Retries {
	return &Retries{ratio: ratio, tokens: make(map[string]float64)}
}

// Earn adds what one first attempt earns to the neighbour's budget, up to retryBurst.
func (r *Retries) Earn(neighbour string) {
	ratio := r.ratio(neighbour)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[neighbour] = min(r.tokens[neighbour]+ratio, retryBurst)
}

// Refund returns a spent retry to the neighbour's budget, because it was not made or reached no upstream.
func (r *Retries) Refund(neighbour string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[neighbour]++
}

// Spend removes one retry from the neighbour's budget. It reports false if there is none left.
func (r *Retries) Spend(neighbour string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens[neighbour] < 1 {
		return false
	}
	r.tokens[neighbour]--
	return true
}
