package relayer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/marigoldrelay/marigoldrelay/internal/confirmer"
	"github.com/marigoldrelay/marigoldrelay/internal/distributor"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
	"github.com/marigoldrelay/marigoldrelay/internal/persister"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/settingsreader"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// RPC methods of the register.
const (
	methodAccept           = "accept"
	methodAcceptDifference = "accept-difference"
	methodChange           = "change"
	methodConfirm          = "confirm"
	methodDeputy           = "deputy"
	methodDocument         = "document"
	methodPatchedChange    = "patched-change"
	methodPrepare          = "prepare"
	methodPush             = "push"
	methodQuery            = "query"
	methodRelay            = "relay"
)

// recoverInterval is the time between two attempts of a replica to use a disk that has failed.
const recoverInterval = time.Second

// JSON-RPC error codes between nodes. codeGeneral is that of every error without a code of its own.
const (
	codeGeneral   = 1
	codeOtherDisk = 2
	codeOtherBase = 3
)

var errNotReplica = merry.Sentinel("the node is no control replica")

// register connects the node to the replicated register that holds the shared configuration.
type register struct {
	node *Node
	// acceptor is nil on a node without a data folder.
	acceptor *replicator.Acceptor
	proposer *replicator.Proposer

	// storedRevision is that of the value that the acceptor has read from its disk; zero if there is none.
	storedRevision uint64

	// fetcher and pusher bring values to this node and to the others.
	fetcher *distributor.Fetcher
	pusher  *distributor.Pusher
	// history holds what has been in force on this node.
	history *distributor.History
	// largeFetch is a semaphore that allows one fetch of a large document at a time.
	largeFetch chan struct{}
	// differences holds the difference that rounds send.
	differences differenceCache
	// answerer answers on a replica which revision is the newest.
	answerer *confirmer.Answerer

	// callCtx is done when the calls of operators that still run are to be answered at once.
	callCtx        context.Context
	interruptCalls context.CancelFunc

	// nextReadRound is the time from which readRevision may run a round, in nanoseconds since the Unix epoch.
	nextReadRound atomic.Int64

	// diskFailedAt is when the disk of the replica failed, in nanoseconds since the Unix epoch; zero if it has not.
	diskFailedAt atomic.Int64

	mu sync.Mutex
	// skippedUntil holds the time until which a leader that did not answer is skipped, by name.
	skippedUntil map[string]time.Time
}

func (n *Node) buildRegister() error {
	r := &register{node: n, history: distributor.NewHistory(), largeFetch: make(chan struct{}, 1)}
	r.callCtx, r.interruptCalls = context.WithCancel(context.Background())
	// The wall clock can step back over a restart, so the incarnation alone may not be unique.
	r.proposer = replicator.NewProposer(n.clock, fmt.Sprintf("%s.%x.%s", n.settings.Name, n.incarnation, settingsreader.NewSecret()), r)
	r.proposer.SetRoundObserver(n.roundFinished)
	r.fetcher = distributor.NewFetcher(r)
	r.pusher = distributor.NewPusher(n.clock, r, r.history)
	r.answerer = confirmer.NewAnswerer(n.clock, r.readRevision)
	if n.settings.CrossDataCentreCost > 0 {
		r.pusher.UseRelays(r, n.settings.DataCentre)
	}
	n.register = r
	if n.settings.DataFolder == "" {
		return nil
	}
	folder, err := persister.Open(n.settings.DataFolder)
	if err != nil {
		return merry.Prepend(err, "data-folder")
	}
	r.acceptor, err = replicator.OpenAcceptor(folder)
	if err != nil {
		return merry.Prepend(err, "data-folder")
	}
	if stored := r.acceptor.Accepted(); stored != nil {
		r.storedRevision = stored.Revision
	}
	r.acceptor.SetDiskObserver(r.diskStateChanged)
	n.log.Info("The data folder is open.", "disk-id", r.acceptor.DiskID())
	return nil
}

// diskStateChanged logs that the disk of this node's replica has failed, or takes writes again.
func (r *register) diskStateChanged(err error) {
	if err == nil {
		failed := r.node.clock.Now().Sub(time.Unix(0, r.diskFailedAt.Swap(0)))
		r.node.log.Info("The disk of the replica takes writes again.", "disk-id", r.acceptor.DiskID(), "failed-for", failed)
		return
	}
	r.diskFailedAt.Store(r.node.clock.Now().UnixNano())
	r.node.meter.Event("replica_disk_failures")
	r.node.log.Error("The disk of the replica has failed.", "disk-id", r.acceptor.DiskID(), "error", err)
}

// diskFailedSeconds returns how long the disk of this node's replica has been failing, in seconds; zero if it is not.
func (r *register) diskFailedSeconds() float64 {
	failedAt := r.diskFailedAt.Load()
	if failedAt == 0 {
		return 0
	}
	return r.node.clock.Now().Sub(time.Unix(0, failedAt)).Seconds()
}

// diskID returns the ID of the node's disk, or the empty string on a node without a data folder.
func (r *register) diskID() string {
	if r.acceptor == nil {
		return ""
	}
	return r.acceptor.DiskID()
}

// close ends all pushing and closes the data folder.
func (r *register) close() {
	r.pusher.Close()
	if r.acceptor != nil {
		// The records are already synced, so a failed close loses nothing.
		_ = r.acceptor.Close()
	}
}

func (r *register) call(ctx context.Context, vm, method string, params, result any) error {
	m, ok := r.node.gossiper.Member(vm)
	if !ok {
		return fmt.Errorf("%w: %s is no member", messenger.ErrUnreachable, vm)
	}
	return r.node.messenger.CallIdempotent(ctx, m.Control, messenger.PurposeConfiguration, method, params, result)
}

func (r *register) addHandlers(m *messenger.Messenger) {
	r.addRoundHandlers(m)
	r.addChangeHandlers(m)
	addHandler(m, methodDocument, func(_ context.Context, p fetchRequest) (distributor.Document, error) {
		return r.documentFor(p), nil
	})
	addHandler(m, methodConfirm, func(ctx context.Context, _ emptyMessage) (confirmer.Answer, error) {
		if r.acceptor == nil {
			return confirmer.Answer{}, rpcError(errNotReplica)
		}
		answer, err := r.answerer.Answer(ctx)
		return answer, rpcError(err)
	})
	addHandler(m, methodPush, func(_ context.Context, p distributor.Document) (distributor.PushReply, error) {
		err := r.node.activatePacked(&p, sourcePush)
		if errors.Is(err, distributor.ErrNoBase) {
			return distributor.PushReply{IsMissing: true, InForce: r.node.revision()}, nil
		}
		return distributor.PushReply{}, err
	})
	addHandler(m, methodDeputy, func(ctx context.Context, p deputyRequest) (emptyMessage, error) {
		return emptyMessage{}, rpcError(r.pushFor(ctx, p))
	})
	addHandler(m, methodRelay, func(ctx context.Context, p relayRequest) (relayReply, error) {
		if err := r.node.activatePacked(&p.Document, sourcePush); err != nil {
			return relayReply{}, err
		}
		return relayReply{Reached: r.pusher.PassOn(ctx, p.Document, p.Members)}, nil
	})
}

// relayRequest asks a node to pass a value on to members.
type relayRequest struct {
	Document distributor.Document `json:"document"`
	Members  []string             `json:"members"`
}

// deputyRequest asks a node to push its value, if it has the revision or a newer one, to a member that the sender doesn't reach.
type deputyRequest struct {
	Member   string `json:"member"`
	Revision uint64 `json:"revision"`
}

// relayReply names the members to which a relay has passed a value on.
type relayReply struct {
	Reached []string `json:"reached"`
}

// rpcError converts an error to one that is sent to the calling node with an error code.
func rpcError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replicator.ErrOtherBase):
		return &jsonrpc2.Error{Code: codeOtherBase, Message: err.Error()}
	case errors.Is(err, replicator.ErrOtherDisk):
		return &jsonrpc2.Error{Code: codeOtherDisk, Message: err.Error()}
	default:
		return &jsonrpc2.Error{Code: codeGeneral, Message: err.Error()}
	}
}

// assumeAcceptedReplicas lets a replica that has no document in force yet start from the replicas that are named in
// the value it has accepted.
func (r *register) assumeAcceptedReplicas() {
	if r.acceptor == nil || r.Local() != nil {
		return
	}
	if accepted := r.acceptor.Accepted(); accepted != nil {
		r.proposer.SetUnconfirmedReplicas(accepted.Replicas)
	}
}

// interruptible returns a context that is also done after interruptCalls.
func (r *register) interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.callCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Read implements administrator.Register.
func (r *register) Read(ctx context.Context) (*replicator.Value, error) {
	ctx, cancel := r.interruptible(ctx)
	defer cancel()
	r.assumeAcceptedReplicas()
	value, err := r.proposer.Read(ctx)
	if err != nil {
		return nil, err
	}
	return value, r.adopt(value)
}

// Change implements administrator.Register.
func (r *register) Change(ctx context.Context, change *replicator.Change) (uint64, error) {
	ctx, cancel := r.interruptible(ctx)
	defer cancel()
	if reply, ok := r.forward(ctx, change); ok {
		return reply.outcome()
	}
	return r.applyChange(ctx, change)
}

// applyChange makes the change in a round that this node runs.
func (r *register) applyChange(ctx context.Context, change *replicator.Change) (uint64, error) {
	r.assumeAcceptedReplicas()
	value, version, err := r.proposer.Apply(ctx, change)
	switch {
	case value == nil:
	case err != nil:
		err = errors.Join(err, r.adopt(value))
	default:
		err = r.publish(value)
	}
	return version, err
}

// publish puts a value that this node has got chosen in force, and pushes it to all others.
func (r *register) publish(value *replicator.Value) error {
	if err := r.node.activateValue(value, sourceRound); err != nil {
		return err
	}
	r.pusher.PushThroughRelays(value)
	return nil
}

// adopt puts a value that this node has read in force, and pushes it to all others if it was not in force here. Whoever got it
// chosen may be gone and time is short, so that it goes through no relay.
func (r *register) adopt(value *replicator.Value) error {
	isNewer := value.Revision > r.node.revision()
	if err := r.node.activateValue(value, sourceRound); err != nil {
		return err
	}
	if isNewer {
		r.pusher.Push(value)
	}
	return nil
}

// Bootstrap implements administrator.Register.
func (r *register) Bootstrap(ctx context.Context, change *replicator.Change) (*replicator.Value, error) {
	ctx, cancel := r.interruptible(ctx)
	defer cancel()
	value, err := r.proposer.Bootstrap(ctx, change)
	if err != nil {
		return nil, err
	}
	return value, r.publish(value)
}

// Local implements administrator.Register.
func (r *register) Local() *replicator.Value {
	if current := r.node.active.Load(); current != nil {
		return current.value
	}
	return nil
}

// VersionSeen implements gossiper.Observer. It makes the node fetch a newer document from the member.
func (n *Node) VersionSeen(from gossiper.Member, revision uint64) {
	n.register.fetcher.Offer(from, revision)
}

const (
	// firstDocumentInterval is the time between two requests for a document by a node that has none.
	firstDocumentInterval = 200 * time.Millisecond
	// firstPeerInterval is how often such a node that is starting and knows no member looks whether it knows one.
	firstPeerInterval = 20 * time.Millisecond
)

// pullFirstDocument asks live members for a document until one is in force, be it from a file, or ctx is done. A node that has just
// started refuses all requests until then, and gossip and pushes can take longer to reach it.
func (n *Node) pullFirstDocument(ctx context.Context) {
	for try := 0; ctx.Err() == nil && n.active.Load() == nil; try++ {
		wait := firstDocumentInterval
		if sources := n.documentSources(try%2 == 0); len(sources) > 0 {
			// A failed request is repeated with another member.
			_ = n.register.Fetch(ctx, sources[rand.N(len(sources))])
		} else if n.isStarting() {
			wait = firstPeerInterval
		}
		timekeeper.Sleep(ctx, n.clock, wait)
	}
}

// documentSources returns the live members that a document can be fetched from: those with a disk, which all documents come from, if
// prefersDisks is set and there are any. The links of the others can be thin, and their documents older.
func (n *Node) documentSources(prefersDisks bool) []gossiper.Member {
	live := n.register.LiveMembers()
	withDisk := slices.DeleteFunc(slices.Clone(live), func(m gossiper.Member) bool { return m.DiskID == "" })
	if prefersDisks && len(withDisk) > 0 {
		return withDisk
	}
	return live
}

// learnChosen checks on a control replica whether a value that it has accepted was chosen, until ctx is done.
func (n *Node) learnChosen(ctx context.Context) {
	if n.register.acceptor == nil {
		return
	}
	learner := distributor.NewLearner(n.clock, replicaNode{n.register})
	learner.SetStored(n.register.storedRevision)
	runEvery(ctx, distributor.LearnInterval, func() { learner.Check(ctx) })
}

// recoverDisk makes a replica whose disk has failed take up again when the disk has room, until ctx is done.
func (n *Node) recoverDisk(ctx context.Context) {
	if n.register.acceptor == nil {
		return
	}
	// Whoever sends a request to the replica gets the error, and the observer has logged it.
	runEvery(ctx, recoverInterval, func() { _ = n.register.acceptor.Recover() })
}
