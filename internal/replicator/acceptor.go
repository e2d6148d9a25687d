package replicator

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
	"github.com/marigoldrelay/marigoldrelay/internal/persister"
)

// Names of the records in the folder of an Acceptor.
const (
	recordAccepted = "accepted"
	recordIdentity = "identity"
	recordPromise  = "promise"
)

// ErrOtherDisk is wrapped by the error of a request whose disk id is not the one of this replica,
// because the disk was replaced.
var ErrOtherDisk = merry.Sentinel("the VM has another disk")

// PrepareRequest asks a replica to promise that it accepts nothing under a lower ballot.
type PrepareRequest struct {
	Ballot Ballot `json:"ballot"`
	DiskID string `json:"disk-id"`
	// Known is the ballot of the newest value that the proposer holds. The replica leaves out its value
	// if it was accepted under that ballot.
	Known Ballot `json:"known"`
}

// PrepareReply returns the value that the replica has accepted, or, if OK is false, the higher ballot that
// it has promised.
type PrepareReply struct {
	Accepted Ballot `json:"accepted"`
	OK       bool   `json:"ok"`
	Promised Ballot `json:"promised"`
	Value    *Value `json:"value,omitempty"`
}

// AcceptRequest asks a replica to accept a value under a ballot.
type AcceptRequest struct {
	Ballot Ballot `json:"ballot"`
	DiskID string `json:"disk-id"`
	Value  *Value `json:"value"`
}

// AcceptReply reports whether the replica has accepted the value, and the highest ballot that it has
// promised.
type AcceptReply struct {
	OK       bool   `json:"ok"`
	Promised Ballot `json:"promised"`
}

// QueryRequest asks a replica for the value that it has accepted, without a promise.
type QueryRequest struct {
	DiskID string `json:"disk-id"`
	// Known has the same meaning as in PrepareRequest.
	Known Ballot `json:"known"`
}

// QueryReply returns the value that the replica has accepted. Value is nil if Accepted is the ballot
// that the request named as known.
type QueryReply struct {
	Accepted Ballot `json:"accepted"`
	Value    *Value `json:"value,omitempty"`
}

// acceptedValue is a value with the ballot under which it was accepted.
type acceptedValue struct {
	Ballot Ballot `json:"ballot"`
	Value  *Value `json:"value"`
}

// Acceptor is the durable state of one replica: its promise and the value that it has accepted, stored in a
// folder. It is safe for concurrent use.
type Acceptor struct {
	diskID string

	mu       sync.Mutex
	accepted acceptedValue
	// unavailableErr is returned by every request while it is set: the error of a failed write, after
	// which the files may be behind the replies that were sent, or errClosed.
	unavailableErr error
	folder         *persister.Folder
	// onDiskState is called with the error of a write after which the replica rejects all requests, and with nil when its
	// disk takes writes again; nil for none.
	onDiskState func(error)
	promise     Ballot
}

// OpenAcceptor reads the replica's state from the folder, or creates it with a new disk id if the folder
// is empty. Torn or incomplete state is an error and never treated as an empty replica.
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

// create writes the initial records. The identity comes last, so that a folder with an identity has all
// records.
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
		if err := a.writeRecord(record.name, record.value); err != nil {
			return err
		}
	}
	return nil
}

func (a *Acceptor) load() error {
	err := a.readRecord(recordIdentity, &a.diskID)
	if errors.Is(err, persister.ErrMissing) {
		// Creation was interrupted: no identity exists yet under which anything could have been promised.
		return a.create()
	}
	if err != nil {
		return err
	}
	if err := a.readRecord(recordPromise, &a.promise); err != nil {
		return err
	}
	return a.readRecord(recordAccepted, &a.accepted)
}

func (a *Acceptor) readRecord(name string, target any) error {
	data, err := a.folder.Read(name)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("%w: %s: %w", persister.ErrCorrupt, name, err)
	}
	return nil
}

func (a *Acceptor) writeRecord(name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return a.folder.Write(name, data)
}

// DiskID returns the random id of the folder that the state is stored in.
func (a *Acceptor) DiskID() string {
	return a.diskID
}

// Prepare promises the ballot unless a higher one was promised before. The error wraps ErrOtherDisk if the
// request is for another disk; any other error means that a write has failed or that the replica is closed.
func (a *Acceptor) Prepare(request PrepareRequest) (PrepareReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.ensureUsable(request.DiskID); err != nil {
		return PrepareReply{}, err
	}
	if request.Ballot.Less(a.promise) {
		return PrepareReply{Promised: a.promise}, nil
	}
	if err := a.promiseBallot(request.Ballot); err != nil {
		return PrepareReply{}, err
	}
	reply := PrepareReply{Accepted: a.accepted.Ballot, OK: true, Promised: a.promise}
	if a.accepted.Ballot != request.Known {
		reply.Value = a.accepted.Value
	}
	return reply, nil
}

// Accept stores the value unless a higher ballot was promised. The errors are those of Prepare.
func (a *Acceptor) Accept(request AcceptRequest) (AcceptReply, error) {
	if request.Value == nil {
		return AcceptReply{}, errNoValue
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.ensureUsable(request.DiskID); err != nil {
		return AcceptReply{}, err
	}
	if request.Ballot.Less(a.promise) {
		return AcceptReply{Promised: a.promise}, nil
	}
	if old := a.accepted.Value; old != nil {
		asserter.That(request.Value.Deployment == old.Deployment, "register-deployment", "%s after %s", request.Value.Deployment, old.Deployment)
	}
	if err := a.promiseBallot(request.Ballot); err != nil {
		return AcceptReply{}, err
	}
	next := acceptedValue{Ballot: request.Ballot, Value: request.Value}
	if !reflect.DeepEqual(a.accepted, next) {
		if err := a.persist(recordAccepted, next); err != nil {
			return AcceptReply{}, err
		}
		a.accepted = next
	}
	return AcceptReply{OK: true, Promised: a.promise}, nil
}

// DifferenceRequest asks a replica to accept, under a ballot, the value to which a difference leads from the value that the replica has
// accepted under another ballot.
type DifferenceRequest struct {
	Ballot     Ballot      `json:"ballot"`
	Base       Ballot      `json:"base"`
	Difference *Difference `json:"difference"`
	DiskID     string      `json:"disk-id"`
}

// AcceptDifference is like Accept for the value that the difference leads to. The error wraps ErrOtherBase if the replica has not
// accepted the value that the difference is from.
func (a *Acceptor) AcceptDifference(request DifferenceRequest) (AcceptReply, error) {
	value, err := a.valueOf(&request)
	if err != nil {
		return AcceptReply{}, err
	}
	return a.Accept(AcceptRequest{Ballot: request.Ballot, DiskID: request.DiskID, Value: value})
}

// valueOf returns the value that a request leads to, which is the accepted one if the same request came before.
func (a *Acceptor) valueOf(request *DifferenceRequest) (*Value, error) {
	a.mu.Lock()
	accepted := a.accepted
	a.mu.Unlock()
	switch {
	case accepted.Value == nil || request.Difference == nil:
		return nil, fmt.Errorf("%w: nothing is accepted", ErrOtherBase)
	case accepted.Ballot == request.Ballot && request.Difference.leadsTo(accepted.Value):
		return accepted.Value, nil
	case accepted.Ballot != request.Base:
		return nil, fmt.Errorf("%w: accepted under ballot %d of %s", ErrOtherBase, accepted.Ballot.Number, accepted.Ballot.Proposer)
	default:
		return request.Difference.Apply(accepted.Value)
	}
}

// promiseBallot stores the promise of a ballot that is not below the one promised before. Requests that are sent again write
// nothing.
func (a *Acceptor) promiseBallot(ballot Ballot) error {
	if a.promise == ballot {
		return nil
	}
	if err := a.persist(recordPromise, ballot); err != nil {
		return err
	}
	a.promise = ballot
	return nil
}

// Query returns the value that the replica has accepted, without a promise. The errors are those of
// Prepare.
func (a *Acceptor) Query(request QueryRequest) (QueryReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.ensureUsable(request.DiskID); err != nil {
		return QueryReply{}, err
	}
	reply := QueryReply{Accepted: a.accepted.Ballot}
	if a.accepted.Ballot != request.Known {
		reply.Value = a.accepted.Value
	}
	return reply, nil
}

// SetDiskObserver sets the function that is called when the disk has failed, with the error, and with nil when it takes writes
// again. It is called with the replica's lock held and must not call the replica.
func (a *Acceptor) SetDiskObserver(observer func(error)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onDiskState = observer
}

// Recover tries to write the records of a replica whose disk has failed, as each request does. It returns the error with
// which the replica rejects requests, or nil.
func (a *Acceptor) Recover() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unavailableErr == nil {
		return nil
	}
	return a.rewriteRecords()
}

// setUnavailable sets the error with which all requests are rejected, or nil, and tells the observer of a change.
func (a *Acceptor) setUnavailable(err error) {
	isChange := (a.unavailableErr == nil) != (err == nil)
	a.unavailableErr = err
	if isChange && a.onDiskState != nil {
		a.onDiskState(err)
	}
}

// ensureUsable returns an error if the acceptor can't answer requests or if diskID is not its own. After a
// failed write it first tries to write the records again.
func (a *Acceptor) ensureUsable(diskID string) error {
	if a.unavailableErr != nil {
		if err := a.rewriteRecords(); err != nil {
			return err
		}
	}
	if diskID != a.diskID {
		return fmt.Errorf("%w: asked for %q", ErrOtherDisk, diskID)
	}
	return nil
}

// rewriteRecords writes the state that the replies so far are based on to disk again. No reply was sent for
// the failed write, so it doesn't matter whether the disk holds it.
func (a *Acceptor) rewriteRecords() error {
	if errors.Is(a.unavailableErr, errClosed) {
		return a.unavailableErr
	}
	if err := a.writeRecord(recordPromise, a.promise); err != nil {
		return a.unavailableErr
	}
	if err := a.writeRecord(recordAccepted, a.accepted); err != nil {
		return a.unavailableErr
	}
	a.setUnavailable(nil)
	return nil
}

// persist writes a record. After a failed write the replica rejects all requests until its records have been
// rewritten, because it can't know what the disk holds.
func (a *Acceptor) persist(name string, value any) error {
	if err := a.writeRecord(name, value); err != nil {
		a.setUnavailable(merry.Prepend(err, "the replica's disk has failed"))
		return a.unavailableErr
	}
	return nil
}

var (
	// errClosed is returned by every request to a closed replica.
	errClosed = merry.Sentinel("the replica is closed")
	// errNoValue is returned by a request to accept no value.
	errNoValue = merry.Sentinel("the request has no value")
)

// Close makes the replica reject all further requests and releases its folder. Further calls do nothing.
func (a *Acceptor) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if errors.Is(a.unavailableErr, errClosed) {
		return nil
	}
	a.unavailableErr = errClosed
	return a.folder.Close()
}

// Accepted returns the newest value that this replica has accepted, or nil if there is none. The value
// need not have been chosen by a majority.
func (a *Acceptor) Accepted() *Value {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepted.Value
}
