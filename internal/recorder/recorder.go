// Package recorder records which attempts a node has received, so that each runs at most once and a sender that
// lost the connection can find out the outcome.
package recorder

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// The errors of Begin.
var (
	// ErrBarred is returned for an attempt that was resolved before it arrived or is older than the retention time.
	ErrBarred = merry.Sentinel("attempt is barred")
	// ErrDuplicate is returned for an attempt that is running or has run.
	ErrDuplicate = merry.Sentinel("attempt was received before")
)

// State is the state of an attempt at the node that it was sent to.
type State string

// The states of an attempt.
const (
	// StateBarred means that the attempt was not received and will be refused if it arrives.
	StateBarred State = "barred"
	// StateDone means that the outcome of the attempt is known.
	StateDone State = "done"
	// StateExpired means that the attempt may have been received before the retention time, and that no more is known.
	StateExpired State = "expired"
	// StateRunning means that the attempt was received and has no outcome yet.
	StateRunning State = "running"
)

// The limits of a Recorder.
const (
	// DefaultRetention is how long the record of a finished or barred attempt is kept.
	DefaultRetention = 2 * time.Minute
	// DefaultMaxBytes is the size of all records above which the oldest answers are dropped.
	DefaultMaxBytes = 32 << 20
)

// recordOverheadBytes is the size that a record without an answer counts for.
const recordOverheadBytes = 256

// ID identifies an attempt. A sender numbers its attempts in increasing order from 1.
type ID struct {
	// Sender is the name of the sending node with its incarnation.
	Sender   string
	Sequence uint64
}

// record is what is known of one attempt. The time of expiry and the size are set once the attempt is finished or
// barred.
type record struct {
	answer    []byte
	done      chan struct{}
	expiresAt time.Time
	id        ID
	size      int
	state     State
}

// Recorder holds the records of the attempts that one incarnation of a node has received. It is safe for
// concurrent use.
type Recorder struct {
	clock     timekeeper.Clock
	retention time.Duration
	maxBytes  int

	mu    sync.Mutex
	bytes int
	// expiryQueue holds the records of finished and barred attempts, the oldest first.
	expiryQueue []*record
	// emptied is the number of records at the head of expiryQueue whose answers have been dropped.
	emptied int
	records map[ID]*record
	// expiredUpTo is the highest sequence number of an expired record, by sender. An attempt up to that number that
	// has no record is older than the retention time.
	expiredUpTo map[string]uint64
}

// New returns an empty recorder with the default limits.
func New(clock timekeeper.Clock) *Recorder {
	return &Recorder{
		clock:       clock,
		retention:   DefaultRetention,
		maxBytes:    DefaultMaxBytes,
		expiredUpTo: make(map[string]uint64),
		records:     make(map[ID]*record),
	}
}

// SetMaxBytes replaces DefaultMaxBytes. It must be called before the recorder is used.
func (r *Recorder) SetMaxBytes(limit int) {
	r.maxBytes = limit
}

// Begin records that the attempt was received. It returns ErrDuplicate or ErrBarred if the attempt must not run.
func (r *Recorder) Begin(id ID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	if old, ok := r.records[id]; ok {
		if old.state == StateBarred {
			return ErrBarred
		}
		return ErrDuplicate
	}
	if r.isExpired(id) {
		return ErrBarred
	}
	r.records[id] = &record{done: make(chan struct{}), id: id, state: StateRunning}
	return nil
}

// Finish stores the outcome of a running attempt for later Resolve calls. It has no effect on other attempts.
func (r *Recorder) Finish(id ID, answer []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[id]
	if !ok || rec.state != StateRunning {
		return
	}
	rec.state = StateDone
	rec.answer = answer
	close(rec.done)
	r.retain(rec)
}

// Forget removes the record of a running attempt whose outcome will not be requested. It has no effect on other
// attempts.
func (r *Recorder) Forget(id ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[id]
	if !ok || rec.state != StateRunning {
		return
	}
	close(rec.done)
	delete(r.records, id)
}

// Resolve returns the state of an attempt and its answer, if that is known. An attempt that was not received is
// barred from then on, unless it may have been received before the retention time. For a running attempt the channel done
// is closed when its outcome is known or it is forgotten.
func (r *Recorder) Resolve(id ID) (state State, answer []byte, done <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	rec, ok := r.records[id]
	if !ok && r.isExpired(id) {
		return StateExpired, nil, nil
	}
	if !ok {
		rec = &record{id: id, state: StateBarred}
		r.records[id] = rec
		r.retain(rec)
	}
	return rec.state, rec.answer, rec.done
}

// retain queues the record of a finished or barred attempt for expiry and enforces maxBytes. If space is short only
// answers are dropped early, never the records themselves, so that a late copy of an attempt can't run.
func (r *Recorder) retain(rec *record) {
	rec.expiresAt = r.clock.Now().Add(r.retention)
	rec.size = recordOverheadBytes + len(rec.answer)
	r.bytes += rec.size
	r.expiryQueue = append(r.expiryQueue, rec)
	for ; r.bytes > r.maxBytes && r.emptied < len(r.expiryQueue); r.emptied++ {
		old := r.expiryQueue[r.emptied]
		r.bytes -= len(old.answer)
		old.size -= len(old.answer)
		old.answer = nil
	}
}

// expire removes expired records. It is called with mu held.
func (r *Recorder) expire() {
	now := r.clock.Now()
	for len(r.expiryQueue) > 0 && now.After(r.expiryQueue[0].expiresAt) {
		old := r.expiryQueue[0]
		r.expiryQueue[0] = nil
		r.expiryQueue = r.expiryQueue[1:]
		r.emptied = max(0, r.emptied-1)
		r.bytes -= old.size
		delete(r.records, old.id)
		r.expiredUpTo[old.id.Sender] = max(r.expiredUpTo[old.id.Sender], old.id.Sequence)
	}
}

// isExpired reports whether an attempt without a record counts as older than the retention time.
func (r *Recorder) isExpired(id ID) bool {
	return id.Sequence <= r.expiredUpTo[id.Sender]
}

// Len returns the number of records, also of running attempts.
func (r *Recorder) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}
