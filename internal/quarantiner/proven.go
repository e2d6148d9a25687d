package quarantiner

import "sync"

// maxProven is the number of fingerprints that Proven keeps.
const maxProven = 4096

// Proven keeps the fingerprints of the last requests that ran without a crash. A request that crashes every upstream
// that runs it is never among them; a popular request that happened to be in flight during a crash is. It is safe for
// concurrent use.
type Proven struct {
	mu    sync.Mutex
	known map[Fingerprint]struct{}
	next  int
	ring  [maxProven]Fingerprint
}

// NewProven returns an empty Proven.
func NewProven() *Proven {
	return &Proven{known: make(map[Fingerprint]struct{}, maxProven)}
}

// Add records a request that ran without a crash. The oldest fingerprint is dropped if there are maxProven.
func (p *Proven) Add(fingerprint Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.known[fingerprint]; ok {
		return
	}
	delete(p.known, p.ring[p.next])
	p.ring[p.next] = fingerprint
	p.known[fingerprint] = struct{}{}
	p.next = (p.next + 1) % maxProven
}

// Has reports whether a request with the fingerprint recently ran without a crash.
func (p *Proven) Has(fingerprint Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.known[fingerprint]
	return ok
}
