// Package budgeter bounds what retries and control traffic may cost.
package budgeter

import "sync"

// retryBurst is how many retries a node can save for a neighbour.
const retryBurst = 10.0

// Retries allows a bounded number of retries for each neighbour's first tries. It is safe for
// concurrent use.
type Retries struct {
	mu     sync.Mutex
	ratio  func(neighbour string) float64
	tokens map[string]float64
}

// NewRetries returns a budget that earns ratio(neighbour) retries for each first try.
func NewRetries(ratio func(neighbour string) float64) *Retries {
	return &Retries{ratio: ratio, tokens: make(map[string]float64)}
}

// Earn books a first try of the neighbour.
func (r *Retries) Earn(neighbour string) {
	ratio := r.ratio(neighbour)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[neighbour] = min(r.tokens[neighbour]+ratio, retryBurst)
}

// Refund gives back a retry that reached no upstream.
func (r *Retries) Refund(neighbour string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[neighbour]++
}

// Spend takes a retry out of the neighbour's budget. It reports false when none is left.
func (r *Retries) Spend(neighbour string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens[neighbour] < 1 {
		return false
	}
	r.tokens[neighbour]--
	return true
}
