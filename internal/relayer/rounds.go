package relayer

import (
	"context"
	"errors"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// differenceCache holds the difference that was made last, since each replica gets the same one. It is safe for concurrent use.
type differenceCache struct {
	mu         sync.Mutex
	base       replicator.Ballot
	value      *replicator.Value
	difference *replicator.Difference
}

// differenceTo returns the difference from a value that was accepted under the ballot to another one, or nil if that is better
// sent whole.
func (c *differenceCache) differenceTo(value *replicator.Value, base replicator.Ballot, from *replicator.Value) *replicator.Difference {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.value != value || c.base != base {
		c.base, c.value, c.difference = base, value, replicator.NewDifference(from, value)
	}
	return c.difference
}

// Accept implements replicator.Transport. It sends the value as the difference from the one that was chosen last, which most replicas have
// accepted, and whole to those that haven't or are of an earlier version.
func (r *register) Accept(ctx context.Context, vm string, request replicator.AcceptRequest) (replicator.AcceptReply, error) {
	base, chosen := r.proposer.Chosen()
	difference := r.differences.differenceTo(request.Value, base, chosen)
	if difference == nil {
		return r.acceptWhole(ctx, vm, request)
	}
	var reply replicator.AcceptReply
	err := r.call(ctx, vm, methodAcceptDifference, replicator.DifferenceRequest{
		Ballot: request.Ballot, Base: base, Difference: difference, DiskID: request.DiskID,
	}, &reply)
	if !needsWhole(err) {
		return reply, err
	}
	r.node.meter.Event("register_differences_refused")
	r.node.events.write(false, "A replica needs the whole value.", "replica", vm, "error", err)
	return r.acceptWhole(ctx, vm, request)
}

// Prepare implements replicator.Transport.
func (r *register) Prepare(ctx context.Context, vm string, request replicator.PrepareRequest) (replicator.PrepareReply, error) {
	var reply replicator.PrepareReply
	return reply, r.call(ctx, vm, methodPrepare, request, &reply)
}

// Query implements replicator.Transport.
func (r *register) Query(ctx context.Context, vm string, request replicator.QueryRequest) (replicator.QueryReply, error) {
	var reply replicator.QueryReply
	return reply, r.call(ctx, vm, methodQuery, request, &reply)
}

// acceptWhole sends a replica the request with the whole value.
func (r *register) acceptWhole(ctx context.Context, vm string, request replicator.AcceptRequest) (replicator.AcceptReply, error) {
	var reply replicator.AcceptReply
	return reply, r.call(ctx, vm, methodAccept, request, &reply)
}

// addRoundHandlers adds the handlers of the messages of rounds and reads.
func (r *register) addRoundHandlers(m *messenger.Messenger) {
	addReplicaHandler(r, m, methodPrepare, "register_prepares", (*replicator.Acceptor).Prepare)
	addReplicaHandler(r, m, methodAccept, "register_accepts", (*replicator.Acceptor).Accept)
	addReplicaHandler(r, m, methodAcceptDifference, "register_accepts", (*replicator.Acceptor).AcceptDifference)
	addReplicaHandler(r, m, methodQuery, "register_queries", (*replicator.Acceptor).Query)
}

// addReplicaHandler adds a handler that counts the event and passes the message to the node's replica.
func addReplicaHandler[P, R any](r *register, m *messenger.Messenger, method, event string, handle func(*replicator.Acceptor, P) (R, error)) {
	addHandler(m, method, func(_ context.Context, p P) (reply R, err error) {
		if r.acceptor == nil {
			return reply, rpcError(errNotReplica)
		}
		r.node.meter.Event(event)
		reply, err = handle(r.acceptor, p)
		return reply, rpcError(err)
	})
}

// needsWhole reports whether a replica has refused a difference that it would take as a whole value.
func needsWhole(err error) bool {
	var refusal *jsonrpc2.Error
	return errors.As(err, &refusal) && (refusal.Code == codeOtherBase || refusal.Code == jsonrpc2.CodeMethodNotFound)
}
