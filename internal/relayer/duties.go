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

	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/hintreader"
	"github.com/marigoldrelay/marigoldrelay/internal/listener"
	"github.com/marigoldrelay/marigoldrelay/internal/logger"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
)

const (
	datagramHeaderBytes = 28
	idleTimeout         = time.Minute
	largestBody         = 1 << 30
	// peerHeaderBytes is the room for the headers between nodes.
	peerHeaderBytes   = 4096
	readTimeout       = 30 * time.Second
	syncBytes         = 1000
	syncInterval      = 20 * time.Second
	syncPause         = 2 * time.Second
	syncStartInterval = 100 * time.Millisecond
	// syncJoinInterval is the pause of a node that knows others but not all of its seeds.
	syncJoinInterval = 400 * time.Millisecond
)

// Start opens the listeners and starts the duties. On an error nothing stays open.
func (n *Node) Start() error {
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.started = n.clock.Now()
	if err := n.listen(); err != nil {
		stop()
		return err
	}
	n.duty(func() { n.prober.Run(ctx) })
	n.duty(func() { n.maintain(ctx) })
	n.duty(func() { n.receive() })
	n.duty(func() { every(ctx, gossiper.TickInterval, n.gossiper.Tick) })
	n.duty(func() { every(ctx, executor.SweepInterval, n.executor.Sweep) })
	n.duty(func() { every(ctx, hintreader.Interval, func() { n.hints.Read(ctx) }) })
	n.duty(func() { every(ctx, arrivalInterval, n.tellArrivals()) })
	n.duty(func() { n.syncMembers(ctx) })
	n.duty(func() { n.pullDocuments(ctx) })
	n.duty(func() { n.tellNewcomers(ctx) })
	n.duty(func() { n.learn(ctx) })
	n.log.Info("Started.", "callers", n.settings.CallerAddress, "admin", n.settings.AdminAddress)
	return nil
}

func (n *Node) duty(f func()) {
	n.duties.Go(f)
}

func every(ctx context.Context, interval time.Duration, f func()) {
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

// endpoint is an address that the node serves, by the HTTP library's server or by its own listener.
type endpoint struct {
	address netip.AddrPort
	field   string
	handler fasthttp.RequestHandler
	own     *listener.Listener
}

func (n *Node) listen() error {
	if n.settings.CallerAddress.IsValid() {
		n.callers = n.newListener(n.serveCaller, n.callerLimits)
	}
	endpoints := []endpoint{
		{address: n.settings.CallerAddress, field: "caller-address", own: n.callers},
		{address: n.settings.PeerAddress, field: "peer-address", own: n.newListener(n.servePeer, n.peerLimits)},
		{address: n.settings.AdminAddress, field: "admin-address", handler: n.administrator.Serve},
		{address: n.settings.AnnounceAddress, field: "announce-address", handler: n.serveAnnouncement},
	}
	endpoints = slices.DeleteFunc(endpoints, func(one endpoint) bool { return !one.address.IsValid() })
	var opened []net.Listener
	undo := func() {
		for _, socket := range opened {
			_ = socket.Close()
		}
		if n.socket != nil {
			_ = n.socket.Close()
		}
	}
	for _, one := range endpoints {
		socket, err := net.Listen("tcp", one.address.String())
		if err != nil {
			undo()
			return merry.Prepend(err, one.field)
		}
		opened = append(opened, socket)
	}
	control, err := net.Listen("tcp", n.settings.ControlAddress.String())
	if err != nil {
		undo()
		return merry.Prepend(err, "control-address")
	}
	opened = append(opened, control)
	n.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.settings.ControlAddress))
	if err != nil {
		undo()
		return merry.Prepend(err, "control-address")
	}
	n.listeners = opened
	for i, one := range endpoints {
		if one.own != nil {
			n.entries = append(n.entries, one.own)
			n.duty(func() { one.own.Serve(opened[i]) })
			continue
		}
		server := n.newServer(one.handler)
		n.servers = append(n.servers, server)
		n.duty(func() { _ = server.Serve(opened[i]) })
	}
	n.duty(func() { n.messenger.Serve(control) })
	return nil
}

func (n *Node) newListener(handle listener.Handler, limits func() listener.Limits) *listener.Listener {
	return listener.New(listener.Config{Handle: handle, Limits: limits, Refuse: n.refuseUnread})
}

// callerLimits returns what callers may send, by the document in force and the settings.
func (n *Node) callerLimits() listener.Limits {
	limits := n.peerLimits()
	limits.MaxBodyBytes, limits.MaxHeaderBytes = n.settings.MaxBodyBytes, n.settings.MaxHeaderBytes
	document := n.current()
	if document == nil {
		return limits
	}
	set := document.Limits
	limits.HeaderTimeout = positive(set.HeaderTimeout.Std(), limits.HeaderTimeout)
	limits.IdleTimeout = positive(set.IdleTimeout.Std(), limits.IdleTimeout)
	limits.MaxBodyBytes = positive(set.MaxBodyBytes, limits.MaxBodyBytes)
	limits.MaxHeaderBytes = positive(set.MaxHeaderBytes, limits.MaxHeaderBytes)
	return limits
}

// peerLimits returns what other nodes may send: a caller's request with the headers between nodes.
func (n *Node) peerLimits() listener.Limits {
	return listener.Limits{
		HeaderTimeout:  readTimeout,
		IdleTimeout:    idleTimeout,
		MaxBodyBytes:   largestBody,
		MaxHeaderBytes: n.settings.MaxHeaderBytes + peerHeaderBytes,
	}
}

// positive returns the value if it is set, or else the default.
func positive[T int | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

func (n *Node) newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		CloseOnShutdown:               true,
		ConnState:                     n.tracker.Follow,
		DisableHeaderNamesNormalizing: false,
		ErrorHandler:                  n.serveError,
		Handler:                       handler,
		IdleTimeout:                   idleTimeout,
		Logger:                        logger.Silent{},
		MaxRequestBodySize:            n.settings.MaxBodyBytes,
		NoDefaultContentType:          true,
		NoDefaultServerHeader:         true,
		ReadBufferSize:                n.settings.MaxHeaderBytes,
		ReadTimeout:                   readTimeout,
	}
}

func (n *Node) receive() {
	buffer := make([]byte, 2*gossiper.MaxPacketBytes)
	for {
		size, from, err := n.socket.ReadFromUDPAddrPort(buffer)
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

// syncMembers compares the view with that of another member from time to time, with one whose view
// differs soon, and often until there is another member.
func (n *Node) syncMembers(ctx context.Context) {
	wait := time.Duration(0)
	for {
		var to netip.AddrPort
		select {
		case <-ctx.Done():
			return
		case to = <-n.differing:
		case <-time.After(wait):
			to, _ = n.syncPartner()
		}
		wait = syncInterval
		if err := n.syncOnce(ctx, to); err != nil {
			wait = syncStartInterval
		} else if n.isJoining() {
			wait = syncJoinInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(min(wait, syncPause)):
		}
	}
}

var (
	errNobody     = merry.Sentinel("no other member to compare with")
	errOverBudget = merry.Sentinel("over the byte budget of membership")
)

func (n *Node) syncOnce(ctx context.Context, to netip.AddrPort) error {
	if !to.IsValid() {
		return errNobody
	}
	if !n.membershipBytes.Allows(syncBytes) {
		n.meter.Event("comparisons_over_budget")
		return errOverBudget
	}
	request := syncRequest{Digest: n.gossiper.Digest()}
	var reply syncReply
	if err := n.messenger.Call(ctx, to, messenger.PurposeMembership, methodSync, request, &reply); err != nil {
		return err
	}
	n.gossiper.Merge(reply.Members)
	missing := n.gossiper.Differing(reply.Digest)
	if len(missing) == 0 {
		return nil
	}
	request = syncRequest{Digest: n.gossiper.Digest(), Members: missing}
	return n.messenger.Call(ctx, to, messenger.PurposeMembership, methodSync, request, &reply)
}

// joinTime is for how long after its start a node looks for all of its seeds.
const joinTime = 5 * time.Second

// isJoining reports whether the node has just started and does not know all of its seeds.
func (n *Node) isJoining() bool {
	return n.clock.Now().Sub(n.started) < joinTime && len(n.unknownSeeds()) > 0
}

// unknownSeeds returns the seeds that are not known as live members.
func (n *Node) unknownSeeds() []netip.AddrPort {
	live := n.liveMembers()
	var unknown []netip.AddrPort
	for _, seed := range n.settings.Seeds {
		if seed != n.settings.ControlAddress && !slices.Contains(live, seed) {
			unknown = append(unknown, seed)
		}
	}
	return unknown
}

// liveMembers returns the control addresses of the other members that are not given up.
func (n *Node) liveMembers() []netip.AddrPort {
	var live []netip.AddrPort
	for _, m := range n.gossiper.Members() {
		if m.Name != n.settings.Name && m.Status <= gossiper.StatusSuspect {
			live = append(live, m.Control)
		}
	}
	return live
}

// syncPartner returns a random live member, or a seed while the node joins or knows nobody.
func (n *Node) syncPartner() (netip.AddrPort, bool) {
	partners := n.liveMembers()
	if seeds := n.unknownSeeds(); len(seeds) > 0 && (len(partners) == 0 || n.isJoining()) {
		partners = seeds
	}
	if len(partners) == 0 {
		return netip.AddrPort{}, false
	}
	return partners[newRandom().IntN(len(partners))], true
}
