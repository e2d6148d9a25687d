package leavekeeper

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	// maxPending is the number of leaves that a Writer holds until they are stored, and that it remembers as stored.
	maxPending = 16
	// storeTimeout limits one attempt to store leaves.
	storeTimeout = 2 * time.Second
	// retryInterval is the time between two attempts.
	retryInterval = 100 * time.Millisecond
)

// ErrNotStored is wrapped by the error of a leave that is not known to be stored yet.
var ErrNotStored = merry.Sentinel("the leave is not stored yet")

// IsNotStored reports whether the error of Confirm, or one that wraps it, is of a leave that is not known to be stored.
func IsNotStored(err error) bool {
	return errors.Is(err, ErrNotStored) || errors.Is(err, ErrFull)
}

// Store stores entries durably.
type Store interface {
	StoreEntries(ctx context.Context, entries []Entry) error
}

// Observer learns how the entries of a Writer are stored.
type Observer interface {
	// LeavesStored is called with entries that were stored, and how long the oldest of them has waited.
	LeavesStored(entries []Entry, took time.Duration)
	// LeavesNotStored is called after each failed attempt.
	LeavesNotStored(entries []Entry, err error)
}

// Writer stores the leaves of one node and tries again until that succeeds. It is safe for concurrent use.
type Writer struct {
	clock    timekeeper.Clock
	observer Observer
	store    Store
	// wake makes Run look for entries.
	wake chan struct{}

	mu      sync.Mutex
	pending []*pendingEntry
	// stored are the entries that were stored last.
	stored []Entry
}

// pendingEntry is an entry that is not stored yet.
type pendingEntry struct {
	Entry
	since time.Time
	// done is closed when the entry is stored.
	done chan struct{}
}

// NewWriter returns a writer without entries. Run makes it write.
func NewWriter(clock timekeeper.Clock, store Store, observer Observer) *Writer {
	return &Writer{clock: clock, observer: observer, store: store, wake: make(chan struct{}, 1)}
}

// Confirm returns nil once the entry is stored. The error wraps ErrNotStored if ctx is done before, and ErrFull if too many entries
// are waiting. After ErrNotStored the writer goes on trying for Retention.
func (w *Writer) Confirm(ctx context.Context, entry Entry) error {
	done, err := w.enqueue(entry)
	if done == nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotStored, ctx.Err())
	}
}

// enqueue returns a channel that is closed when the entry is stored, or nil if it is stored already.
func (w *Writer) enqueue(entry Entry) (<-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Contains(w.stored, entry) {
		return nil, nil
	}
	for _, p := range w.pending {
		if p.Entry == entry {
			return p.done, nil
		}
	}
	if len(w.pending) >= maxPending {
		return nil, ErrFull
	}
	p := &pendingEntry{Entry: entry, since: w.clock.Now(), done: make(chan struct{})}
	w.pending = append(w.pending, p)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return p.done, nil
}

// Run stores entries until ctx is done.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for ctx.Err() == nil && !w.storePending(ctx) {
			timekeeper.Sleep(ctx, w.clock, retryInterval)
		}
	}
}

// storePending tries once to store the pending entries, and reports whether none of them is left.
func (w *Writer) storePending(ctx context.Context) bool {
	batch := w.batch()
	if len(batch) == 0 {
		return true
	}
	entries := make([]Entry, 0, len(batch))
	for _, p := range batch {
		entries = append(entries, p.Entry)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := w.store.StoreEntries(ctx, entries); err != nil {
		w.observer.LeavesNotStored(entries, err)
		return false
	}
	w.finish(batch)
	w.observer.LeavesStored(entries, w.clock.Now().Sub(batch[0].since))
	return true
}

// batch returns the pending entries, the oldest first, and gives up those that are older than Retention.
func (w *Writer) batch() []*pendingEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.pending = slices.DeleteFunc(w.pending, func(p *pendingEntry) bool { return now.Sub(p.since) >= Retention })
	return slices.Clone(w.pending)
}

// finish marks entries as stored.
func (w *Writer) finish(batch []*pendingEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		close(p.done)
		w.stored = append(w.stored, p.Entry)
	}
	w.stored = w.stored[max(0, len(w.stored)-maxPending):]
	w.pending = slices.DeleteFunc(w.pending, func(p *pendingEntry) bool { return slices.Contains(batch, p) })
}
