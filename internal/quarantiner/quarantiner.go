// Package quarantiner finds requests that crash each upstream that runs them and bars them.
package quarantiner

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	barTime     = 10 * time.Minute
	convictions = 2
	maxSuspects = 10000
	suspectTime = 10 * time.Minute
)

// Fingerprint identifies requests that are alike: service, method, path, query and body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(service string, method, uri, body []byte) Fingerprint {
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(service), method, uri, body} {
		// Writes to a hash do not fail.
		_, _ = digest.Write(strconv.AppendInt(nil, int64(len(part)), 10))
		_, _ = digest.Write([]byte{':'})
		_, _ = digest.Write(part)
	}
	return Fingerprint(digest.Sum64())
}

// Crash names one crash of one upstream.
type Crash struct {
	// Age is how long ago it was when it is told.
	Age          time.Duration `json:"age,omitempty"`
	Fingerprints []Fingerprint `json:"fingerprints"`
	// Instance is the upstream's instance that crashed.
	Instance string `json:"instance"`
	Service  string `json:"service"`
}

// Acquittal names a request that was part of a crash and has since run without one.
type Acquittal struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Service     string      `json:"service"`
}

type suspect struct {
	barred  bool
	expires time.Time
	service string
	// upstreams holds when each upstream's instance crashed.
	upstreams map[string]time.Time
}

// Quarantiner counts the crashes that each fingerprint was part of. It is safe for concurrent use.
type Quarantiner struct {
	clock timekeeper.Clock
	onBar func(fingerprint Fingerprint, upstreams int, d time.Duration)
	size  atomic.Int64

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
}

// New returns a quarantiner without suspects. It tells onBar of each fingerprint that it bars, with the
// number of crashed upstreams and how long it stays barred; nil tells nobody.
func New(clock timekeeper.Clock, onBar func(fingerprint Fingerprint, upstreams int, d time.Duration)) *Quarantiner {
	return &Quarantiner{clock: clock, onBar: onBar, suspects: make(map[Fingerprint]*suspect)}
}

// Report notes a crash and all requests that ran in it. A fingerprint that was part of the crashes
// of two upstream instances is barred for a time.
func (q *Quarantiner) Report(crash Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.expire(now)
	defer func() { q.size.Store(int64(len(q.suspects))) }()
	for _, fingerprint := range crash.Fingerprints {
		s, ok := q.suspects[fingerprint]
		if !ok {
			if len(q.suspects) >= maxSuspects {
				return
			}
			s = &suspect{service: crash.Service, upstreams: make(map[string]time.Time)}
			q.suspects[fingerprint] = s
		}
		q.note(fingerprint, s, &crash, now)
	}
}

// note adds a crash to those of a suspect. It is called with mu held.
func (q *Quarantiner) note(fingerprint Fingerprint, s *suspect, crash *Crash, now time.Time) {
	at := now.Add(-crash.Age)
	if _, ok := s.upstreams[crash.Instance]; !ok {
		s.upstreams[crash.Instance] = at
	}
	lasts := suspectTime
	if len(s.upstreams) >= convictions {
		lasts = barTime
		if !s.barred && q.onBar != nil {
			q.onBar(fingerprint, len(s.upstreams), barTime)
		}
		s.barred = true
	}
	if until := at.Add(lasts); until.After(s.expires) {
		s.expires = until
	}
}

// Known returns the crashes of a service that suspicions and bars rest on, one for each upstream's instance.
func (q *Quarantiner) Known(service string) []Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.expire(now)
	byInstance := make(map[string]*Crash)
	for fingerprint, s := range q.suspects {
		if s.service != service {
			continue
		}
		for instance, at := range s.upstreams {
			crash, ok := byInstance[instance]
			if !ok {
				crash = &Crash{Age: now.Sub(at), Instance: instance, Service: service}
				byInstance[instance] = crash
			}
			crash.Fingerprints = append(crash.Fingerprints, fingerprint)
		}
	}
	var known []Crash
	for _, crash := range byInstance {
		known = append(known, *crash)
	}
	return known
}

// Clear ends the suspicion of a fingerprint whose request ran without a crash. A barred one stays
// barred. It reports whether there was a suspicion to end.
func (q *Quarantiner) Clear(fingerprint Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspects[fingerprint]
	if !ok || s.barred {
		return false
	}
	delete(q.suspects, fingerprint)
	q.size.Store(int64(len(q.suspects)))
	return true
}

// Barred returns how long the fingerprint stays barred, or zero if it is not.
func (q *Quarantiner) Barred(fingerprint Fingerprint) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspects[fingerprint]
	if !ok || !s.barred {
		return 0
	}
	return max(0, s.expires.Sub(q.clock.Now()))
}

// IsEmpty reports whether no fingerprint is suspect or barred.
func (q *Quarantiner) IsEmpty() bool {
	return q.size.Load() == 0
}

// IsSuspect reports whether the fingerprint was part of a crash.
func (q *Quarantiner) IsSuspect(fingerprint Fingerprint) bool {
	if q.IsEmpty() {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspects[fingerprint]
	return ok && q.clock.Now().Before(s.expires)
}

func (q *Quarantiner) expire(now time.Time) {
	for fingerprint, s := range q.suspects {
		if !now.Before(s.expires) {
			delete(q.suspects, fingerprint)
		}
	}
}
