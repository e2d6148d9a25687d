package quotagranter

import (
	"encoding/json"
	"fmt"

	"github.com/marigoldrelay/marigoldrelay/internal/persister"
)

// recordReplicas is the name of the record in the folder of a Record.
const recordReplicas = "replicas"

// Record stores durably under which set of replicas the granter of a node has begun. It is not safe for concurrent use.
type Record struct {
	folder *persister.Folder
}

// recordedSet is the content of the record.
type recordedSet struct {
	ReplicasRevision uint64 `json:"replicas-revision"`
}

// NewRecord returns the record in the folder, which has no other records.
func NewRecord(folder *persister.Folder) *Record {
	return &Record{folder: folder}
}

// Read returns the recorded revision. The error wraps persister.ErrMissing if none was recorded and persister.ErrCorrupt if the
// record is damaged.
func (r *Record) Read() (replicasRevision uint64, err error) {
	data, err := r.folder.Read(recordReplicas)
	if err != nil {
		return 0, err
	}
	var set recordedSet
	if err := json.Unmarshal(data, &set); err != nil {
		return 0, fmt.Errorf("%w: %s: %w", persister.ErrCorrupt, recordReplicas, err)
	}
	return set.ReplicasRevision, nil
}

// Write records a revision. When it returns nil, the record survives a loss of power; after an error the old or the new one does.
func (r *Record) Write(replicasRevision uint64) error {
	data, err := json.Marshal(recordedSet{ReplicasRevision: replicasRevision})
	if err != nil {
		return err
	}
	return r.folder.Write(recordReplicas, data)
}

// Close releases the folder.
func (r *Record) Close() error {
	return r.folder.Close()
}
