package relayer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
	"github.com/marigoldrelay/marigoldrelay/internal/persister"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/settingsreader"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// Methods of the register.
const (
	methodAccept   = "accept"
	methodChange   = "change"
	methodDocument = "document"
	methodPrepare  = "prepare"
	methodPush     = "push"
	methodQuery    = "query"
)

const (
	learnInterval = time.Second
	learnTimeout  = 3 * time.Second
	// learnTurns is how many intervals a replica that does not lead lets pass on average.
	learnTurns = 4
)

// Codes of errors between nodes.
const (
	codeNoReplica = 1
	codeOtherDisk = 2
)

var errNoReplica = merry.Sentinel("the node is no control replica")

// register is the node's part in the shared configuration.
type register struct {
	node *Node
	// acceptor is nil on a node without a data folder.
	acceptor *replicator.Acceptor
	proposer *replicator.Proposer

	mu sync.Mutex
	// passedOver tells until when a leader that has not answered is passed over.
	passedOver map[string]time.Time
}

func (n *Node) buildRegister() error {
	r := &register{node: n}
	// The wall clock can step back over a restart, so that the incarnation alone may not be new.
	r.proposer = replicator.NewProposer(n.clock, fmt.Sprintf("%s.%x.%s", n.settings.Name, n.incarnation, settingsreader.NewSecret()), r)
	r.proposer.Tell(n.roundEnded)
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
	n.log.Info("The data folder is open.", "disk-id", r.acceptor.DiskID())
	return nil
}

// Prepare implements replicator.Transport.
func (r *register) Prepare(ctx context.Context, vm string, request replicator.PrepareRequest) (replicator.PrepareReply, error) {
	var reply replicator.PrepareReply
	return reply, r.call(ctx, vm, methodPrepare, request, &reply)
}

// Accept implements replicator.Transport.
func (r *register) Accept(ctx context.Context, vm string, request replicator.AcceptRequest) (replicator.AcceptReply, error) {
	var reply replicator.AcceptReply
	return reply, r.call(ctx, vm, methodAccept, request, &reply)
}

// Query implements replicator.Transport.
func (r *register) Query(ctx context.Context, vm string, request replicator.QueryRequest) (replicator.QueryReply, error) {
	var reply replicator.QueryReply
	return reply, r.call(ctx, vm, methodQuery, request, &reply)
}

// diskID identifies the own disk; empty on a node without a data folder.
func (r *register) diskID() string {
	if r.acceptor == nil {
		return ""
	}
	return r.acceptor.DiskID()
}

// close lets the data folder go.
func (r *register) close() {
	if r.acceptor != nil {
		// The records are synced; nothing is lost by a failed close.
		_ = r.acceptor.Close()
	}
}

func (r *register) call(ctx context.Context, vm, method string, params, result any) error {
	m, ok := r.node.gossiper.Member(vm)
	if !ok {
		return fmt.Errorf("%w: %s is no member", messenger.ErrUnreachable, vm)
	}
	return r.node.messenger.Call(ctx, m.Control, messenger.PurposeConfiguration, method, params, result)
}

func (r *register) handle(m *messenger.Messenger) {
	handle(m, methodPrepare, func(_ context.Context, p replicator.PrepareRequest) (replicator.PrepareReply, error) {
		if r.acceptor == nil {
			return replicator.PrepareReply{}, wireError(errNoReplica)
		}
		r.node.meter.Event("register_prepares")
		reply, err := r.acceptor.Prepare(p)
		return reply, wireError(err)
	})
	handle(m, methodAccept, func(_ context.Context, p replicator.AcceptRequest) (replicator.AcceptReply, error) {
		if r.acceptor == nil || p.Value == nil {
			return replicator.AcceptReply{}, wireError(errNoReplica)
		}
		r.node.meter.Event("register_accepts")
		reply, err := r.acceptor.Accept(p)
		return reply, wireError(err)
	})
	handle(m, methodQuery, func(_ context.Context, p replicator.QueryRequest) (replicator.QueryReply, error) {
		if r.acceptor == nil {
			return replicator.QueryReply{}, wireError(errNoReplica)
		}
		r.node.meter.Event("register_queries")
		reply, err := r.acceptor.Query(p)
		return reply, wireError(err)
	})
	handle(m, methodDocument, func(context.Context, empty) (pulled, error) {
		local := r.Local()
		if local == nil {
			return pulled{}, nil
		}
		return pack(local), nil
	})
	handle(m, methodChange, func(ctx context.Context, p replicator.Change) (changeReply, error) {
		version, err := r.apply(ctx, &p)
		reply, err := replyOf(version, err)
		if local := r.Local(); err == nil && local != nil {
			document := pack(local)
			reply.Document = &document
		}
		return reply, err
	})
	handle(m, methodPush, func(_ context.Context, p pulled) (empty, error) {
		return empty{}, r.node.take(&p)
	})
}

// pulled is what a node gets from another of a document: no history, and the text compressed.
type pulled struct {
	Deployment string               `json:"deployment"`
	Packed     []byte               `json:"packed"`
	Replicas   []replicator.Replica `json:"replicas"`
	Revision   uint64               `json:"revision"`
	Version    uint64               `json:"version"`
}

func pack(value *replicator.Value) pulled {
	return pulled{value.Deployment, replicator.Pack(value.Text), value.Replicas, value.Revision, value.Version}
}

// take puts a document from another node in force unless a newer one is.
func (n *Node) take(p *pulled) error {
	if p.Revision <= n.revision() {
		return nil
	}
	text, err := replicator.Unpack(p.Packed)
	if err != nil {
		return err
	}
	return n.enforce(&replicator.Value{
		Deployment: p.Deployment, Replicas: p.Replicas, Revision: p.Revision, Text: text, Version: p.Version,
	})
}

const (
	pushPause = 150 * time.Millisecond
	pushTries = 4
)

// push sends a value that was chosen to every live member at once. A member that it does not reach
// hears of the revision by gossip.
func (n *Node) push(value *replicator.Value) {
	document := pack(value)
	for _, m := range n.gossiper.Members() {
		if m.Name == n.settings.Name || m.Status >= gossiper.StatusDead {
			continue
		}
		go func() {
			for range pushTries {
				err := n.messenger.Call(context.Background(), m.Control, messenger.PurposeConfiguration, methodPush, document, nil)
				if err == nil {
					return
				}
				n.meter.Event("pushes_failed")
				time.Sleep(pushPause)
			}
		}()
	}
}

func wireError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replicator.ErrOtherDisk):
		return &jsonrpc2.Error{Code: codeOtherDisk, Message: err.Error()}
	default:
		return &jsonrpc2.Error{Code: codeNoReplica, Message: err.Error()}
	}
}

// prime lets a replica that has no document in force yet start from the replicas that it has heard
// of as a voter.
func (r *register) prime() {
	if r.acceptor == nil || r.Local() != nil {
		return
	}
	if accepted := r.acceptor.Accepted(); accepted != nil {
		r.proposer.Suppose(accepted.Replicas)
	}
}

// Read implements administrator.Register.
func (r *register) Read(ctx context.Context) (*replicator.Value, error) {
	r.prime()
	value, err := r.proposer.Read(ctx)
	if err != nil {
		return nil, err
	}
	return value, r.publish(value)
}

// Change implements administrator.Register.
func (r *register) Change(ctx context.Context, change *replicator.Change) (uint64, error) {
	if reply, ok := r.forward(ctx, change); ok {
		return reply.outcome()
	}
	return r.apply(ctx, change)
}

// apply makes the change by a round of this node.
func (r *register) apply(ctx context.Context, change *replicator.Change) (uint64, error) {
	r.prime()
	value, version, err := r.proposer.Apply(ctx, change)
	if value != nil {
		err = errors.Join(err, r.publish(value))
	}
	return version, err
}

// publish puts a chosen value in force here and sends it to the others if it is news.
func (r *register) publish(value *replicator.Value) error {
	isNews := value.Revision > r.node.revision()
	if err := r.node.enforce(value); err != nil {
		return err
	}
	if isNews {
		r.node.push(value)
	}
	return nil
}

// Bootstrap implements administrator.Register.
func (r *register) Bootstrap(ctx context.Context, change *replicator.Change) (*replicator.Value, error) {
	value, err := r.proposer.Bootstrap(ctx, change)
	if err != nil {
		return nil, err
	}
	return value, r.publish(value)
}

// Local implements administrator.Register.
func (r *register) Local() *replicator.Value {
	if current := r.node.document.Load(); current != nil {
		return current.value
	}
	return nil
}

// enforce puts a value of the register in force unless a newer one is.
func (n *Node) enforce(value *replicator.Value) error {
	if local := n.register.Local(); local != nil && local.Deployment != value.Deployment {
		n.meter.Event("foreign_documents")
		return fmt.Errorf("document of another deployment: %s, not %s", value.Deployment, local.Deployment)
	}
	document, err := n.documentOf(value)
	if err != nil {
		return err
	}
	if n.apply(document, value) {
		n.register.proposer.Follow(value.Replicas)
	}
	return nil
}

// documentOf returns the document of a value, or nil before the first one. The document in force is
// not parsed again.
func (n *Node) documentOf(value *replicator.Value) (*validator.Document, error) {
	if value.Version == 0 {
		return nil, nil
	}
	current := n.document.Load()
	if current != nil && current.value != nil && current.value.Version == value.Version && current.value.Text == value.Text {
		return current.document, nil
	}
	document, err := n.parse([]byte(value.Text))
	if !asserter.That(err == nil, "register-valid", "version %d: %v", value.Version, err) {
		return nil, err
	}
	return document, nil
}

// VersionSeen implements gossiper.Observer.
func (n *Node) VersionSeen(from gossiper.Member, revision uint64) {
	if revision <= n.revision() {
		return
	}
	select {
	case n.behind <- from:
	default:
	}
}

// revision returns the register's revision that is in force.
func (n *Node) revision() uint64 {
	if value := n.register.Local(); value != nil {
		return value.Revision
	}
	return 0
}

// pullDocuments gets newer documents from members that have them.
func (n *Node) pullDocuments(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-n.behind:
			if err := n.pullDocument(ctx, from); err != nil {
				n.log.Warn("A document could not be pulled.", "from", from.Name, "error", err)
			}
		}
	}
}

func (n *Node) pullDocument(ctx context.Context, from gossiper.Member) error {
	var document pulled
	if err := n.messenger.Call(ctx, from.Control, messenger.PurposeConfiguration, methodDocument, empty{}, &document); err != nil {
		return err
	}
	return n.take(&document)
}

// learn finds out, on a control replica, whether a value that it has accepted is chosen: its
// proposer may have died before it could tell.
func (n *Node) learn(ctx context.Context) {
	acceptor := n.register.acceptor
	if acceptor == nil {
		return
	}
	every(ctx, learnInterval, func() {
		accepted := acceptor.Accepted()
		if accepted == nil || accepted.Revision <= n.revision() {
			return
		}
		if leader, ok := n.register.leader(); ok && leader.Name != n.settings.Name && rand.N(learnTurns) != 0 {
			// Rounds of several replicas at once would outbid each other.
			return
		}
		bounded, cancel := context.WithTimeout(ctx, learnTimeout)
		defer cancel()
		// A round that fails is made again.
		_, _ = n.register.Read(bounded)
	})
}
