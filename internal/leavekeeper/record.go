package leavekeeper

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/persister"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	// recordName is the name of the record in the folder of a Record.
	recordName = "leaves"
	// Retention is how long an entry is kept, far longer than a heartbeat can be late and a lease lasts. It is measured by the
	// monotonic clock and begins anew when the replica is restarted.
	Retention = 10 * time.Minute
	// maxPerVM is the number of entries of a node for which a record has room: a node has one upstream at a time.
	maxPerVM = 32
	// maxEntries is the number of entries for which a record has room.
	maxEntries = 8192
	// maxWaiting is the number of requests that can wait for the disk.
	maxWaiting = 1024
)

// Record holds the entries of one replica on its disk. It is safe for concurrent use.
type Record struct {
	clock  timekeeper.Clock
	folder *persister.Folder

	// waiting has room for the requests that can wait for the disk.
	waiting chan struct{}
	// writeSlot is a semaphore for whoever writes the record. It is acquired before mu.
	writeSlot chan struct{}

	mu sync.Mutex
	// entries holds when each entry was stored last, or read from the disk.
	entries map[Entry]time.Time
	// fence is the highest revision of a set of replicas under which the record was read or written.
	fence uint64
	// changes counts the changes of entries and fence, and written is the number of those that are on the disk.
	changes, written uint64
	// writtenFence is the fence on the disk.
	writtenFence uint64
}

// storedRecord is the content of the record.
type storedRecord struct {
	Entries          []Entry `json:"entries"`
	ReplicasRevision uint64  `json:"replicas-revision"`
}

// OpenRecord reads the record in the folder, which has no other records. A missing record is an empty one. The error wraps
// persister.ErrCorrupt if the record is damaged.
func OpenRecord(clock timekeeper.Clock, folder *persister.Folder) (*Record, error) {
	r := &Record{
		clock: clock, entries: make(map[Entry]time.Time), folder: folder, waiting: make(chan struct{}, maxWaiting),
		writeSlot: make(chan struct{}, 1),
	}
	data, err := folder.Read(recordName)
	if errors.Is(err, persister.ErrMissing) {
		return r, nil
	}
	if err != nil {
		return nil, err
	}
	var stored storedRecord
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", persister.ErrCorrupt, recordName, err)
	}
	r.fence, r.writtenFence = stored.ReplicasRevision, stored.ReplicasRevision
	for _, entry := range stored.Entries {
		r.entries[entry] = clock.Now()
	}
	return r, nil
}

// Store stores the entries of a request. When it returns nil, they survive a loss of power. The error wraps ErrOtherSet, ErrFull or
// ErrBusy, or is that of the disk; then they may be stored or not.
func (r *Record) Store(request StoreRequest) error {
	change, err := r.add(request)
	if err != nil {
		return err
	}
	return r.write(change)
}

// Read returns the entries of a node, or of all nodes if vm is empty. From then on nothing is stored under a set of replicas with a lower
// revision, also after a loss of power. The errors are those of Store.
func (r *Record) Read(vm string, replicasRevision uint64) ([]Entry, error) {
	if err := r.closeEarlierSets(replicasRevision); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired(r.clock.Now())
	var entries []Entry
	for entry := range r.entries {
		if vm == "" || entry.VM == vm {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

// closeEarlierSets makes the record refuse earlier sets of replicas, and returns once that is on the disk.
func (r *Record) closeEarlierSets(replicasRevision uint64) error {
	r.mu.Lock()
	err := r.raiseFence(replicasRevision)
	change, isWritten := r.changes, r.writtenFence == r.fence
	r.mu.Unlock()
	if err != nil || isWritten {
		return err
	}
	return r.write(change)
}

// Len returns the number of entries.
func (r *Record) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// add adds the entries in memory, and returns the number of the change after which they are there.
func (r *Record) add(request StoreRequest) (change uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.raiseFence(request.ReplicasRevision); err != nil {
		return 0, err
	}
	now := r.clock.Now()
	r.dropExpired(now)
	for _, entry := range request.Entries {
		if _, ok := r.entries[entry]; !ok {
			if !request.IsHandOver && !r.hasRoom(entry.VM) {
				return 0, ErrFull
			}
			r.changes++
		}
		r.entries[entry] = now
	}
	return r.changes, nil
}

// raiseFence returns an error that wraps ErrOtherSet for a revision that is below the fence, and makes it the fence otherwise. It
// is called with mu held.
func (r *Record) raiseFence(replicasRevision uint64) error {
	if replicasRevision == 0 {
		return nil
	}
	if replicasRevision < r.fence {
		return fmt.Errorf("%w: revision %d after %d", ErrOtherSet, replicasRevision, r.fence)
	}
	if replicasRevision > r.fence {
		r.fence = replicasRevision
		r.changes++
	}
	return nil
}

// dropExpired drops the entries that have been kept for Retention. It is called with mu held.
func (r *Record) dropExpired(now time.Time) {
	maps.DeleteFunc(r.entries, func(_ Entry, since time.Time) bool { return now.Sub(since) >= Retention })
}

// hasRoom reports whether there is room for another entry of the node. It is called with mu held.
func (r *Record) hasRoom(vm string) bool {
	count := 0
	for entry := range r.entries {
		if entry.VM == vm {
			count++
		}
	}
	return count < maxPerVM && len(r.entries) < maxEntries
}

// write returns once the change with the number is on the disk. Requests that wait meanwhile are written together.
func (r *Record) write(change uint64) error {
	select {
	case r.waiting <- struct{}{}:
		defer func() { <-r.waiting }()
	default:
		return ErrBusy
	}
	r.writeSlot <- struct{}{}
	defer func() { <-r.writeSlot }()
	if r.isWritten(change) {
		return nil
	}
	content, last := r.content()
	data, err := json.Marshal(content)
	if err != nil {
		return err
	}
	if err := r.folder.Write(recordName, data); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written, r.writtenFence = last, content.ReplicasRevision
	return nil
}

func (r *Record) isWritten(change uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written >= change
}

// content returns the content of the record with the number of its last change.
func (r *Record) content() (content storedRecord, last uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	content.ReplicasRevision = r.fence
	for entry := range r.entries {
		content.Entries = append(content.Entries, entry)
	}
	return content, r.changes
}

// Close releases the folder.
func (r *Record) Close() error {
	return r.folder.Close()
}
