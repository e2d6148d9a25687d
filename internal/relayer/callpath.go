package relayer

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/claimer"
	"github.com/marigoldrelay/marigoldrelay/internal/conditionkeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/dispatcher"
	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/localizer"
	"github.com/marigoldrelay/marigoldrelay/internal/router"
	"github.com/marigoldrelay/marigoldrelay/internal/settingsreader"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// newRouter returns a router with the policy, or with a localizer if the settings tell the cost of leaving the data centre.
func newRouter(clock timekeeper.Clock, policy router.Policy, settings *settingsreader.Settings) *router.Router {
	cost := settings.CrossDataCentreCost.Std()
	if cost == 0 {
		return router.New(clock, newRandom(), policy, settings.Region, settings.DataCentre)
	}
	r := router.New(clock, newRandom(), router.Soonest{}, settings.Region, settings.DataCentre)
	r.Localize(localizer.New(localizer.Config{Home: settings.DataCentre, CostPerKiB: cost}))
	return r
}

func (n *Node) buildCallPath() {
	sender := fmt.Sprintf("%s.%x", n.settings.Name, n.incarnation)
	n.carrier = carrier.New(n.clock, n.secrets.PeerSigner, sender, n.gossiper, n.meter,
		carrier.Headers{HopFields: n.interpreter.HopFields(), ReadID: n.readRequestID}, append(n.peerOptions, n.countRequests())...)
	peers := &peerClient{
		messenger: n.messenger, crashHolders: n.crashHolders,
		sendLoad: func(entries []string, load gossiper.Load) {
			n.router.ObserveLoad(n.settings.Name, loadFromGossip(load))
			n.gossiper.SendLoad(entries, load)
		},
	}
	n.executor = executor.New(executor.Config{
		OnAttemptEnd:      n.attemptFinished,
		Bytes:             n.bindingBudget,
		Clock:             n.clock,
		LimitSettleTime:   n.settings.RateLimitSettling.Std(),
		Links:             peers,
		LoadProber:        n.prober,
		Meter:             n.meter,
		Name:              n.settings.Name,
		OnConditions:      n.conditionsChanged,
		OnCrash:           n.upstreamCrashed,
		OnMalformedAnswer: n.answerMalformed,
		OnUpstreamDown:    n.markUpstreamDown,
		OnUpstreamLeaving: func(process announcer.Process) { n.registrar.MarkLeaving(announcer.Leave{Process: process}) },
		ProcessName:       sender,
		Quarantiner:       n.quarantiner,
		Recorder:          n.recorder,
		Repeats:           budgeter.NewRepeats(n.clock, n.repeatLimits),
		Sender:            n.carrier,
		Siblings:          &siblingDirectory{Router: n.router, gossiper: n.gossiper},
		AddContext:        n.addContext,
		Upstream:          n.upstream,
	})
	n.upstream.observer, n.upstream.answerSkipped = n.executor, n.answerSkipped
	n.buildDispatcher(sender, peers)
}

// buildDispatcher builds the dispatcher. Its calls have IDs with the prefix sender.
func (n *Node) buildDispatcher(sender string, peers *peerClient) {
	n.dispatcher = dispatcher.New(dispatcher.Config{
		Authenticator:   n.authenticator,
		Caller:          n.service,
		Claims:          claimer.New(n.clock, peers, n, n.interpreter, n.secrets.PeerSigner),
		Clock:           n.clock,
		Conditions:      conditionkeeper.New(n.clock),
		OnNestedFailure: n.executor.RecordNestedFailure,
		OnFinished:      n.callFinished,
		OnHedge:         n.callHedged,
		OnRetryRefused:  n.retryRefused,
		IdempotencyKeys: n.settings.IdempotencyKeys,
		Interpreter:     n.interpreter,
		Meter:           n.meter,
		Name:            sender,
		Quotas:          n.quotas.keeper,
		ReadContext: func(req *fasthttp.Request) (carrier.Context, bool) {
			return carrier.ReadContext(n.secrets.PeerSigner, req)
		},
		AttemptFinder:    n.executor,
		Retries:          budgeter.NewRetries(n.retryRatio),
		Self:             n.settings.Name,
		Sender:           n.newAttemptSender(),
		HasRoomElsewhere: n.router.HasRoomElsewhere,
		WeighsWaits:      n.settings.CrossDataCentreCost > 0,
		Targets:          &targetRouter{Router: n.router, node: n},
	})
}

// addContext writes the headers of a request to the upstream beside the node.
func (n *Node) addContext(a *carrier.Attempt, req *fasthttp.Request, instance string, deadline time.Time) {
	carrier.WriteContext(n.secrets.PeerSigner, a, req, deadline)
	n.interpreter.WriteHop(&req.Header, interpreter.Hop{
		Caller: a.Caller, Instance: instance, Timeout: deadline.Sub(n.clock.Now()), Workspace: a.Workspace,
		// The entry node can have a newer document than this one.
		HasWorkspaces: a.Workspace != "" || n.authenticator.HasWorkspaces(),
	})
}

func (n *Node) newAttemptSender() *attemptSender {
	return &attemptSender{
		carrier: n.carrier, clock: n.clock, crossing: n.router, executor: n.executor,
		dataCentre: n.settings.DataCentre, self: n.settings.Name,
	}
}

// targetRouter is the dispatcher's router. It also passes on to the executor what nodes of the same service have
// learned about their upstreams.
type targetRouter struct {
	*router.Router
	node *Node
}

// RecordCallEnd implements dispatcher.Targets.
func (t *targetRouter) RecordCallEnd(name string, load carrier.Load, failed bool) {
	t.Router.RecordCallEnd(name, load, failed)
	t.node.reportSiblingLoad(name, load)
}

// reportSiblingLoad passes to the executor the load that another node reports, if that node has learned at which
// fraction of its slots the upstream has the highest throughput.
func (n *Node) reportSiblingLoad(name string, load carrier.Load) {
	if load.BestSlotFraction == 0 || name == n.settings.Name {
		return
	}
	if m, ok := n.gossiper.Member(name); ok {
		n.executor.AdoptSiblingLoad(m.Service, load)
	}
}

// siblingDirectory combines the router and the gossiper into what the executor needs to know about other nodes.
type siblingDirectory struct {
	*router.Router
	gossiper *gossiper.Gossiper
}

// Member implements executor.Siblings.
func (s *siblingDirectory) Member(name string) (gossiper.Member, bool) {
	return s.gossiper.Member(name)
}
