// Package dispatcher takes callers' requests at the entry node: it finds the route, picks targets,
// and makes the further tries that are safe and within the neighbour's budget.
package dispatcher

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

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
	// defaultAttempts is the number of upstreams that a request may be sent to where its route does not
	// say.
	defaultAttempts = 4
	maxDepth        = 16
	// maxHandBacks is how often a request may be handed back before a node has to keep it.
	maxHandBacks = 3
	// maxOverBudget is how many further nodes are asked where one takes no more repeats.
	maxOverBudget = 1
	// maxRefusals is how many full queues a call is offered to whose caller can't come back.
	maxRefusals = 3
	// maxTries bounds the tries that reach no upstream.
	maxTries = 10
	// noUpstreamRetry is when a service without a ready upstream is worth another try.
	noUpstreamRetry = 300 * time.Millisecond
)

// Targets picks nodes and learns from their outcomes.
type Targets interface {
	Learn(name string, load carrier.Load, failed bool)
	// LoadSeen takes a node's word on its load. It reports whether its upstream has turned slow.
	LoadSeen(name string, load carrier.Load) bool
	// Overdue notes that an answer of the node is overdue.
	Overdue(name string)
	Pick(need router.Need, exclude []string) (router.Choice, bool)
	Sent(name string)
}

// Sender takes an attempt to a node, which can be this one.
type Sender interface {
	Send(ctx context.Context, to gossiper.Member, a carrier.Attempt, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) carrier.Outcome
}

// Runs knows what runs at the upstream beside the node.
type Runs interface {
	// Find returns the attempt that the upstream runs for a call, by the call's id or by the one that its
	// caller gave it.
	Find(call, request string) (carrier.Attempt, bool)
}

// Claims makes a request with an idempotency key run once, whichever entry node it comes to.
type Claims interface {
	// Run calls run unless the key was claimed before; then it leaves the first answer in resp.
	Run(ctx context.Context, call *Call, req *fasthttp.Request, resp *fasthttp.Response, run func() *refuser.Refusal) *refuser.Refusal
}

// Call is a caller's request with what its route says of it.
type Call struct {
	// BelowFurther is true for a call that an upstream makes while it runs a further try.
	BelowFurther bool
	// Attempts is the number of upstreams that the request may be sent to.
	Attempts int
	// Caller is the service on the VM where the call began.
	Caller     string
	Chain      string
	Deadline   time.Time
	Depth      int
	ID         string
	Idempotent bool
	// Key is the idempotency key, or empty.
	Key       string
	Neighbour string
	// Parent is the call that this one is made for, or empty.
	Parent string
	Rank   string
	// Request is the id that the caller gave its request, or empty.
	Request string
	// Route is the name of the route, or empty.
	Route   string
	Service string
	Started time.Time
	// Until is when the caller gives up; the deadline where it does not say.
	Until time.Time
	// Target is the time within which the answer is of full use; zero where the route sets none.
	Target time.Duration
}

// Config holds the dependencies of a Dispatcher.
type Config struct {
	// Caller returns the service on this VM.
	Caller func() string
	Claims Claims
	Clock  timekeeper.Clock
	// FailedBelow is told of the parent of a call that failed for good.
	FailedBelow func(call string)
	// Finished is told of each call with its outcome; nil tells nobody.
	Finished func(call *Call, journey *Journey, resp *fasthttp.Response, refusal *refuser.Refusal)
	// Hedged is told of each second try with the targets of both; nil tells nobody.
	Hedged      func(call *Call, first, second string, reason meter.RetryReason)
	Interpreter Interpreter
	Meter       *meter.Meter
	Name        string
	// NotRetried is told of each further try that is not made, with the target of the one before; nil tells
	// nobody.
	NotRetried func(call *Call, target string, reason meter.RetryRefusal)
	// OpenContext returns the context that an upstream passed on.
	OpenContext func(req *fasthttp.Request) (carrier.Context, bool)
	Retries     *budgeter.Retries
	// Self is the name of this node as a target.
	Self    string
	Runs    Runs
	Sender  Sender
	Targets Targets
}

// Interpreter reads what callers say in headers.
type Interpreter interface {
	ReadRequest(header *fasthttp.RequestHeader) (interpreter.Request, error)
}

// Dispatcher serves callers. It is safe for concurrent use.
type Dispatcher struct {
	Config

	calls     atomic.Uint64
	hedges    hedges
	latencies latencies
	table     atomic.Pointer[table]
}

type table struct {
	document *validator.Document
	matcher  *validator.Matcher
	splits   map[*validator.Route]*split
}

// New returns a dispatcher that refuses every request until Configure.
func New(config Config) *Dispatcher {
	return &Dispatcher{Config: config}
}

// Configure puts a document in force.
func (d *Dispatcher) Configure(document *validator.Document) {
	splits := make(map[*validator.Route]*split)
	for i := range document.Routes {
		if route := &document.Routes[i]; len(route.Split) > 0 {
			splits[route] = newSplit(route.Split)
		}
	}
	d.table.Store(&table{document: document, matcher: validator.NewMatcher(document), splits: splits})
}

// Dispatch answers the caller's request in resp, or returns why not.
func (d *Dispatcher) Dispatch(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) *refuser.Refusal {
	call, refusal := d.open(d.Clock.Now(), req)
	journey := &Journey{}
	if refusal == nil {
		run := func() *refuser.Refusal { return d.run(ctx, call, journey, req, resp) }
		if call.Key != "" && !call.Idempotent {
			refusal = d.Claims.Run(ctx, call, req, resp, run)
		} else {
			refusal = run()
		}
	}
	if refusal != nil {
		d.Meter.Refused(refusal.Reason)
	}
	if d.Finished != nil {
		d.Finished(call, journey, resp, refusal)
	}
	return refusal
}

// open finds the route and removes the headers that only nodes may set.
func (d *Dispatcher) open(now time.Time, req *fasthttp.Request) (*Call, *refuser.Refusal) {
	call := &Call{ID: fmt.Sprintf("%s.%d", d.Name, d.calls.Add(1)), Started: now}
	said, err := d.Interpreter.ReadRequest(&req.Header)
	call.Request = said.ID
	current := d.table.Load()
	if current == nil {
		return call, refuser.Later(refuser.ReasonNoDocument, noUpstreamRetry, "no configuration is in force yet")
	}
	inherited, nested := d.OpenContext(req)
	strip(req)
	route := current.matcher.Match(string(req.Header.Host()), string(req.Header.Method()), pathOf(req))
	if route == nil {
		return call, refuser.New(refuser.ReasonNoRoute, "no route for this host, method and path")
	}
	if err != nil {
		return call, refuser.New(refuser.ReasonBadRequest, err.Error())
	}
	call.follow(route, current)
	if d.Caller != nil {
		call.Caller = d.Caller()
	}
	if nested {
		call.inherit(&inherited)
	}
	if parent, ok := d.Runs.Find(inherited.Call, said.Parent); ok {
		call.BelowFurther = parent.Try != carrier.TryFirst
		call.Parent = parent.Call
	}
	if call.Depth > maxDepth {
		return call, refuser.New(refuser.ReasonBadRequest, "calls are nested too deeply")
	}
	call.Until = call.Deadline
	if said.Timeout > 0 {
		call.Until = now.Add(said.Timeout)
	}
	if said.Timeout > 0 && now.Add(said.Timeout).Before(call.Deadline) {
		call.Deadline = now.Add(said.Timeout)
	}
	return call, call.readKey(req)
}

// follow takes over what the route says.
func (c *Call) follow(route *validator.Route, current *table) {
	c.Attempts = route.Attempts
	if c.Attempts == 0 {
		c.Attempts = defaultAttempts
	}
	c.Deadline = c.Started.Add(route.Deadline.Std())
	c.Idempotent = route.Idempotent
	c.Rank = route.Rank
	c.Route = route.Name
	c.Service = route.Service
	c.Target = route.TargetLatency.Std()
	if parts := current.splits[route]; parts != nil {
		c.Service = parts.next()
	}
	c.Neighbour = current.document.NeighbourOf(route, c.Service)
}

// inherit takes over what a nested call may not choose for itself.
func (c *Call) inherit(from *carrier.Context) {
	c.Chain = from.Chain
	c.Depth = from.Depth
	c.Neighbour = from.Neighbour
	c.Parent = from.Call
	c.Rank = from.Rank
	if from.Deadline.Before(c.Deadline) {
		c.Deadline = from.Deadline
	}
}
