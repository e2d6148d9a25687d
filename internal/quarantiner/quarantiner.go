// Package quarantiner detects requests that crash every upstream that runs them, and quarantines them.
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
	// quarantineTime is how long a fingerprint stays quarantined after its last crash.
	quarantineTime = 10 * time.Minute
	// crashesToQuarantine is the number of crashed upstream instances from which a fingerprint is quarantined.
	crashesToQuarantine = 2
	maxSuspects         = 10000
	// suspectTime is how long a fingerprint stays suspected after its last crash.
	suspectTime = 10 * time.Minute
)

// Fingerprint identifies equal requests: those with the same service, method, path, query and body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. uri is its path with the query.
func FingerprintOf(service string, method, uri, body []byte) Fingerprint {
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(service), method, uri, body} {
		// Writes to an xxhash digest do not fail.
		_, _ = digest.Write(strconv.AppendInt(nil, int64(len(part)), 10))
		_, _ = digest.Write([]byte{':'})
		_, _ = digest.Write(part)
	}
	return Fingerprint(digest.Sum64())
}

// Crash describes one crash of one upstream.
type Crash struct {
	// Age is the time from the crash until it is reported.
	Age time.Duration `json:"age,omitempty"`
	// Fingerprints are those of the requests that ran during the crash.
	Fingerprints []Fingerprint `json:"fingerprints"`
	// Instance identifies the instance of the upstream that crashed.
	Instance string `json:"instance"`
	Service  string `json:"service"`
}

// ClearedSuspect identifies a request that ran during a crash and has since run without one.
type ClearedSuspect struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Service     string      `json:"service"`
}

// suspect is a fingerprint whose requests ran during a crash.
type suspect struct {
	quarantined bool
	expires     time.Time
	service     string
	// crashedAt holds the time of the crash of each upstream instance.
	crashedAt map[string]time.Time
}

// Quarantiner counts the crashes during which requests of each fingerprint ran. It is safe for concurrent use.
type Quarantiner struct {
	clock        timekeeper.Clock
	onQuarantine func(fingerprint Fingerprint, upstreams int, d time.Duration)
	suspectCount atomic.Int64

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
}

// New returns a quarantiner without suspects. onQuarantine, if not nil, is called for each fingerprint that is
// quarantined, with the number of crashed upstreams and the duration of the quarantine. It is called under the
// quarantiner's lock and must not call the quarantiner.
func New(clock timekeeper.Clock, onQuarantine func(fingerprint Fingerprint, upstreams int, d time.Duration)) *Quarantiner {
	return &Quarantiner{clock: clock, onQuarantine: onQuarantine, suspects: make(map[Fingerprint]*suspect)}
}

// Report records a crash and all requests that ran during it. A fingerprint whose requests ran during the crashes of
// two upstream instances is quarantined for quarantineTime. If there are maxSuspects suspects, the first fingerprint of
// the crash that is new and all after it are ignored.
func (q *Quarantiner) Report(crash Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.expire(now)
	defer func() { q.suspectCount.Store(int64(len(q.suspects))) }()
	for _, fingerprint := range crash.Fingerprints {
		s, ok := q.suspects[fingerprint]
		if !ok {
			if len(q.suspects) >= maxSuspects {
				return
			}
			s = &suspect{service: crash.Service, crashedAt: make(map[string]time.Time)}
			q.suspects[fingerprint] = s
		}
		q.addCrash(fingerprint, s, &crash, now)
	}
}

// addCrash adds a crash to a suspect. It is called with mu held.
func (q *Quarantiner) addCrash(fingerprint Fingerprint, s *suspect, crash *Crash, now time.Time) {
	at := now.Add(-crash.Age)
	if _, ok := s.crashedAt[crash.Instance]; !ok {
		s.crashedAt[crash.Instance] = at
	}
	duration := suspectTime
	if len(s.crashedAt) >= crashesToQuarantine {
		duration = quarantineTime
		if !s.quarantined && q.onQuarantine != nil {
			q.onQuarantine(fingerprint, len(s.crashedAt), quarantineTime)
		}
		s.quarantined = true
	}
	if until := at.Add(duration); until.After(s.expires) {
		s.expires = until
	}
}

// KnownCrashes returns the crashes of a service that current suspicions and quarantines are based on, one for each
// upstream instance.
func (q *Quarantiner) KnownCrashes(service string) []Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.expire(now)
	byInstance := make(map[string]*Crash)
	for fingerprint, s := range q.suspects {
		if s.service != service {
			continue
		}
		for instance, at := range s.crashedAt {
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

// Clear ends the suspicion against a fingerprint whose request ran without a crash. It reports whether there was one. A
// quarantined fingerprint stays quarantined.
func (q *Quarantiner) Clear(fingerprint Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspects[fingerprint]
	if !ok || s.quarantined {
		return false
	}
	delete(q.suspects, fingerprint)
	q.suspectCount.Store(int64(len(q.suspects)))
	return true
}

// QuarantineLeft returns how long the fingerprint stays quarantined, or zero if it is not quarantined.
func (q *Quarantiner) QuarantineLeft(fingerprint Fingerprint) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspects[fingerprint]
	if !ok || !s.quarantined {
		return 0
	}
	return max(0, s.expires.Sub(q.clock.Now()))
}

// IsEmpty reports whether no fingerprint is suspected or quarantined.
func (q *Quarantiner) IsEmpty() bool {
	return q.suspectCount.Load() == 0
}

// IsSuspect reports whether the fingerprint is suspected or quarantined because its requests ran during a crash.
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
