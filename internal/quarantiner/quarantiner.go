// Package quarantiner detects requests that crash every upstream that runs them, and quarantines them.
package quarantiner

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	// quarantineTime is how long a fingerprint is quarantined the first time, from its last crash on. A crash after that
	// quarantines it quarantineGrowth times as long, up to maxQuarantineTime.
	quarantineTime    = 10 * time.Minute
	quarantineGrowth  = 8
	maxQuarantineTime = 24 * time.Hour
	// crashesToQuarantine is the number of crashes of upstream processes from which a fingerprint is quarantined.
	crashesToQuarantine = 2
	// maxKnownCrashes is the number of crashes that are kept for a fingerprint.
	maxKnownCrashes = 8
	maxSuspects     = 10000
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

// Crash describes one crash of one process of an upstream.
type Crash struct {
	announcer.Process
	// Age is the time from the crash until it is reported.
	Age time.Duration `json:"age,omitempty"`
	// Fingerprints are those of the requests that ran during the crash.
	Fingerprints []Fingerprint `json:"fingerprints"`
	// Reporter is the process of the node that has seen the crash.
	Reporter string `json:"reporter,omitempty"`
	// Run is the number of the crashed process among those that the reporter has seen.
	Run     uint64 `json:"run,omitempty"`
	Service string `json:"service"`
}

// crashID identifies a crash. Reports with different ids can be of one crash; see isSame.
type crashID struct {
	process  announcer.Process
	reporter string
	run      uint64
}

func (c *Crash) id() crashID {
	return crashID{process: c.Process, reporter: c.Reporter, run: c.Run}
}

// isSame reports whether both are the same crash. A reporter numbers the processes that it has seen, since a process can start
// again under the same id and name the same or no time of its start. Two reporters have seen the same crash if
// they name the same process.
func (id crashID) isSame(other crashID) bool {
	if id.reporter == other.reporter {
		return id.run == other.run && id.process.Instance == other.process.Instance
	}
	return id.process.Born != 0 && id.process == other.process
}

// ClearedSuspect identifies a request that ran during a crash and has since run without one.
type ClearedSuspect struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Service     string      `json:"service"`
}

// suspect is a fingerprint whose requests ran during a crash.
type suspect struct {
	quarantined bool
	// quarantines is the number of times that the fingerprint was quarantined.
	quarantines int
	expires     time.Time
	service     string
	// crashes holds the first maxKnownCrashes crashes.
	crashes []knownCrash
}

// knownCrash is a crash during which a request with a fingerprint ran.
type knownCrash struct {
	crashID
	at time.Time
}

// knows reports whether the crash was reported before.
func (s *suspect) knows(id crashID) bool {
	return slices.ContainsFunc(s.crashes, func(known knownCrash) bool { return known.isSame(id) })
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
// two upstream processes is quarantined for quarantineTime, and for longer if it crashes one after that. If there are
// maxSuspects suspects, the first fingerprint of the crash that is new and all after it are ignored.
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
			s = &suspect{service: crash.Service}
			q.suspects[fingerprint] = s
		}
		q.addCrash(fingerprint, s, &crash, now)
	}
}

// addCrash adds a crash to a suspect, unless it is known. It is called with mu held.
func (q *Quarantiner) addCrash(fingerprint Fingerprint, s *suspect, crash *Crash, now time.Time) {
	if s.knows(crash.id()) {
		return
	}
	at := now.Add(-crash.Age)
	if len(s.crashes) < maxKnownCrashes {
		s.crashes = append(s.crashes, knownCrash{crashID: crash.id(), at: at})
	}
	duration := suspectTime
	if len(s.crashes) >= crashesToQuarantine {
		if !s.quarantined {
			s.quarantines++
		}
		duration = quarantineTimeOf(s.quarantines)
		if !s.quarantined && q.onQuarantine != nil {
			q.onQuarantine(fingerprint, len(s.crashes), duration)
		}
		s.quarantined = true
	}
	if until := at.Add(duration); until.After(s.expires) {
		s.expires = until
	}
}

// quarantineTimeOf returns how long the quarantine with the number, counted from 1, lasts.
func quarantineTimeOf(number int) time.Duration {
	duration := quarantineTime
	for range number - 1 {
		duration = min(quarantineGrowth*duration, maxQuarantineTime)
	}
	return duration
}

// KnownCrashes returns the crashes of a service that current suspicions and quarantines are based on.
func (q *Quarantiner) KnownCrashes(service string) []Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.expire(now)
	byID := make(map[crashID]*Crash)
	for fingerprint, s := range q.suspects {
		if s.service != service || !now.Before(s.expires) {
			continue
		}
		for _, known := range s.crashes {
			crash, ok := byID[known.crashID]
			if !ok {
				crash = &Crash{Age: now.Sub(known.at), Process: known.process, Reporter: known.reporter, Run: known.run, Service: service}
				byID[known.crashID] = crash
			}
			crash.Fingerprints = append(crash.Fingerprints, fingerprint)
		}
	}
	var known []Crash
	for _, crash := range byID {
		known = append(known, *crash)
	}
	return known
}

// KnowsCrashes reports whether a suspicion or quarantine is based on a crash of the service.
func (q *Quarantiner) KnowsCrashes(service string) bool {
	return !q.IsEmpty() && len(q.KnownCrashes(service)) > 0
}

// Clear ends the suspicion against a fingerprint whose request ran without a crash. It reports whether there was one. A
// quarantined fingerprint stays quarantined.
func (q *Quarantiner) Clear(fingerprint Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspects[fingerprint]
	if !ok || s.quarantined && q.clock.Now().Before(s.expires) {
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

// expire ends the quarantines and removes the suspects whose time is over. A fingerprint that was quarantined is remembered
// for maxQuarantineTime more, so that a single further crash quarantines it again. It is called with mu held.
func (q *Quarantiner) expire(now time.Time) {
	for fingerprint, s := range q.suspects {
		switch {
		case now.Before(s.expires):
		case s.quarantines > 0 && now.Before(s.expires.Add(maxQuarantineTime)):
			s.quarantined = false
		default:
			delete(q.suspects, fingerprint)
		}
	}
}
