// Package leavekeeper keeps which upstreams have said that they leave, so that an acknowledged leave outlives the process that
// acknowledged it. Each replica of the register holds a Record on its disk beside the register's value. Leaves are only added, so
// that no order among them has to be agreed on: a Quorum writes a leave to a majority of the replicas and reads a majority, and
// hands the leaves over when the set of replicas changes. A Writer holds the leaves of one node until they are stored.
package leavekeeper

import (
	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// Entry is a leave of the upstream beside a node.
type Entry struct {
	announcer.Leave
	// VM is the name of the node.
	VM string `json:"vm"`
}

// Errors of a Record.
var (
	// ErrBusy is returned for a request while too many others wait for the disk.
	ErrBusy = merry.Sentinel("too many requests wait for the disk")
	// ErrFull is returned for entries for which a record or a Writer has no room.
	ErrFull = merry.Sentinel("there is no room for another leave")
	// ErrOtherSet is wrapped by the error of a request under a set of replicas that has been replaced.
	ErrOtherSet = merry.Sentinel("the set of replicas has changed")
)

// StoreRequest asks a replica to store entries.
type StoreRequest struct {
	DiskID  string  `json:"disk-id"`
	Entries []Entry `json:"entries"`
	// IsHandOver is true for entries that other replicas have stored. They are stored whether or not there is room for new ones,
	// since the set of replicas can't change before.
	IsHandOver bool `json:"is-hand-over,omitempty"`
	// ReplicasRevision is that of the value under whose replicas the entries are stored; zero if it is not known.
	ReplicasRevision uint64 `json:"replicas-revision"`
}

// ReadRequest asks a replica for the entries of a node, or of all nodes if VM is empty. The replica stores nothing any more under
// earlier sets of replicas.
type ReadRequest struct {
	DiskID string `json:"disk-id"`
	// ReplicasRevision is that of the value under whose replicas the entries are read; zero if it is not known.
	ReplicasRevision uint64 `json:"replicas-revision"`
	VM               string `json:"vm,omitempty"`
}

// Reply is a replica's reply to both requests: the entries that were read.
type Reply struct {
	Entries []Entry `json:"entries,omitempty"`
}
