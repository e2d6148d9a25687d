package quarantiner

import "sync"

// maxSafeFingerprints is the number of fingerprints that SafeFingerprints keeps.
const maxSafeFingerprints = 4096

// SafeFingerprints keeps the fingerprints of the last requests that ran without a crash. A request that crashes every
// upstream that runs it is never among them; a popular request that happened to be in flight during a crash is. It is
// safe for concurrent use.
type SafeFingerprints struct {
	mu    sync.Mutex
	known map[Fingerprint]struct{}
	next  int
	ring  [maxSafeFingerprints]Fingerprint
}

// NewSafeFingerprints returns an empty SafeFingerprints.
func NewSafeFingerprints() *SafeFingerprints {
	return &SafeFingerprints{known: make(map[Fingerprint]struct{})}
}

// Add records a request that ran without a crash. The oldest fingerprint is dropped if there are maxSafeFingerprints.
func (s *SafeFingerprints) Add(fingerprint Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.known[fingerprint]; ok {
		return
	}
	delete(s.known, s.ring[s.next])
	s.ring[s.next] = fingerprint
	s.known[fingerprint] = struct{}{}
	s.next = (s.next + 1) % maxSafeFingerprints
}

// Has reports whether a request with the fingerprint recently ran without a crash.
func (s *SafeFingerprints) Has(fingerprint Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.known[fingerprint]
	return ok
}
