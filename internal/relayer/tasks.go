package relayer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/hintreader"
	"github.com/marigoldrelay/marigoldrelay/internal/listener"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
	"github.com/marigoldrelay/marigoldrelay/internal/quotakeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	// datagramHeaderBytes is added for the IP and UDP headers when the bytes of a datagram are counted.
	datagramHeaderBytes = 28
	idleTimeout         = time.Minute
	maxPeerBodyBytes    = 1 << 30
	// peerHeaderBytes is added to the limit on a caller's headers to allow for those that nodes add to its request.
	peerHeaderBytes = 4096
	readTimeout     = 30 * time.Second
	// syncBudgetBytes must be left in the membership budget for a sync to start.
	syncBudgetBytes = 1000
	syncInterval    = 20 * time.Second
	// syncCooldown is the longest pause after a sync before a member whose view differs can trigger another, and
	// startSyncCooldown that of a node that has started within joinWindow.
	syncCooldown      = 2 * time.Second
	startSyncCooldown = 750 * time.Millisecond
	// syncRetryInterval is the pause after a sync that failed, or when no other member is known.
	syncRetryInterval = 100 * time.Millisecond
	// syncJoinInterval is the pause of a node that knows other members but not all of its seeds.
	syncJoinInterval = 400 * time.Millisecond
)

// Start opens the listeners and starts the background tasks. If it returns an error, nothing stays open.
func (n *Node) Start() error {
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.started = n.clock.Now()
	if err := n.listen(); err != nil {
		stop()
		return err
	}
	n.startTask(func() { n.prober.Run(ctx) })
	n.startTask(func() { n.maintainRegister(ctx) })
	n.startTask(func() { n.receiveGossip() })
	n.startTask(func() { runEvery(ctx, gossiper.TickInterval, n.gossiper.Tick) })
	n.startTask(func() { runEvery(ctx, executor.SweepInterval, n.executor.Sweep) })
	n.startTask(func() { runEvery(ctx, hintreader.Interval, func() { n.hints.Read(ctx) }) })
	n.startTask(func() { runEvery(ctx, arrivalLogInterval, n.newArrivalLogger()) })
	n.startTask(func() { runEvery(ctx, quotakeeper.SweepInterval, n.quotas.keeper.Sweep) })
	n.startTask(func() { runEvery(ctx, recordInterval, n.quotas.recordReplicas) })
	if n.settings.CrossDataCentreCost > 0 {
		n.startTask(func() { runEvery(ctx, shareLogInterval, n.newShareLogger()) })
	}
	n.startTask(func() { n.syncMembers(ctx) })
	n.joinSeeds(ctx)
	n.startTask(func() { n.register.fetcher.Run(ctx) })
	n.startTask(func() { n.pullFirstDocument(ctx) })
	n.startTask(func() { n.replayCrashes(ctx) })
	n.startTask(func() { n.learnChosen(ctx) })
	n.startTask(func() { n.recoverDisk(ctx) })
	n.startTask(func() { n.confirmer.Run(ctx) })
	n.startTask(func() { n.leaves.writer.Run(ctx) })
	n.startTask(func() { n.leaves.recall(ctx) })
	n.log.Info("Started.", "callers", n.settings.CallerAddress, "admin", n.settings.AdminAddress)
	return nil
}

func (n *Node) startTask(f func()) {
	n.tasks.Go(f)
}

// runEvery calls f once per interval until ctx is done.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// endpoint is an address that the node serves.
type endpoint struct {
	address netip.AddrPort
	// setting is the key of the address in the settings.
	setting  string
	listener *listener.Listener
	// isControl is set for an address of operators or upstreams, not of callers or their attempts.
	isControl bool
}

func (n *Node) listen() error {
	if n.settings.CallerAddress.IsValid() {
		n.callerListener = n.newListener(n.serveCaller, n.callerLimits, n.shares.CallerConns)
	}
	endpoints := []endpoint{
		{address: n.settings.CallerAddress, setting: "caller-address", listener: n.callerListener},
		{address: n.settings.PeerAddress, setting: "peer-address", listener: n.newPeerListener()},
		{address: n.settings.AdminAddress, setting: "admin-address", listener: n.newControlListener(n.administrator.Serve), isControl: true},
		{address: n.settings.AnnounceAddress, setting: "announce-address", listener: n.newControlListener(n.serveAnnouncement), isControl: true},
	}
	endpoints = slices.DeleteFunc(endpoints, func(e endpoint) bool { return !e.address.IsValid() })
	var opened []net.Listener
	closeOpened := func() {
		for _, socket := range opened {
			_ = socket.Close()
		}
		if n.udpConn != nil {
			_ = n.udpConn.Close()
		}
	}
	for _, e := range endpoints {
		socket, err := n.network.Listen(e.address)
		if err != nil {
			closeOpened()
			return merry.Prepend(err, e.setting)
		}
		opened = append(opened, socket)
	}
	control, err := n.network.Listen(n.settings.ControlAddress)
	if err != nil {
		closeOpened()
		return merry.Prepend(err, "control-address")
	}
	opened = append(opened, control)
	n.udpConn, err = n.network.ListenPacket(n.settings.ControlAddress)
	if err != nil {
		closeOpened()
		return merry.Prepend(err, "control-address")
	}
	n.sockets = opened
	for i, e := range endpoints {
		if e.isControl {
			n.controlListeners = append(n.controlListeners, e.listener)
		} else {
			n.requestListeners = append(n.requestListeners, e.listener)
		}
		n.startTask(func() { e.listener.Serve(opened[i]) })
	}
	n.startTask(func() { n.messenger.Serve(control) })
	return nil
}

// newListener returns a listener for the requests of callers or peers.
func (n *Node) newListener(handle listener.Handler, limits func() listener.Limits, maxConns int) *listener.Listener {
	config := n.listenerConfig(maxConns)
	config.Class, config.Handle, config.Limits = budgeter.ClassRequest, handle, limits
	return listener.New(config)
}

// newPeerListener returns a listener for the attempts of other nodes.
func (n *Node) newPeerListener() *listener.Listener {
	config := n.listenerConfig(n.shares.PeerConns)
	config.Class, config.Handle, config.Limits, config.OnSent = budgeter.ClassRequest, n.servePeer, n.peerLimits, n.countAnswer
	return listener.New(config)
}

// newControlListener returns a listener for the requests of operators or of the upstream.
func (n *Node) newControlListener(handle fasthttp.RequestHandler) *listener.Listener {
	config := n.listenerConfig(n.shares.ControlConns)
	config.Class, config.Handle, config.Limits = budgeter.ClassControl, listener.FromRequestHandler(handle), n.controlLimits
	return listener.New(config)
}

// listenerConfig returns what the listeners of the node have in common.
func (n *Node) listenerConfig(maxConns int) listener.Config {
	return listener.Config{
		MaxConns: maxConns, Memory: n.bodyMemory, OnConnGivenUp: n.connGivenUp,
		OnUnanswered: n.requestUnanswered, Refuse: n.refuseUnreadable,
	}
}

// ControlListenerLimits returns the memory for the bodies of requests, for listeners beside those of the node, and how many connections
// each of them may accept.
func (n *Node) ControlListenerLimits() (memory *budgeter.Memory, maxConns int) {
	return n.bodyMemory, n.shares.ControlConns
}

// connGivenUp counts a connection that is closed because there are too many.
func (n *Node) connGivenUp() {
	n.meter.Event("connections_given_up")
	n.memoryWatch.report(shortageConnections)
}

// controlLimits returns the limits on the requests of operators and of the upstream.
func (n *Node) controlLimits() listener.Limits {
	limits := n.peerLimits()
	limits.MaxBodyBytes, limits.MaxHeaderBytes = n.settings.MaxBodyBytes, n.settings.MaxHeaderBytes
	return limits
}

// callerLimits returns the limits on callers' requests. Limits that the document in force does not set come from the
// settings or have a default.
func (n *Node) callerLimits() listener.Limits {
	limits := n.controlLimits()
	document := n.currentDocument()
	if document == nil {
		return limits
	}
	set := document.Limits
	limits.HeaderTimeout = positiveOr(set.HeaderTimeout.Std(), limits.HeaderTimeout)
	limits.IdleTimeout = positiveOr(set.IdleTimeout.Std(), limits.IdleTimeout)
	limits.MaxBodyBytes = positiveOr(set.MaxBodyBytes, limits.MaxBodyBytes)
	limits.MaxHeaderBytes = positiveOr(set.MaxHeaderBytes, limits.MaxHeaderBytes)
	return limits
}

// peerLimits returns the limits on requests from other nodes: a caller's request with the headers that nodes add.
func (n *Node) peerLimits() listener.Limits {
	return listener.Limits{
		HeaderTimeout:  readTimeout,
		IdleTimeout:    idleTimeout,
		MaxBodyBytes:   maxPeerBodyBytes,
		MaxHeaderBytes: n.settings.MaxHeaderBytes + peerHeaderBytes,
	}
}

// positiveOr returns value if it is positive, and fallback otherwise.
func positiveOr[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

func (n *Node) receiveGossip() {
	buffer := make([]byte, 2*gossiper.MaxPacketBytes)
	for {
		size, from, err := n.udpConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		n.gossiper.Receive(from, buffer[:size])
	}
}

// syncMembers compares the member list with another member's until ctx is done: every syncInterval, soon after a
// member's view turns out to differ, and more often while no other member is known or the node is joining.
func (n *Node) syncMembers(ctx context.Context) {
	wait := time.Duration(0)
	for {
		var to netip.AddrPort
		select {
		case <-ctx.Done():
			return
		case to = <-n.differingPeers:
		case <-time.After(wait):
			to, _ = n.syncPartner()
		}
		wait = syncInterval
		if err := n.syncWith(ctx, to); err != nil {
			wait = syncRetryInterval
		} else if n.isJoining() {
			wait = syncJoinInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(min(wait, n.syncCooldown())):
		}
	}
}

// isStarting reports whether the node has started within joinWindow. Most other nodes may be starting as well, so that
// their records change all at once.
func (n *Node) isStarting() bool {
	return n.clock.Now().Sub(n.started) < joinWindow
}

func (n *Node) syncCooldown() time.Duration {
	if n.isStarting() {
		return startSyncCooldown
	}
	return syncCooldown
}

var (
	errNoPeer     = merry.Sentinel("no other member to compare with")
	errOverBudget = merry.Sentinel("over the byte budget of membership")
)

// syncWith merges the records in which the member's view differs and then sends the member those that it lacks. A node
// that is starting does so whatever its byte budget.
func (n *Node) syncWith(ctx context.Context, to netip.AddrPort) error {
	if !to.IsValid() {
		return errNoPeer
	}
	if !n.isStarting() && !n.membershipBudget.Allows(syncBudgetBytes) {
		n.meter.Event("comparisons_over_budget")
		return errOverBudget
	}
	request := syncRequest{Digest: n.gossiper.Digest()}
	var reply syncReply
	if err := n.messenger.Call(ctx, to, messenger.PurposeMembership, methodSync, request, &reply); err != nil {
		return err
	}
	n.gossiper.Merge(reply.Members)
	missing := n.gossiper.DifferingMembers(reply.Digest)
	if len(missing) == 0 {
		return nil
	}
	request = syncRequest{Digest: n.gossiper.Digest(), Members: missing}
	return n.messenger.Call(ctx, to, messenger.PurposeMembership, methodSync, request, &reply)
}

// joinSeeds compares the member list of a control replica with each seed's until the seed is known: replicas need each
// other to read the register, and the other nodes wait for that after a loss of power of all.
func (n *Node) joinSeeds(ctx context.Context) {
	if n.register.acceptor == nil {
		return
	}
	for _, seed := range n.unknownSeeds() {
		n.startTask(func() {
			for ctx.Err() == nil && n.isJoining() && slices.Contains(n.unknownSeeds(), seed) {
				// A failed comparison is repeated after syncRetryInterval.
				_ = n.syncWith(ctx, seed)
				timekeeper.Sleep(ctx, n.clock, syncRetryInterval)
			}
		})
	}
}

// joinWindow is how long after its start a node looks for all of its seeds and compares its view often.
const joinWindow = 5 * time.Second

// isJoining reports whether the node is starting and does not know all of its seeds.
func (n *Node) isJoining() bool {
	return n.isStarting() && len(n.unknownSeeds()) > 0
}

// unknownSeeds returns the addresses of the other seeds that are not known as live members.
func (n *Node) unknownSeeds() []netip.AddrPort {
	live := n.livePeers()
	var unknown []netip.AddrPort
	for _, seed := range n.settings.Seeds {
		if seed != n.settings.ControlAddress && !slices.Contains(live, seed) {
			unknown = append(unknown, seed)
		}
	}
	return unknown
}

// livePeers returns the control addresses of the other members that are alive or suspect.
func (n *Node) livePeers() []netip.AddrPort {
	var live []netip.AddrPort
	for _, m := range n.register.LiveMembers() {
		live = append(live, m.Control)
	}
	return live
}

// syncPartner returns a random live member, or a random unknown seed if the node is joining or knows no live member.
// It returns false if there is neither.
func (n *Node) syncPartner() (netip.AddrPort, bool) {
	partners := n.livePeers()
	if seeds := n.unknownSeeds(); len(seeds) > 0 && (len(partners) == 0 || n.isJoining()) {
		partners = seeds
	}
	if len(partners) == 0 {
		return netip.AddrPort{}, false
	}
	random := newRandom()
	if local := n.localPeers(); len(local) > 0 && !n.isStarting() && random.Float64() < n.localSpread() {
		partners = local
	}
	return partners[random.IntN(len(partners))], true
}

// localPeers returns the control addresses of the other live members of the data centre.
func (n *Node) localPeers() []netip.AddrPort {
	var local []netip.AddrPort
	for _, m := range n.register.LiveMembers() {
		if m.DataCentre == n.settings.DataCentre {
			local = append(local, m.Control)
		}
	}
	return local
}
