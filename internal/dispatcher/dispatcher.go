// Package dispatcher handles callers' requests at the entry node: it matches the route, picks target nodes,
// and retries or hedges where that is safe and within the neighbour's retry budget.
package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/authenticator"
	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/meter"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/router"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

const (
	// defaultAttempts is the maximum number of upstreams that a request is sent to if its route sets none.
	defaultAttempts = 4
	// maxDepth is the maximum number of calls that one call can be nested in.
	maxDepth = 16
	// maxHandBacks is how often nodes can hand a request back. After that its attempts are not optional, so that
	// a node has to keep it.
	maxHandBacks = 3
	// maxOverBudget is how often a call is retried after a node refuses a retry because of its upstream's
	// limit on repeats.
	maxOverBudget = 1
	// maxRateLimited is how often a call is retried at another node after a refusal for the rate limit of one upstream.
	maxRateLimited = 3
	// maxQueueFullRefusals is how often a call is retried after a full queue if its caller has no time to retry
	// itself.
	maxQueueFullRefusals = 3
	// maxCallAttempts limits the attempts of a call, including those that reach no upstream but not hedges.
	maxCallAttempts = 10
	// noUpstreamRetry is the time after which a retry can succeed if a service has no ready upstream or no
	// configuration is in force.
	noUpstreamRetry = 300 * time.Millisecond
	// drainingRetry is the time after which a caller can retry at another node if this one is draining.
	drainingRetry = 50 * time.Millisecond
)

// Targets picks the nodes that attempts are sent to and records outcomes of these nodes.
type Targets interface {
	// RecordCallEnd records the outcome of an attempt. failed is true if it counts against the node.
	RecordCallEnd(name string, load carrier.Load, failed bool)
	// MarkOverdue records that a response of the node is overdue.
	MarkOverdue(name string)
	// Pick chooses a node that is not in exclude. It reports false if there is none.
	Pick(need router.Need, exclude []string) (router.Choice, bool)
	// RecordCallStart records that an attempt is sent to the node.
	RecordCallStart(name string)
}

// Sender sends an attempt to a node, which can be this one, and returns its outcome. A response is left in resp.
type Sender interface {
	Send(ctx context.Context, to gossiper.Member, a carrier.Attempt, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) carrier.Outcome
}

// AttemptFinder finds the attempts that run at the upstream beside the node.
type AttemptFinder interface {
	// FindRunning returns the attempt that the upstream runs for a call, looked up by the call's id or by the
	// request id that the caller set.
	FindRunning(call, request string) (carrier.Attempt, bool)
	// FindEnded looks up an attempt in the same way that has ended at the upstream within the last seconds, and returns the
	// workspace in whose share it ran.
	FindEnded(call, request string) (workspace string, ok bool)
}

// Authenticator finds out which workspace a request belongs to.
type Authenticator interface {
	// Authenticate returns the workspace of a request with the given lines of the credential's field, or a refusal.
	Authenticate(ctx context.Context, credentials []string) (authenticator.Workspace, *refuser.Refusal)
	// HasWorkspaces reports whether the document in force has workspaces.
	HasWorkspaces() bool
	// Named returns the workspace with the name, or the zero value.
	Named(name string) authenticator.Workspace
}

// Conditions remembers what upstreams have asked for in the answers that this node has passed on.
type Conditions interface {
	// For returns the conditions to send with an attempt of the service to the node.
	For(service, node string) []carrier.UpstreamCondition
	// Record remembers the condition of an outcome of the service.
	Record(service string, condition carrier.UpstreamCondition)
}

// Claims ensures that a request with an idempotency key runs once, whichever entry node receives it.
type Claims interface {
	// Run calls run unless the key was claimed before. In that case it writes the first response to resp.
	Run(ctx context.Context, call *Call, req *fasthttp.Request, resp *fasthttp.Response, run func() *refuser.Refusal) *refuser.Refusal
}

// Call is a caller's request with the settings of its route and the context inherited from its parent call.
type Call struct {
	// AllowedRegions are the regions in which the request can run; empty for all.
	AllowedRegions []string
	// BelowRetry is true for a call that is nested in a retry, at any depth.
	BelowRetry bool
	// Attempts is the maximum number of upstreams that the request is sent to.
	Attempts int
	// Caller is the service on the VM where the call began.
	Caller string
	// RootCall is the id of the outermost call that this one is nested in, or empty.
	RootCall string
	// Deadline is the earliest of the route's, the caller's and the parent call's deadlines.
	Deadline time.Time
	// Depth is the number of calls that this one is nested in.
	Depth int
	// Draw is a random number in [0, 1) that decides whether the call leaves the data centre.
	Draw float64
	// ID is Config.Name followed by a sequence number.
	ID         string
	Idempotent bool
	// Key is the idempotency key, or empty.
	Key string
	// Neighbour is the neighbour whose retry budget the call uses.
	Neighbour string
	// ParentCall is the id of the call during which the upstream made this one, or empty.
	ParentCall string
	Rank       string
	// RequestID is the request id that the caller set, or empty.
	RequestID string
	// Route is the name of the route, or empty.
	Route   string
	Service string
	// SharesOf is the workspace in whose share a call without one of its own runs, or empty.
	SharesOf string
	Started  time.Time
	// CallerDeadline is when the caller gives up. It equals Deadline if the caller sends no timeout.
	CallerDeadline time.Time
	// TargetLatency is the time within which the response is fully useful; zero if the route sets none.
	TargetLatency time.Duration
	// Workspace is the workspace whose API key the request carries; empty if it needs none.
	Workspace string
}

// Config holds the dependencies of a Dispatcher.
type Config struct {
	// Authenticator is nil if no request needs a key.
	Authenticator Authenticator
	// Caller returns the service on this VM.
	Caller     func() string
	Claims     Claims
	Clock      timekeeper.Clock
	Conditions Conditions
	// OnNestedFailure is called with the id of the parent of each nested call that has finally failed.
	OnNestedFailure func(call string)
	// OnFinished, if not nil, is called with each call that has ended and its outcome.
	OnFinished func(call *Call, progress *CallProgress, resp *fasthttp.Response, refusal *refuser.Refusal)
	// OnHedge, if not nil, is called before each hedge is sent, with the targets of both attempts.
	OnHedge func(call *Call, first, second string)
	// HasRoomElsewhere reports whether another data centre can answer a call in time that the nodes in exclude have
	// refused for lack of room, and this one can't. If it is nil, such a call is not sent to another data centre.
	HasRoomElsewhere func(need router.Need, exclude []string) bool
	// IdempotencyKeys is true if HeaderIdempotencyKey is read. Otherwise it is passed on like any other header.
	IdempotencyKeys bool
	Interpreter     Interpreter
	Meter           *meter.Meter
	// Name is the prefix of call ids.
	Name string
	// OnRetryRefused, if not nil, is called for each retry or hedge that is refused, with the target of the
	// previous attempt.
	OnRetryRefused func(call *Call, target string, reason meter.RetryRefusal)
	// Quotas limits the requests of workspaces; nil for no limits.
	Quotas Quotas
	// ReadContext returns the call context that an upstream copied into its request. It reports false if there
	// is none.
	ReadContext func(req *fasthttp.Request) (carrier.Context, bool)
	Retries     *budgeter.Retries
	// Self is the name under which this node is a target.
	Self          string
	AttemptFinder AttemptFinder
	Sender        Sender
	Targets       Targets
	// WeighsWaits is true if Targets use the useful wait of a call, which is reckoned for each pick.
	WeighsWaits bool
}

// Interpreter parses the request headers that callers set.
type Interpreter interface {
	// CredentialHeader returns the name of the field with the caller's API key.
	CredentialHeader() string
	// EndToEnd returns the names of the fields that are passed on even if the sender names them in Connection.
	EndToEnd() []string
	ReadRequest(header *fasthttp.RequestHeader) (interpreter.Request, error)
	// WorkspaceHeader returns the name of the field that names the workspace to upstreams.
	WorkspaceHeader() string
}

// Dispatcher serves the requests of callers. It is safe for concurrent use.
type Dispatcher struct {
	Config

	callSequence atomic.Uint64
	// end is when this node ends, or nil.
	end       atomic.Pointer[time.Time]
	latencies latencyEstimates
	table     atomic.Pointer[routingTable]
}

// routingTable is what the dispatcher derives from a configuration document.
type routingTable struct {
	document *validator.Document
	matcher  *validator.Matcher
	splits   map[*validator.Route]*split
}

// New returns a dispatcher that refuses every request until Configure is called.
func New(config Config) *Dispatcher {
	return &Dispatcher{Config: config}
}

// Configure puts a configuration document in force.
func (d *Dispatcher) Configure(document *validator.Document) {
	splits := make(map[*validator.Route]*split)
	for i := range document.Routes {
		if route := &document.Routes[i]; len(route.Split) > 0 {
			splits[route] = newSplit(route.Split)
		}
	}
	d.table.Store(&routingTable{document: document, matcher: validator.NewMatcher(document), splits: splits})
}

// RefuseBeyond makes the dispatcher refuse calls whose deadline lies after end, when this node ends: their responses
// could come too late to be passed on.
func (d *Dispatcher) RefuseBeyond(end time.Time) {
	d.end.Store(&end)
}

// Dispatch serves the caller's request and writes the response to resp, or returns the refusal.
func (d *Dispatcher) Dispatch(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) *refuser.Refusal {
	call, refusal := d.newCall(ctx, d.Clock.Now(), req)
	progress := &CallProgress{}
	if refusal == nil {
		run := func() *refuser.Refusal { return d.runWithinQuota(ctx, call, progress, req, resp) }
		if call.Key != "" && !call.Idempotent {
			refusal = d.Claims.Run(ctx, call, req, resp, run)
		} else {
			refusal = run()
		}
	}
	if refusal != nil {
		d.Meter.Refused(refusal.Reason)
	}
	if d.OnFinished != nil {
		d.OnFinished(call, progress, resp, refusal)
	}
	return refusal
}

// newCall matches the request's route, finds out its workspace and removes hop-by-hop headers and headers that only nodes may
// set. The returned call is not nil, even with a refusal.
func (d *Dispatcher) newCall(ctx context.Context, now time.Time, req *fasthttp.Request) (*Call, *refuser.Refusal) {
	call := &Call{ID: fmt.Sprintf("%s.%d", d.Name, d.callSequence.Add(1)), Started: now, Draw: rand.Float64()}
	parsed, err := d.Interpreter.ReadRequest(&req.Header)
	call.RequestID = parsed.ID
	table := d.table.Load()
	if table == nil {
		return call, refuser.NewWithRetryAfter(refuser.ReasonNoDocument, noUpstreamRetry, "no configuration is in force yet")
	}
	inherited, nested := d.ReadContext(req)
	caller := d.newCaller(req)
	stripHeaders(req, d.Interpreter.EndToEnd())
	route := table.matcher.Match(string(req.Header.Host()), string(req.Header.Method()), requestPath(req))
	if route == nil {
		return call, refuser.New(refuser.ReasonNoRoute, "no route for this host, method and path")
	}
	parent, isParentRunning := d.AttemptFinder.FindRunning(inherited.Call, parsed.Parent)
	caller.isNested, caller.isPublic = nested || isParentRunning, route.Public
	caller.parentCall, caller.parentRequest, caller.shareOwner = inherited.Call, parsed.Parent, parent.ShareOwner()
	call.Route = route.Name
	workspace, refusal := d.identify(ctx, call, &caller)
	if refusal != nil {
		return call, refusal
	}
	if err != nil {
		return call, refuser.New(refuser.ReasonBadRequest, err.Error())
	}
	call.applyRoute(route, table)
	if refusal := call.applyWorkspace(&workspace); refusal != nil {
		return call, refusal
	}
	if d.Caller != nil {
		call.Caller = d.Caller()
	}
	if nested {
		call.inheritContext(&inherited)
	}
	if isParentRunning {
		call.BelowRetry = parent.Try != carrier.TryFirst
		call.ParentCall = parent.Call
	}
	if call.Depth > maxDepth {
		return call, refuser.New(refuser.ReasonBadRequest, "calls are nested too deeply")
	}
	call.applyTimeout(now, parsed.Timeout)
	if d.canOutlastNode(call) {
		return call, refuser.NewWithRetryAfter(refuser.ReasonDraining, drainingRetry, "this node ends before the deadline")
	}
	if !d.IdempotencyKeys {
		return call, nil
	}
	return call, call.readIdempotencyKey(req)
}

// canOutlastNode reports whether the call's deadline lies after the end of this node. A call nested in one that runs at the
// upstream beside the node does not count, since both end together.
func (d *Dispatcher) canOutlastNode(call *Call) bool {
	end := d.end.Load()
	return end != nil && call.ParentCall == "" && call.Deadline.After(*end)
}

// applyRoute sets the fields that the route determines.
func (c *Call) applyRoute(route *validator.Route, table *routingTable) {
	c.AllowedRegions = route.AllowedRegions
	c.Attempts = route.Attempts
	if c.Attempts == 0 {
		c.Attempts = defaultAttempts
	}
	c.Deadline = c.Started.Add(route.Deadline.Std())
	c.Idempotent = route.Idempotent
	c.Rank = route.Rank
	c.Route = route.Name
	c.Service = route.Service
	c.TargetLatency = route.TargetLatency.Std()
	if parts := table.splits[route]; parts != nil {
		c.Service = parts.next()
	}
	c.Neighbour = table.document.NeighbourOf(route, c.Service)
}

// applyTimeout sets when the caller gives up, and the deadline if that is earlier. The timeout is zero if the caller sends none.
func (c *Call) applyTimeout(now time.Time, timeout time.Duration) {
	c.CallerDeadline = c.Deadline
	if timeout <= 0 {
		return
	}
	c.CallerDeadline = now.Add(timeout)
	if c.CallerDeadline.Before(c.Deadline) {
		c.Deadline = c.CallerDeadline
	}
}

// inheritContext sets the fields that a nested call takes from its parent. It never extends the deadline.
func (c *Call) inheritContext(parent *carrier.Context) {
	c.RootCall = parent.RootCall
	c.Depth = parent.Depth
	c.Neighbour = parent.Neighbour
	c.ParentCall = parent.Call
	c.Rank = parent.Rank
	if parent.Deadline.Before(c.Deadline) {
		c.Deadline = parent.Deadline
	}
}
