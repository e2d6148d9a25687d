// Package claimer ensures that requests with the same idempotency key run once. An entry node claims the key at
// several owner nodes before it runs the request. The owners keep the answer for later requests with the key.
package claimer

import (
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// The limits of a Table.
const (
	// Retention is how long a claim or an outcome is kept after its last change.
	Retention = 10 * time.Minute
	// maxAnswerBytes is the largest encoded answer that owners keep.
	maxAnswerBytes = 64 << 10
	// DefaultMaxBytes is the size above which no further key is claimed.
	DefaultMaxBytes = 32 << 20
	// claimOverheadBytes is the size that a key without an answer counts for.
	claimOverheadBytes = 512
)

// State is the state of a key at one of its owners.
type State string

// The states of a key.
const (
	// StateAnswered means that the request has run and the answer is kept.
	StateAnswered State = "answered"
	// StateClaimed means that an entry node has claimed the key to run the request.
	StateClaimed State = "claimed"
	// StateFull means that the owner has no space for another key.
	StateFull State = "full"
	// StateUnknown means that the request has possibly run and that no answer is available.
	StateUnknown State = "unknown"
)

// Key identifies a request that a caller can send again.
type Key struct {
	// Key is the caller's idempotency key. The same key of another neighbour, or for another service, is a
	// different one.
	Key       string `json:"key"`
	Neighbour string `json:"neighbour"`
	// Scope separates the keys of different callers; see scopeOf.
	Scope   string `json:"scope"`
	Service string `json:"service"`
}

// Claim is an entry node's request for the right to run the request with a key.
type Claim struct {
	// Claimant is the ID of the entry node's call that is to run the request.
	Claimant string `json:"claimant"`
	// Fingerprint distinguishes different requests with the same key.
	Fingerprint uint64 `json:"fingerprint"`
	Key         Key    `json:"key"`
}

// Record is an owner's answer to a claim: the state of the key and the claim that holds it.
type Record struct {
	// Answer is the encoded response, in StateAnswered.
	Answer      []byte `json:"answer,omitempty"`
	Claimant    string `json:"claimant"`
	Fingerprint uint64 `json:"fingerprint"`
	State       State  `json:"state"`
	// RecentlyStarted is true if the owner started less than Retention ago, so that it can have lost claims.
	RecentlyStarted bool `json:"young,omitempty"`
}

// row is the record of one key with its time of expiry.
type row struct {
	Record
	expiresAt time.Time
}

// Table holds the keys that one node owns, in memory. It is safe for concurrent use.
type Table struct {
	clock    timekeeper.Clock
	maxBytes int
	started  time.Time

	mu    sync.Mutex
	bytes int
	rows  map[Key]*row
}

// NewTable returns an empty table. Its owner counts as recently started from now on.
func NewTable(clock timekeeper.Clock) *Table {
	return &Table{clock: clock, maxBytes: DefaultMaxBytes, rows: make(map[Key]*row), started: clock.Now()}
}

// SetMaxBytes replaces the size above which no further key is claimed. It must be called before the table is used.
func (t *Table) SetMaxBytes(limit int) {
	t.maxBytes = limit
}

// Claim gives the key to the claimant if it is free, and returns the record of its current holder. It returns
// StateFull if the table has no space for another key.
func (t *Table) Claim(claim Claim) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.expire(now)
	recentlyStarted := now.Sub(t.started) < Retention
	if old, ok := t.rows[claim.Key]; ok {
		record := old.Record
		record.RecentlyStarted = recentlyStarted
		return record
	}
	if t.bytes+claimOverheadBytes > t.maxBytes {
		return Record{State: StateFull}
	}
	r := &row{
		Record:    Record{Claimant: claim.Claimant, Fingerprint: claim.Fingerprint, State: StateClaimed},
		expiresAt: now.Add(Retention),
	}
	t.rows[claim.Key] = r
	t.bytes += claimOverheadBytes
	record := r.Record
	record.RecentlyStarted = recentlyStarted
	return record
}

// Release removes a claim whose request has certainly not run. It has no effect on a settled key or on one that
// another claimant holds.
func (t *Table) Release(claim Claim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[claim.Key]
	if !ok || r.Claimant != claim.Claimant || r.State != StateClaimed {
		return
	}
	t.remove(claim.Key, r)
}

// Settlement is the outcome of a claimed request.
type Settlement struct {
	// Answer is the encoded response, in StateAnswered.
	Answer []byte `json:"answer,omitempty"`
	Claim  Claim  `json:"claim"`
	State  State  `json:"state"`
}

// Settle stores the outcome for later claims of the key, also if the table has no claim of it. It has no effect
// on a key that another claimant holds.
func (t *Table) Settle(s Settlement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[s.Claim.Key]
	if !ok {
		r = &row{Record: Record{Claimant: s.Claim.Claimant, Fingerprint: s.Claim.Fingerprint}}
		t.rows[s.Claim.Key] = r
		t.bytes += claimOverheadBytes
	}
	if r.Claimant != s.Claim.Claimant {
		return
	}
	t.bytes += len(s.Answer) - len(r.Answer)
	r.State = s.State
	r.Answer = s.Answer
	r.expiresAt = t.clock.Now().Add(Retention)
}

// expire removes expired keys. It scans the table only if that is at least half full or the number of keys is a
// multiple of 64.
func (t *Table) expire(now time.Time) {
	if t.bytes < t.maxBytes/2 && len(t.rows)%64 != 0 {
		return
	}
	for key, r := range t.rows {
		if now.After(r.expiresAt) {
			t.remove(key, r)
		}
	}
}

func (t *Table) remove(key Key, r *row) {
	t.bytes -= claimOverheadBytes + len(r.Answer)
	delete(t.rows, key)
	asserter.That(t.bytes >= 0, "claim-table-bytes", "%d bytes", t.bytes)
}
