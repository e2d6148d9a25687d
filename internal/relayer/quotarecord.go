package relayer

import (
	"errors"
	"path/filepath"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/persister"
	"github.com/marigoldrelay/marigoldrelay/internal/quotagranter"
)

const (
	// quotaFolder is the folder with the granter's record in the data folder.
	quotaFolder = "quota"
	// recordInterval is the time between two checks whether the granter has begun under another set of replicas.
	recordInterval = 500 * time.Millisecond
)

// openRecord reads under which set of replicas an earlier process of the granter has begun. Without a record that can be read, the
// granter waits for the whole settle time. It is called with mu held, before the granter is configured.
func (q *quotas) openRecord() {
	n := q.node
	if n.settings.DataFolder == "" {
		return
	}
	folder, err := persister.Open(filepath.Join(n.settings.DataFolder, quotaFolder))
	if err != nil {
		n.meter.Event("quota_record_failures")
		n.log.Warn("The record of the quotas' granter can't be opened: it waits at each start.", "error", err)
		return
	}
	q.record = quotagranter.NewRecord(folder)
	revision, err := q.record.Read()
	switch {
	case errors.Is(err, persister.ErrMissing):
	case err != nil:
		n.meter.Event("quota_record_failures")
		n.log.Warn("The record of the quotas' granter can't be read: it waits at this start.", "error", err)
	default:
		q.granter.SetRecorded(revision)
	}
}

// recordReplicas records the set of replicas under which the granter has begun, if it is not recorded yet.
func (q *quotas) recordReplicas() {
	n := q.node
	record := q.openedRecord()
	if record == nil {
		return
	}
	revision, ok := q.granter.Unrecorded(n.uptime())
	if !ok {
		return
	}
	if err := record.Write(revision); err != nil {
		n.meter.Event("quota_record_failures")
		if !q.recordFailed {
			n.log.Warn("The set of replicas of the quotas' granter can't be recorded.", "revision", revision, "error", err)
		}
		q.recordFailed = true
		return
	}
	q.recordFailed = false
	q.granter.SetRecorded(revision)
	n.log.Info("The quotas' granter has begun under the set of replicas.", "revision", revision)
}

// openedRecord returns the record, or nil if there is none.
func (q *quotas) openedRecord() *quotagranter.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.record
}

// close releases the record's folder.
func (q *quotas) close() {
	if record := q.openedRecord(); record != nil {
		// The record is already synced, so a failed close loses nothing.
		_ = record.Close()
	}
}
