package replicator

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
	"github.com/marigoldrelay/marigoldrelay/internal/persister"
)

// Names of the records in a replica's folder.
const (
	recordAccepted = "accepted"
	recordIdentity = "identity"
	recordPromise  = "promise"
)

// ErrOtherDisk is wrapped by the answer to a message for a replica whose disk was replaced.
var ErrOtherDisk = merry.Sentinel("the VM has another disk")

// PrepareRequest asks a replica to promise a ballot.
type PrepareRequest struct {
	Ballot Ballot `json:"ballot"`
	DiskID string `json:"disk-id"`
	// Known is the ballot of the newest value that the proposer holds; the replica does not send the
	// value of that ballot back.
	Known Ballot `json:"known"`
}

// PrepareReply tells what the replica has accepted, or the higher ballot that it has promised.
type PrepareReply struct {
	Accepted Ballot `json:"accepted"`
	OK       bool   `json:"ok"`
	Promised Ballot `json:"promised"`
	Value    *Value `json:"value,omitempty"`
}

// AcceptRequest asks a replica to accept a value.
type AcceptRequest struct {
	Ballot Ballot `json:"ballot"`
	DiskID string `json:"disk-id"`
	Value  *Value `json:"value"`
}

// AcceptReply tells whether the replica has accepted, or the higher ballot that it has promised.
type AcceptReply struct {
	OK       bool   `json:"ok"`
	Promised Ballot `json:"promised"`
}

// QueryRequest asks a replica for what it has accepted, without a promise.
type QueryRequest struct {
	DiskID string `json:"disk-id"`
	// Known is as in PrepareRequest.
	Known Ballot `json:"known"`
}

// QueryReply tells what the replica has accepted.
type QueryReply struct {
	Accepted Ballot `json:"accepted"`
	Value    *Value `json:"value,omitempty"`
}

type acceptance struct {
	Ballot Ballot `json:"ballot"`
	Value  *Value `json:"value"`
}

// Acceptor is a replica's durable state. It is safe for concurrent use.
type Acceptor struct {
	diskID string

	mu       sync.Mutex
	accepted acceptance
	// broken is the error of a write after which the files may be behind what was answered.
	broken  error
	folder  *persister.Folder
	promise Ballot
}

// OpenAcceptor reads the replica's state, or begins one with a new disk id where the folder is
// empty. State that is torn or incomplete is an error, never an empty replica.
func OpenAcceptor(folder *persister.Folder) (*Acceptor, error) {
	empty, err := folder.IsEmpty()
	if err != nil {
		return nil, err
	}
	a := &Acceptor{folder: folder}
	if empty {
		return a, a.create()
	}
	return a, a.load()
}

// create writes the identity last: a folder with an identity has all records.
func (a *Acceptor) create() error {
	a.diskID = rand.Text()
	records := []struct {
		name  string
		value any
	}{
		{recordPromise, a.promise},
		{recordAccepted, a.accepted},
		{recordIdentity, a.diskID},
	}
	for _, record := range records {
		if err := a.write(record.name, record.value); err != nil {
			return err
		}
	}
	return nil
}

func (a *Acceptor) load() error {
	err := a.read(recordIdentity, &a.diskID)
	if errors.Is(err, persister.ErrMissing) {
		// Creation was cut short: nothing was ever promised under this identity.
		return a.create()
	}
	if err != nil {
		return err
	}
	if err := a.read(recordPromise, &a.promise); err != nil {
		return err
	}
	return a.read(recordAccepted, &a.accepted)
}

func (a *Acceptor) read(name string, into any) error {
	data, err := a.folder.Read(name)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: %s: %w", persister.ErrCorrupt, name, err)
	}
	return nil
}

func (a *Acceptor) write(name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return a.folder.Write(name, data)
}

// DiskID identifies the folder that the state is kept in.
func (a *Acceptor) DiskID() string {
	return a.diskID
}

// Prepare promises the ballot unless a higher one was promised.
func (a *Acceptor) Prepare(request PrepareRequest) (PrepareReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.check(request.DiskID); err != nil {
		return PrepareReply{}, err
	}
	if request.Ballot.Less(a.promise) {
		return PrepareReply{Promised: a.promise}, nil
	}
	if err := a.store(recordPromise, request.Ballot); err != nil {
		return PrepareReply{}, err
	}
	a.promise = request.Ballot
	reply := PrepareReply{Accepted: a.accepted.Ballot, OK: true, Promised: a.promise}
	if a.accepted.Ballot != request.Known {
		reply.Value = a.accepted.Value
	}
	return reply, nil
}

// Accept stores the value unless a higher ballot was promised.
func (a *Acceptor) Accept(request AcceptRequest) (AcceptReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.check(request.DiskID); err != nil {
		return AcceptReply{}, err
	}
	if request.Ballot.Less(a.promise) {
		return AcceptReply{Promised: a.promise}, nil
	}
	if old := a.accepted.Value; old != nil {
		asserter.That(request.Value.Deployment == old.Deployment, "register-deployment", "%s after %s", request.Value.Deployment, old.Deployment)
	}
	next := acceptance{Ballot: request.Ballot, Value: request.Value}
	if a.promise != request.Ballot {
		if err := a.store(recordPromise, request.Ballot); err != nil {
			return AcceptReply{}, err
		}
		a.promise = request.Ballot
	}
	if err := a.store(recordAccepted, next); err != nil {
		return AcceptReply{}, err
	}
	a.accepted = next
	return AcceptReply{OK: true, Promised: a.promise}, nil
}

// Query tells what the replica has accepted.
func (a *Acceptor) Query(request QueryRequest) (QueryReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.check(request.DiskID); err != nil {
		return QueryReply{}, err
	}
	reply := QueryReply{Accepted: a.accepted.Ballot}
	if a.accepted.Ballot != request.Known {
		reply.Value = a.accepted.Value
	}
	return reply, nil
}

func (a *Acceptor) check(diskID string) error {
	if a.broken != nil {
		if err := a.repair(); err != nil {
			return err
		}
	}
	if diskID != a.diskID {
		return fmt.Errorf("%w: asked for %q", ErrOtherDisk, diskID)
	}
	return nil
}

// repair writes again what the replica has answered so far. The failed write was never answered, so
// that it doesn't matter whether the disk holds it.
func (a *Acceptor) repair() error {
	if errors.Is(a.broken, errClosed) {
		return a.broken
	}
	if err := a.write(recordPromise, a.promise); err != nil {
		return a.broken
	}
	if err := a.write(recordAccepted, a.accepted); err != nil {
		return a.broken
	}
	a.broken = nil
	return nil
}

// store writes a record. After a failed write the replica answers nothing until a repair, because it
// can't know what the disk holds.
func (a *Acceptor) store(name string, value any) error {
	if err := a.write(name, value); err != nil {
		a.broken = merry.Prepend(err, "the replica's disk has failed")
		return a.broken
	}
	return nil
}

// errClosed is the answer of a closed replica.
var errClosed = merry.Sentinel("the replica is closed")

// Close ends the replica's answers and lets its folder go.
func (a *Acceptor) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if errors.Is(a.broken, errClosed) {
		return nil
	}
	a.broken = errClosed
	return a.folder.Close()
}

// Accepted returns the newest value that this replica has accepted, which need not be chosen, or
// nil.
func (a *Acceptor) Accepted() *Value {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepted.Value
}
