package budgeter

import (
	"context"
	"sync"
)

// Scope collects the holdings that are released together: those of the responses received for one request, which occupy
// memory until its own response is written. The zero Scope is ready to use, and safe for concurrent use.
type Scope struct {
	mu       sync.Mutex
	closed   bool
	holdings []*Holding
}

// scopeKey is the key of a context's Scope.
type scopeKey struct{}

// WithScope returns a copy of ctx with the Scope.
func WithScope(ctx context.Context, scope *Scope) context.Context {
	return context.WithValue(ctx, scopeKey{}, scope)
}

// ReleaseWith releases the holding of a whole body with the Scope of ctx, or at once if ctx has none or it is closed.
func (h *Holding) ReleaseWith(ctx context.Context) {
	if h == nil {
		return
	}
	scope, ok := ctx.Value(scopeKey{}).(*Scope)
	if !ok {
		h.Release()
		return
	}
	scope.Add(h)
}

// Add releases the holding, which can be nil, with the Scope, or at once if it is closed.
func (s *Scope) Add(h *Holding) {
	if h != nil && !s.add(h) {
		h.Release()
	}
}

// add reports false if the scope is closed.
func (s *Scope) add(h *Holding) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.holdings = append(s.holdings, h)
	return true
}

// Close releases the holdings.
func (s *Scope) Close() {
	s.mu.Lock()
	holdings := s.holdings
	s.holdings, s.closed = nil, true
	s.mu.Unlock()
	for _, h := range holdings {
		h.Release()
	}
}
