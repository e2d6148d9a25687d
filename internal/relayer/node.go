// Package relayer composes the parts of one node and runs its duties.
package relayer

import (
	"context"
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/administrator"
	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/claimer"
	"github.com/marigoldrelay/marigoldrelay/internal/conntracker"
	"github.com/marigoldrelay/marigoldrelay/internal/dispatcher"
	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/formserver"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/hintreader"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/listener"
	"github.com/marigoldrelay/marigoldrelay/internal/logger"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
	"github.com/marigoldrelay/marigoldrelay/internal/meter"
	"github.com/marigoldrelay/marigoldrelay/internal/prober"
	"github.com/marigoldrelay/marigoldrelay/internal/quarantiner"
	"github.com/marigoldrelay/marigoldrelay/internal/recorder"
	"github.com/marigoldrelay/marigoldrelay/internal/registrar"
	"github.com/marigoldrelay/marigoldrelay/internal/router"
	"github.com/marigoldrelay/marigoldrelay/internal/settingsreader"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	defaultControlRate = 7000.0
	drainPoll          = 10 * time.Millisecond
	drainTimeout       = 30 * time.Second
	bindingPart        = 0.4
	gossipPart         = 0.35
	membershipPart     = 0.15
	leaveTime          = 500 * time.Millisecond
	shutdownTimeout    = 300 * time.Millisecond
)

// Node is one process beside an upstream.
type Node struct {
	settings *settingsreader.Settings
	secrets  *settingsreader.Secrets
	clock    timekeeper.Clock
	logs     log.Logger
	log      *logger.Part

	administrator   *administrator.Administrator
	applying        sync.Mutex
	behind          chan gossiper.Member
	bindingBytes    *budgeter.Bytes
	carrier         *carrier.Carrier
	differing       chan netip.AddrPort
	claims          *claimer.Table
	dispatcher      *dispatcher.Dispatcher
	document        atomic.Pointer[inForce]
	executor        *executor.Executor
	gossipBytes     *budgeter.Bytes
	gossiper        *gossiper.Gossiper
	hints           *hintreader.Reader
	incarnation     uint64
	peerOptions     []forwarder.Option
	membershipBytes *budgeter.Bytes
	messenger       *messenger.Messenger
	meter           *meter.Meter
	newcomers       chan gossiper.Member
	quarantiner     *quarantiner.Quarantiner
	recorder        *recorder.Recorder
	register        *register
	registrar       *registrar.Registrar
	router          *router.Router
	sharers         *sharers
	upstream        *localUpstream
	// callers is nil on a node that takes no callers' requests.
	callers     *listener.Listener
	entries     []*listener.Listener
	interpreter Interpreter
	parse       func(text []byte) (*validator.Document, error)
	policy      router.Policy
	prober      *prober.Prober

	duties    sync.WaitGroup
	listeners []net.Listener
	servers   []*fasthttp.Server
	socket    *net.UDPConn
	leaving   atomic.Bool
	journal   *journal
	started   time.Time
	stop      context.CancelFunc
	tracker   *conntracker.Tracker
}

// New builds a node. Start runs it.
func New(settings *settingsreader.Settings, secrets *settingsreader.Secrets, logs log.Logger, options ...Option) (*Node, error) {
	n := &Node{
		settings:  settings,
		secrets:   secrets,
		behind:    make(chan gossiper.Member, 1),
		clock:     timekeeper.System{},
		differing: make(chan netip.AddrPort, 1),
		logs:      logs,
		log:       logger.NewPart(logs, "node"),
		meter:     meter.New(),
		newcomers: make(chan gossiper.Member, newcomersKept),
		tracker:   conntracker.New(),
	}
	n.journal = newJournal(n.clock, n.settings.LogLines, n.log, n.meter)
	n.sharers = newSharers(n.clock)
	n.interpreter = interpreter.Native{}
	n.parse = validator.Parse
	n.policy = router.Weighted{}
	n.peerOptions = []forwarder.Option{forwarder.WithMaxBody(settings.MaxBodyBytes + settings.MaxHeaderBytes)}
	for _, option := range options {
		option(n)
	}
	n.incarnation = uint64(n.clock.Now().UnixMilli())
	n.bindingBytes = budgeter.NewBytes(n.clock, bindingPart*defaultControlRate)
	n.gossipBytes = budgeter.NewBytes(n.clock, gossipPart*defaultControlRate)
	n.membershipBytes = budgeter.NewBytes(n.clock, membershipPart*defaultControlRate)
	n.messenger = messenger.New(secrets.Key, spending{n})
	n.quarantiner = quarantiner.New(n.clock, n.barred)
	n.recorder = recorder.New(n.clock)
	n.claims = claimer.NewTable(n.clock)
	n.upstream = newLocalUpstream(n.clock, n.interpreter, func(load interpreter.Load) { n.executor.Report(load) },
		forwarder.WithMaxBody(settings.MaxBodyBytes), forwarder.WithUnframed())
	n.router = router.New(n.clock, newRandom(), n.policy, settings.Region, settings.DataCentre)
	if err := n.buildRegister(); err != nil {
		return nil, err
	}
	if err := n.buildGossiper(); err != nil {
		return nil, err
	}
	n.buildCalls()
	console := formserver.New(n.clock, n.register, secrets.AdminToken)
	n.administrator = administrator.New(n.register, reporter{n}, secrets.AdminToken, console.Serve)
	n.registrar = registrar.NewWithLease(n.clock, settings.UpstreamLease.Std(), n.announced)
	n.prober = prober.New(n.clock, n.meter, n.interpreter, probed{n})
	n.hints = hintreader.New(n.clock, n.meter, func() hintreader.Observation {
		status := n.executor.Status()
		return hintreader.Observation{
			Announcement: status.Announcement, FailureRate: status.FailureRate,
			Running: status.Load.Running, Slots: status.Load.Slots,
		}
	})
	n.handleMessages()
	n.registerGauges()
	asserter.Observe(func(name, detail string) {
		n.log.Error("An invariant failed.", "invariant", name, "detail", detail)
	})
	return n, nil
}

func newRandom() *rand.Rand {
	seed := new(maphash.Hash).Sum64()
	return rand.New(rand.NewPCG(seed, seed))
}

func (n *Node) buildGossiper() error {
	codec, err := gossiper.NewCodec(n.secrets.Key)
	if err != nil {
		return err
	}
	n.gossiper = gossiper.New(gossiper.Config{
		Budget:   n.gossipBytes,
		Clock:    n.clock,
		Codec:    codec,
		Observer: n,
		Random:   newRandom(),
		Seeds:    n.settings.Seeds,
		Self: gossiper.Member{
			Name:        n.settings.Name,
			DataCentre:  n.settings.DataCentre,
			Region:      n.settings.Region,
			Control:     n.settings.ControlAddress,
			Peer:        n.settings.PeerAddress,
			Incarnation: n.incarnation,
			Upstream:    announcer.StateGone,
			DiskID:      n.register.diskID(),
		},
		Transport: n,
	})
	return nil
}

func (n *Node) buildCalls() {
	sender := fmt.Sprintf("%s.%x", n.settings.Name, n.incarnation)
	n.carrier = carrier.New(n.clock, n.secrets.Key, sender, n.gossiper, n.meter, n.peerOptions...)
	links := &links{
		messenger: n.messenger, self: n.settings.Name, siblings: n.router.Members,
		tellLoad: func(entries []string, load gossiper.Load) {
			n.dispatcher.LoadSeen(n.settings.Name, fromGossip(load))
			n.gossiper.TellLoad(entries, load)
		},
	}
	n.executor = executor.New(executor.Config{
		Attempted:   n.attempted,
		Bytes:       n.bindingBytes,
		Clock:       n.clock,
		Links:       links,
		Meter:       n.meter,
		Name:        n.settings.Name,
		OnDown:      func(instance string) { n.registrar.Down(instance) },
		Quarantiner: n.quarantiner,
		Recorder:    n.recorder,
		Repeats:     budgeter.NewRepeats(n.clock, n.repeatLimits),
		Sender:      n.carrier,
		Siblings:    &siblings{Router: n.router, gossiper: n.gossiper},
		Stamp: func(a *carrier.Attempt, req *fasthttp.Request, instance string, deadline time.Time) {
			carrier.Stamp(n.secrets.Key, a, req, deadline)
			n.interpreter.WriteHop(&req.Header, interpreter.Hop{
				Caller: a.Caller, Instance: instance, Timeout: deadline.Sub(n.clock.Now()),
			})
		},
		Upstream: n.upstream,
	})
	n.dispatcher = dispatcher.New(dispatcher.Config{
		Caller:      n.service,
		Claims:      claimer.New(n.clock, links, n),
		Clock:       n.clock,
		FailedBelow: n.executor.FailedBelow,
		Finished:    n.finished,
		Hedged:      n.hedged,
		NotRetried:  n.notRetried,
		Interpreter: n.interpreter,
		Meter:       n.meter,
		Name:        sender,
		OpenContext: func(req *fasthttp.Request) (carrier.Context, bool) {
			return carrier.OpenContext(n.secrets.Key, req)
		},
		Runs:    n.executor,
		Retries: budgeter.NewRetries(n.retryRatio),
		Self:    n.settings.Name,
		Sender:  &nearSender{carrier: n.carrier, executor: n.executor, self: n.settings.Name},
		Targets: &targets{Router: n.router, node: n},
	})
}

// targets is the router, and passes on to the executor what nodes of its own service have learned.
type targets struct {
	*router.Router
	node *Node
}

// Learn implements dispatcher.Targets.
func (t *targets) Learn(name string, load carrier.Load, failed bool) {
	t.Router.Learn(name, load, failed)
	t.node.learnFrom(name, load)
}

// learnFrom has the executor take what another node has learned of its upstream.
func (n *Node) learnFrom(name string, load carrier.Load) {
	if load.Best == 0 || name == n.settings.Name {
		return
	}
	if m, ok := n.gossiper.Member(name); ok {
		n.executor.SiblingSeen(m.Service, load)
	}
}

// siblings joins what the router and the gossiper know for the executor.
type siblings struct {
	*router.Router
	gossiper *gossiper.Gossiper
}

// Member implements executor.Siblings.
func (s *siblings) Member(name string) (gossiper.Member, bool) {
	return s.gossiper.Member(name)
}

// service returns the service on this VM, or the empty string.
func (n *Node) service() string {
	if announced := n.registrar.Current().Service; announced != "" {
		return announced
	}
	return n.settings.UpstreamService
}

// Owners implements claimer.Members.
func (n *Node) Owners(service string) []gossiper.Member {
	return n.router.Members(service)
}

// IsRunning implements claimer.Members: the claimant names the entry node and its incarnation.
func (n *Node) IsRunning(claimant string) bool {
	name, rest, _ := strings.Cut(claimant, ".")
	incarnation, _, _ := strings.Cut(rest, ".")
	m, ok := n.gossiper.Member(name)
	return ok && m.Status < gossiper.StatusDead && fmt.Sprintf("%x", m.Incarnation) == incarnation
}

// announced follows the upstream beside the node.
func (n *Node) announced(a announcer.Announcement) {
	n.log.Info("The upstream changed.", "service", a.Service, "state", a.State, "slots", a.Slots, "address", a.Address)
	n.upstream.announced(a)
	n.executor.Announced(a)
	n.gossiper.SetUpstream(a.Service, a.Slots, a.State)
}

// MemberChanged implements gossiper.Observer.
func (n *Node) MemberChanged(m gossiper.Member) {
	n.router.Update(m)
	n.noteNewcomer(m)
	n.journal.write(m.Status == gossiper.StatusAlive, "A member changed.", "member", m.Name, "status", m.Status,
		"incarnation", m.Incarnation, "sequence", m.Sequence, "service", m.Service, "upstream", m.Upstream)
}

// ViewDiffers implements gossiper.Observer.
func (n *Node) ViewDiffers(from gossiper.Member) {
	select {
	case n.differing <- from.Control:
	default:
	}
}

// spending counts the bytes of control connections and books those that a budget holds back.
type spending struct {
	node *Node
}

// Count implements messenger.Meter.
func (s spending) Count(purpose string, bytes int) {
	s.node.meter.Count(purpose, bytes)
	switch purpose {
	case messenger.PurposeBinding.String():
		s.node.bindingBytes.Book(bytes)
	case messenger.PurposeMembership.String():
		s.node.membershipBytes.Book(bytes)
	}
}

// Send implements gossiper.Transport.
func (n *Node) Send(to netip.AddrPort, datagram []byte) {
	if n.socket == nil {
		return
	}
	n.meter.Count("gossip", len(datagram)+datagramHeaderBytes)
	n.gossipBytes.Book(len(datagram) + datagramHeaderBytes)
	// A datagram that is not sent is like one that is lost.
	_, _ = n.socket.WriteToUDPAddrPort(datagram, to)
}

// Drain refuses new work, tells the others, and waits until the requests in flight are done.
func (n *Node) Drain() {
	n.DrainFor(leaveTime, drainTimeout)
	time.Sleep(leaveTime)
}

// Abort ends the node as a killed process would: every connection is cut and nobody is told.
func (n *Node) Abort() {
	n.stop()
	_ = n.socket.Close()
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
	for _, l := range n.entries {
		l.Abort()
	}
	n.tracker.Cut()
	n.messenger.Close()
	n.carrier.Close()
	n.register.close()
}

// Member returns what the node knows of a member.
func (n *Node) Member(name string) (gossiper.Member, bool) {
	return n.gossiper.Member(name)
}

// Meter returns the node's metrics.
func (n *Node) Meter() *meter.Meter {
	return n.meter
}

// Close stops the node at once. Drain comes first in an orderly shutdown.
func (n *Node) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var closing sync.WaitGroup
	for _, server := range n.servers {
		closing.Go(func() { _ = server.ShutdownWithContext(ctx) })
	}
	for _, l := range n.entries {
		closing.Go(func() { l.Close(ctx) })
	}
	closing.Wait()
	n.stop()
	_ = n.socket.Close()
	n.messenger.Close()
	n.carrier.Close()
	n.register.close()
	n.duties.Wait()
}
