// Package relayer assembles the components of one node and runs its background tasks.
package relayer

import (
	"context"
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/marigoldrelay/marigoldrelay/internal/administrator"
	"github.com/marigoldrelay/marigoldrelay/internal/apportioner"
	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
	"github.com/marigoldrelay/marigoldrelay/internal/authenticator"
	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/claimer"
	"github.com/marigoldrelay/marigoldrelay/internal/collector"
	"github.com/marigoldrelay/marigoldrelay/internal/confirmer"
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
	"github.com/marigoldrelay/marigoldrelay/internal/tallier"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	// defaultControlBytesPerSecond is the budget for control traffic until a document sets one.
	defaultControlBytesPerSecond = 7000.0
	drainPollInterval            = 10 * time.Millisecond
	drainTimeout                 = 30 * time.Second
	// bindingShare, gossipShare and membershipShare are the fractions of the control traffic's budget for each purpose.
	bindingShare    = 0.4
	gossipShare     = 0.35
	membershipShare = 0.15
	// leaveDelay is how long a draining node goes on as before, so that its callers can notice, and how long Drain
	// waits after the node has left.
	leaveDelay      = 500 * time.Millisecond
	shutdownTimeout = 300 * time.Millisecond
)

// Node is a load balancer process that runs beside an upstream, if there is one.
type Node struct {
	settings *settingsreader.Settings
	secrets  *settingsreader.Secrets
	clock    timekeeper.Clock
	baseLog  log.Logger
	log      *logger.Component

	administrator *administrator.Administrator
	authenticator *authenticator.Authenticator
	// bodyMemory holds the bodies of the requests and answers that are received, processed or written.
	bodyMemory *budgeter.Memory
	// shares are the limits on memory and connections.
	shares apportioner.Shares
	// memoryWatch reports when bodies find no room.
	memoryWatch *memoryWatch
	activateMu  sync.Mutex
	// parseMu is held while a value of the register is parsed and put in force.
	parseMu       sync.Mutex
	bindingBudget *budgeter.Bytes
	carrier       *carrier.Carrier
	// differingPeers holds the control address of a member whose view of the members differs.
	differingPeers chan netip.AddrPort
	claimTable     *claimer.Table
	confirmer      *confirmer.Confirmer
	dispatcher     *dispatcher.Dispatcher
	active         atomic.Pointer[activeDocument]
	executor       *executor.Executor
	gossipBudget   *budgeter.Bytes
	gossiper       *gossiper.Gossiper
	hints          *hintreader.Reader
	// identity is what the settings that were read last say of the upstream.
	identity         atomic.Pointer[upstreamIdentity]
	incarnation      uint64
	leaves           *leaves
	peerOptions      []forwarder.Option
	membershipBudget *budgeter.Bytes
	messenger        *messenger.Messenger
	meter            *meter.Meter
	network          Network
	crashReplayQueue chan gossiper.Member
	quarantiner      *quarantiner.Quarantiner
	quotas           *quotas
	// sentBytes counts what is sent to other nodes.
	sentBytes *tallier.Tally
	recorder  *recorder.Recorder
	register  *register
	registrar *registrar.Registrar
	router    *router.Router
	peakNodes *peakNodeCount
	upstream  *localUpstream
	// callerListener is nil on a node that does not accept requests from callers.
	callerListener   *listener.Listener
	requestListeners []*listener.Listener
	// controlListeners serve operators and the upstream. They go on while the node drains.
	controlListeners []*listener.Listener
	interpreter      Interpreter
	parseDocument    func(text string) (*validator.Document, error)
	policy           router.Policy
	prober           *prober.Prober
	// uptime returns the time since the start of the machine, with the time for which it was suspended.
	uptime func() time.Duration

	tasks    sync.WaitGroup
	sockets  []net.Listener
	udpConn  PacketConn
	draining atomic.Bool
	// evacuated are the data centres that are evacuated, as this node knows, and evacuations counts the beginnings and ends of
	// evacuations of this node's own. Both are guarded by activateMu.
	evacuated   []string
	evacuations uint64
	events      *eventLog
	started     time.Time
	stop        context.CancelFunc
}

// New builds a node but opens no listener; Start does that. It returns an error if the data folder can't be opened
// or the gossip codec can't be created.
func New(settings *settingsreader.Settings, secrets *settingsreader.Secrets, baseLog log.Logger, options ...Option) (*Node, error) {
	n := &Node{
		settings:         settings,
		secrets:          secrets,
		clock:            timekeeper.System{},
		differingPeers:   make(chan netip.AddrPort, 1),
		baseLog:          baseLog,
		log:              logger.NewComponent(baseLog, "node"),
		meter:            meter.New(),
		crashReplayQueue: make(chan gossiper.Member, crashReplayQueueLen),
	}
	n.identity.Store(newUpstreamIdentity(settings))
	n.sentBytes = tallier.New(n.meter.SentBytes)
	n.events = newEventLog(n.clock, n.settings.LogLinesPerSecond, n.log, n.meter)
	n.peakNodes = newPeakNodeCount(n.clock)
	n.interpreter = interpreter.Native{}
	n.parseDocument = func(text string) (*validator.Document, error) { return validator.Parse([]byte(text)) }
	n.network = systemNetwork{}
	n.policy = router.Weighted{}
	n.uptime = timekeeper.Uptime
	n.buildMemory()
	n.peerOptions = []forwarder.Option{
		forwarder.WithMaxBody(settings.MaxBodyBytes + settings.MaxHeaderBytes), forwarder.WithMemory(n.bodyMemory),
	}
	for _, option := range options {
		option(n)
	}
	n.incarnation = uint64(n.clock.Now().UnixMilli())
	n.bindingBudget = budgeter.NewBytes(n.clock, bindingShare*defaultControlBytesPerSecond)
	n.gossipBudget = budgeter.NewBytes(n.clock, gossipShare*defaultControlBytesPerSecond)
	n.membershipBudget = budgeter.NewBytes(n.clock, membershipShare*defaultControlBytesPerSecond)
	n.messenger = messenger.New(secrets.PeerSigner, controlByteCounter{n}, messenger.WithDialer(n.network.Dial),
		messenger.WithSentCounter(n.countMessage))
	n.quarantiner = quarantiner.New(n.clock, n.requestQuarantined)
	n.upstream = newLocalUpstream(n.clock, n.interpreter,
		forwarder.WithMaxBody(settings.MaxBodyBytes), forwarder.WithMemory(n.bodyMemory), forwarder.AcceptNoLength())
	n.router = newRouter(n.clock, n.policy, settings)
	if err := n.buildRegister(); err != nil {
		return nil, err
	}
	if err := n.buildLeaves(); err != nil {
		return nil, err
	}
	if err := n.buildGossiper(); err != nil {
		return nil, err
	}
	n.buildConfirmer()
	n.quotas = newQuotas(n)
	n.prober = prober.New(n.clock, n.meter, n.interpreter, proberNode{n})
	n.buildCallPath()
	console := formserver.New(n.clock, n.register, secrets.AdminToken)
	n.administrator = administrator.New(n.register, n, statusReporter{n}, secrets.AdminToken, console.Serve)
	n.registrar = registrar.NewWithLease(n.clock, settings.UpstreamLease.Std(), n.upstreamAnnounced, n.executor.HandleCold)
	n.hints = hintreader.New(n.clock, n.meter, n.observeUpstream)
	n.addMessageHandlers()
	n.registerGauges()
	asserter.SetFailureHandler(func(name, detail string) {
		n.log.Error("An invariant failed.", "invariant", name, "detail", detail)
	})
	return n, nil
}

// observeUpstream returns what the node sees of the upstream, to be compared with the upstream's hints.
func (n *Node) observeUpstream() hintreader.Observation {
	status := n.executor.Status()
	return hintreader.Observation{
		Announcement: status.Announcement, FailureRate: status.FailureRate,
		Running: status.Load.Running, Slots: status.Load.Slots,
	}
}

// buildMemory builds what holds bodies and records, with the limits that the settings give it.
func (n *Node) buildMemory() {
	n.shares = n.settings.Shares()
	n.bodyMemory = budgeter.NewSharedMemory(n.clock, collector.New(), n.shares.BodyBytes, n.shares.ClassBytes)
	n.memoryWatch = &memoryWatch{clock: n.clock, log: n.log, memory: n.bodyMemory}
	n.recorder = recorder.New(n.clock)
	n.recorder.SetMaxBytes(n.shares.RecordBytes)
	n.claimTable = claimer.NewTable(n.clock)
	n.claimTable.SetMaxBytes(n.shares.RecordBytes)
}

func newRandom() *rand.Rand {
	seed := new(maphash.Hash).Sum64()
	return rand.New(rand.NewPCG(seed, seed))
}

// Owners implements claimer.Members.
func (n *Node) Owners(service string) []gossiper.Member {
	return n.router.Members(service)
}

// IsRunning implements claimer.Members. A claimant names the entry node and its incarnation in hexadecimal,
// separated by a dot.
func (n *Node) IsRunning(claimant string) bool {
	name, rest, _ := strings.Cut(claimant, ".")
	incarnation, _, _ := strings.Cut(rest, ".")
	m, ok := n.gossiper.Member(name)
	return ok && m.Status < gossiper.StatusDead && fmt.Sprintf("%x", m.Incarnation) == incarnation
}

// upstreamAnnounced applies an announcement of the upstream beside the node to the connection pool, the executor and
// gossip.
func (n *Node) upstreamAnnounced(a announcer.Announcement) {
	n.log.Info("The upstream changed.", "service", a.Service, "state", a.State, "slots", a.Slots, "address", a.Address)
	n.upstream.reconnect(a)
	n.executor.HandleAnnouncement(a)
	n.gossiper.SetUpstream(a)
}

// Drain stops new work, announces to the other nodes that this one leaves, and waits up to drainTimeout for the
// requests in flight.
func (n *Node) Drain() {
	n.DrainFor(leaveDelay, drainTimeout)
	time.Sleep(leaveDelay)
}

// Abort ends the node like a killed process: it cuts every connection and notifies no other node.
func (n *Node) Abort() {
	n.stop()
	_ = n.udpConn.Close()
	for _, socket := range n.sockets {
		_ = socket.Close()
	}
	for _, l := range slices.Concat(n.requestListeners, n.controlListeners) {
		l.Abort()
	}
	n.messenger.Abort()
	n.carrier.Close()
	n.quotas.close()
	n.leaves.close()
	n.register.close()
}

// Member returns the record of the member with the name, and whether it is known.
func (n *Node) Member(name string) (gossiper.Member, bool) {
	return n.gossiper.Member(name)
}

// CountEvent counts an event by name in the node's metrics.
func (n *Node) CountEvent(name string) {
	n.meter.Event(name)
}

// Meter returns the node's metrics.
func (n *Node) Meter() *meter.Meter {
	return n.meter
}

// Close stops the node at once; requests in flight have at most shutdownTimeout to finish. For an orderly shutdown,
// call Drain first.
func (n *Node) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, n.register.interruptCalls)()
	var closing sync.WaitGroup
	for _, l := range slices.Concat(n.requestListeners, n.controlListeners) {
		closing.Go(func() { l.Close(ctx) })
	}
	closing.Wait()
	n.stop()
	_ = n.udpConn.Close()
	n.messenger.Close(ctx)
	n.carrier.Close()
	n.leaves.close()
	n.register.close()
	n.tasks.Wait()
	// The task that writes the record has ended, so that no other process finds the folder free while it writes.
	n.quotas.close()
}
