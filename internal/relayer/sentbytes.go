package relayer

import (
	"net"
	"net/netip"

	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
	"github.com/marigoldrelay/marigoldrelay/internal/tallier"
)

// segmentHeaderBytes is added for the IP and TCP headers when the bytes of a write to a connection are counted.
const segmentHeaderBytes = 40

// countRequests is the option that counts the bytes of attempts that are sent to other nodes.
func (n *Node) countRequests() forwarder.Option {
	return forwarder.WithSentCounter(func(to netip.AddrPort, bytes int) {
		n.sentBytes.Add(tallier.KindRequest, to.Addr(), bytes+segmentHeaderBytes)
	})
}

// countAnswer counts the bytes of an answer to another node's attempt.
func (n *Node) countAnswer(conn net.Conn, bytes int) {
	n.sentBytes.Add(tallier.KindAnswer, tallier.AddressOf(conn), bytes+segmentHeaderBytes)
}

// countMessage counts the bytes of a control message, which hold the headers of a segment.
func (n *Node) countMessage(purpose messenger.Purpose, conn net.Conn, bytes int) {
	n.sentBytes.Add(kindOf(purpose), tallier.AddressOf(conn), bytes)
}

// kindOf returns the kind of the bytes of a connection for the purpose.
func kindOf(purpose messenger.Purpose) tallier.Kind {
	switch purpose {
	case messenger.PurposeBinding:
		return tallier.KindBinding
	case messenger.PurposeConfiguration:
		return tallier.KindDocument
	case messenger.PurposeConfirmation:
		return tallier.KindConfirmation
	case messenger.PurposeMembership:
		return tallier.KindMembership
	case messenger.PurposeQuota:
		return tallier.KindQuota
	default:
		return tallier.KindOther
	}
}

// sendDatagram counts and sends a datagram to another member. A failed send is treated like a lost datagram.
func (n *Node) sendDatagram(kind tallier.Kind, to netip.AddrPort, datagram []byte) {
	n.sentBytes.Add(kind, to.Addr(), len(datagram)+datagramHeaderBytes)
	_, _ = n.udpConn.WriteToUDPAddrPort(datagram, to)
}

// placeMember records in which data centre the addresses of another member are.
func (n *Node) placeMember(m *gossiper.Member) {
	if m.Name == n.settings.Name {
		return
	}
	isLocal := m.DataCentre == n.settings.DataCentre
	n.sentBytes.Place(m.Control.Addr(), isLocal)
	n.sentBytes.Place(m.Peer.Addr(), isLocal)
}
