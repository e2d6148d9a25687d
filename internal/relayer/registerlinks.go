package relayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/distributor"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
)

// InForce implements distributor.FetchNode and distributor.ReplicaNode.
func (r *register) InForce() uint64 {
	return r.node.revision()
}

// fetchRequest asks for the value in force.
type fetchRequest struct {
	// InForce is the revision that the sender has in force.
	InForce uint64 `json:"in-force,omitempty"`
	// MaxBytes is the size of the largest text or patch to be sent, compressed; zero for no limit.
	MaxBytes int `json:"max-bytes,omitempty"`
}

// documentFor returns the document for a request. One that is larger than the request allows comes without its text.
func (r *register) documentFor(request fetchRequest) distributor.Document {
	document := r.history.Document(request.InForce)
	if size := document.Size(); request.MaxBytes > 0 && size > request.MaxBytes {
		document = document.Question()
		document.WholeBytes = size
	}
	return document
}

// Fetch implements distributor.FetchNode. A large document is asked for when the member has just answered, and one at a time.
func (r *register) Fetch(ctx context.Context, from gossiper.Member) error {
	request := fetchRequest{InForce: r.node.revision(), MaxBytes: distributor.MaxUnaskedBytes}
	var document distributor.Document
	err := r.node.messenger.CallIdempotent(ctx, from.Control, messenger.PurposeConfiguration, methodDocument, request, &document)
	if err == nil && document.WholeBytes > 0 {
		err = r.fetchLarge(ctx, from, &document)
	}
	if err == nil {
		err = r.node.activatePacked(&document, sourceFetch)
	}
	if err != nil && ctx.Err() == nil {
		r.node.meter.Event("fetches_failed")
		r.node.log.Warn("A document could not be fetched.", "from", from.Name, "address", from.Control, "error", err)
	}
	return err
}

// largeFetchTurn is how long a fetch of a large document waits for another one, which may be from a member that has ended since.
const largeFetchTurn = 600 * time.Millisecond

// fetchLarge gets the document with its text from a member, unless one that is as new is in force before its turn comes.
func (r *register) fetchLarge(ctx context.Context, from gossiper.Member, document *distributor.Document) error {
	turn, cancel := context.WithTimeout(ctx, largeFetchTurn)
	defer cancel()
	select {
	case r.largeFetch <- struct{}{}:
		defer func() { <-r.largeFetch }()
	case <-turn.Done():
	}
	if document.Revision <= r.node.revision() {
		return nil
	}
	request := fetchRequest{InForce: r.node.revision()}
	var whole distributor.Document
	err := r.node.messenger.CallForLarge(ctx, from.Control, messenger.PurposeConfiguration, methodDocument, request, &whole, document.WholeBytes)
	if err == nil {
		*document = whole
	}
	return err
}

// LiveMembers implements distributor.PushNode.
func (r *register) LiveMembers() []gossiper.Member {
	var live []gossiper.Member
	for _, m := range r.node.gossiper.Members() {
		if r.isLivePeer(&m) {
			live = append(live, m)
		}
	}
	return live
}

// LiveMember implements distributor.PushNode.
func (r *register) LiveMember(name string) (gossiper.Member, bool) {
	m, ok := r.node.gossiper.Member(name)
	return m, ok && r.isLivePeer(&m)
}

func (r *register) isLivePeer(m *gossiper.Member) bool {
	return m.Name != r.node.settings.Name && m.Status < gossiper.StatusDead
}

// Push implements distributor.PushNode.
func (r *register) Push(ctx context.Context, to gossiper.Member, document distributor.Document) (distributor.PushReply, error) {
	var reply distributor.PushReply
	err := r.node.messenger.CallIdempotent(ctx, to.Control, messenger.PurposeConfiguration, methodPush, document, &reply)
	return reply, err
}

// PushToRelay implements distributor.RelayNode.
func (r *register) PushToRelay(ctx context.Context, to gossiper.Member, document distributor.Document, others []string) ([]string, error) {
	var reply relayReply
	request := relayRequest{Document: document, Members: others}
	err := r.node.messenger.Call(ctx, to.Control, messenger.PurposeConfiguration, methodRelay, request, &reply)
	return reply.Reached, err
}

// PushByDeputy implements distributor.PushNode. The deputy is a random other replica: the value has been chosen by a majority of them,
// so that this node reaches some.
func (r *register) PushByDeputy(ctx context.Context, to gossiper.Member, revision uint64) error {
	deputies := slices.DeleteFunc(r.LiveMembers(), func(m gossiper.Member) bool { return m.DiskID == "" || m.Name == to.Name })
	if len(deputies) == 0 {
		return errNoDeputy
	}
	deputy := deputies[rand.IntN(len(deputies))]
	r.node.meter.Event("pushes_by_deputy")
	return r.node.messenger.Call(ctx, deputy.Control, messenger.PurposeConfiguration, methodDeputy, deputyRequest{Member: to.Name, Revision: revision}, nil)
}

// pushFor pushes the value in force to a member, once, for another node.
func (r *register) pushFor(ctx context.Context, request deputyRequest) error {
	local := r.Local()
	if local == nil || local.Revision < request.Revision {
		return fmt.Errorf("%w: revision %d", errNotInForce, request.Revision)
	}
	ctx, cancel := context.WithTimeout(ctx, deputyPushTimeout)
	defer cancel()
	return r.pusher.PushFor(ctx, request.Member)
}

// deputyPushTimeout limits how long a node pushes a value for another one, which waits a little longer.
const deputyPushTimeout = 900 * time.Millisecond

var (
	errNoDeputy   = merry.Sentinel("no other node with a disk is known")
	errNotInForce = merry.Sentinel("the value is not in force here yet")
)

// PushFailed implements distributor.PushNode.
func (r *register) PushFailed(to gossiper.Member, err error) {
	r.node.meter.Event("pushes_failed")
	r.node.events.write(false, "A value of the register was not pushed.", "to", to.Name, "error", err)
}
