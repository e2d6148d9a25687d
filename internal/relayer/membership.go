package relayer

import (
	"net/netip"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
	"github.com/marigoldrelay/marigoldrelay/internal/tallier"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

func (n *Node) buildGossiper() error {
	codec, err := gossiper.NewCodec(n.secrets.PeerSigner)
	if err != nil {
		return err
	}
	n.gossiper = gossiper.New(gossiper.Config{
		Budget:      n.gossipBudget,
		Clock:       n.clock,
		Codec:       codec,
		LocalSpread: n.localSpread(),
		Observer:    n,
		Random:      newRandom(),
		Seeds:       n.settings.Seeds,
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

// localSpread returns the part of the exchanges with other members for which one of the same data centre is preferred.
func (n *Node) localSpread() float64 {
	if n.settings.CrossDataCentreCost > 0 {
		return gossiper.DefaultLocalSpread
	}
	return 0
}

// MemberChanged implements gossiper.Observer.
func (n *Node) MemberChanged(m gossiper.Member) {
	n.router.Update(m)
	n.quotas.membersChanged(m)
	n.placeMember(&m)
	n.queueCrashReplay(m)
	n.events.write(m.Status == gossiper.StatusAlive, "A member changed.", "member", m.Name, "status", m.Status,
		"incarnation", m.Incarnation, "sequence", m.Sequence, "service", m.Service, "upstream", m.Upstream)
}

// LeavingRemembered implements gossiper.Observer.
func (n *Node) LeavingRemembered(process announcer.Process) {
	n.meter.Event("leaving_remembered")
	n.log.Info("The upstream has said to an earlier process of this node that it leaves.", "process", process)
	n.registrar.MarkLeaving(announcer.Leave{Process: process})
}

// ViewDiffers implements gossiper.Observer. It requests a sync with the member, unless a request is already pending.
func (n *Node) ViewDiffers(from gossiper.Member) {
	select {
	case n.differingPeers <- from.Control:
	default:
	}
}

// controlByteCounter counts the bytes of control connections and charges those for binding and membership to their
// budgets.
type controlByteCounter struct {
	node *Node
}

// AddControlBytes implements messenger.ByteCounter.
func (c controlByteCounter) AddControlBytes(purpose string, bytes int) {
	c.node.meter.AddControlBytes(purpose, bytes)
	switch purpose {
	case messenger.PurposeBinding.String():
		c.node.bindingBudget.Charge(bytes)
	case messenger.PurposeMembership.String():
		c.node.membershipBudget.Charge(bytes)
	}
}

// Send implements gossiper.Transport.
func (n *Node) Send(to netip.AddrPort, datagram []byte) {
	if n.udpConn == nil {
		return
	}
	n.meter.AddControlBytes("gossip", len(datagram)+datagramHeaderBytes)
	n.gossipBudget.Charge(len(datagram) + datagramHeaderBytes)
	n.sendDatagram(tallier.KindGossip, to, datagram)
}

// SendLoad implements gossiper.Transport.
func (n *Node) SendLoad(to netip.AddrPort, datagram []byte) {
	if n.udpConn == nil {
		return
	}
	n.meter.AddControlBytes("gossip", len(datagram)+datagramHeaderBytes)
	n.gossipBudget.Charge(len(datagram) + datagramHeaderBytes)
	n.sendDatagram(tallier.KindLoad, to, datagram)
}

// SendHeartbeat implements gossiper.Transport.
func (n *Node) SendHeartbeat(to netip.AddrPort, datagram []byte) {
	if n.udpConn == nil {
		return
	}
	n.meter.AddControlBytes("watch", len(datagram)+datagramHeaderBytes)
	n.sendDatagram(tallier.KindWatch, to, datagram)
}
