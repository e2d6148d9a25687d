package relayer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// Activate puts a document in force as a value of the register with the revision.
func (n *Node) Activate(document *validator.Document, revision uint64) {
	n.activate(document, &replicator.Value{Revision: revision})
}

// ForgetDifferences makes the node refuse differences in rounds and changes as patches, as one of an earlier version, which doesn't know
// these methods. It must be called before Start.
func (n *Node) ForgetDifferences() {
	for _, method := range []string{methodAcceptDifference, methodPatchedChange} {
		n.messenger.Handle(method, func(context.Context, json.RawMessage) (any, error) {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + method}
		})
	}
}

// Dispatch serves a caller's request.
func (n *Node) Dispatch(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) *refuser.Refusal {
	return n.dispatcher.Dispatch(ctx, req, resp)
}

// AnswerMemoryUsed returns how many bytes the bodies of answers occupy.
func (n *Node) AnswerMemoryUsed() int {
	return n.bodyMemory.UsedBy(budgeter.ClassAnswer)
}

// TakeToken takes a token of a workspace's quota.
func (n *Node) TakeToken(workspace string) *refuser.Refusal {
	_, refusal := n.quotas.keeper.Take(context.Background(), workspace, time.Second)
	return refusal
}

// FindUpstream does what a health check does that the upstream has answered with 200 and the id of its instance.
func (n *Node) FindUpstream(a announcer.Announcement) {
	proberNode{n}.UpstreamDiscovered(a)
}
