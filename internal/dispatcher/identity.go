package dispatcher

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/authenticator"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// caller is what a request tells of who has sent it.
type caller struct {
	// hasWorkspaces is false if no request needs a key.
	hasWorkspaces bool
	// credentials are the values of all lines of the field with the API key.
	credentials []string
	// isNested is true for a call of an upstream for a request that it runs.
	isNested bool
	// isPublic is true if the route needs no key.
	isPublic bool
	// parentCall and parentRequest identify the request that a nested call is made for, by the call's signed context or by the
	// request's id. Both are empty for other requests.
	parentCall, parentRequest string
	// shareOwner is the workspace in whose share the running parent runs, or empty.
	shareOwner string
}

// newCaller returns the caller with its credentials. Where the document has workspaces, it removes the field with the API key
// from the request, so that no key gets further than this node, and the one with the name of a workspace, which only nodes may set.
func (d *Dispatcher) newCaller(req *fasthttp.Request) caller {
	if d.Authenticator == nil || !d.Authenticator.HasWorkspaces() {
		return caller{}
	}
	c := caller{hasWorkspaces: true}
	for _, line := range req.Header.PeekAll(d.Interpreter.CredentialHeader()) {
		c.credentials = append(c.credentials, string(line))
	}
	req.Header.Del(d.Interpreter.CredentialHeader())
	req.Header.Del(d.Interpreter.WorkspaceHeader())
	return c
}

// identify sets the call's workspace, or the one in whose share it runs, and returns what the call gets from it, or a refusal.
// A nested call has no workspace of its own: it runs in the share and the regions of the one that its parent belongs to.
func (d *Dispatcher) identify(ctx context.Context, call *Call, c *caller) (authenticator.Workspace, *refuser.Refusal) {
	switch {
	case !c.hasWorkspaces:
		return authenticator.Workspace{}, nil
	case c.isNested && len(c.credentials) == 0:
		call.SharesOf = c.shareOwner
		if call.SharesOf == "" {
			call.SharesOf, _ = d.AttemptFinder.FindEnded(c.parentCall, c.parentRequest)
		}
		return authenticator.Workspace{AllowedRegions: d.Authenticator.Named(call.SharesOf).AllowedRegions}, nil
	case c.isPublic:
		return authenticator.Workspace{}, nil
	case len(c.credentials) == 0 && d.hasParentEnded(c):
		return authenticator.Workspace{}, refuser.New(refuser.ReasonCancelled, "the request that the call is made for has ended")
	}
	workspace, refusal := d.Authenticator.Authenticate(ctx, c.credentials)
	call.Workspace = workspace.Name
	return workspace, refusal
}

// hasParentEnded reports whether a call without a key is made for a request that has just ended at the upstream beside the
// node. The upstream may have sent the call before it could know.
func (d *Dispatcher) hasParentEnded(c *caller) bool {
	_, ok := d.AttemptFinder.FindEnded("", c.parentRequest)
	return ok
}

// applyWorkspace applies what the call gets from its workspace, in place of or beside what its route says. It returns a
// refusal if no region is left.
func (c *Call) applyWorkspace(workspace *authenticator.Workspace) *refuser.Refusal {
	if workspace.Rank != "" {
		c.Rank = workspace.Rank
	}
	return c.restrictRegions(workspace.AllowedRegions)
}

// restrictRegions limits the regions of the call to those that are allowed as well. It returns a refusal if none is left.
func (c *Call) restrictRegions(allowed []string) *refuser.Refusal {
	common, ok := validator.CommonRegions(c.AllowedRegions, allowed)
	if !ok {
		return refuser.New(refuser.ReasonNoRegion, "the route and the workspace allow no region in common")
	}
	c.AllowedRegions = common
	return nil
}
