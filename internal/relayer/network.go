package relayer

import (
	"net"
	"net/netip"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/dialer"
)

// Network opens the sockets of a node, except those to the upstream beside it.
type Network interface {
	// Dial opens a TCP connection within the timeout.
	Dial(address netip.AddrPort, timeout time.Duration) (net.Conn, error)
	// Listen accepts TCP connections.
	Listen(address netip.AddrPort) (net.Listener, error)
	// ListenPacket receives and sends datagrams.
	ListenPacket(address netip.AddrPort) (PacketConn, error)
}

// PacketConn is a socket for datagrams.
type PacketConn interface {
	Close() error
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error)
}

// systemNetwork is the Network of the operating system.
type systemNetwork struct{}

// Dial implements Network.
func (systemNetwork) Dial(address netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	return dialer.Dial(address, timeout)
}

// Listen implements Network.
func (systemNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// ListenPacket implements Network.
func (systemNetwork) ListenPacket(address netip.AddrPort) (PacketConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		// A nil *net.UDPConn would be a PacketConn that is not nil.
		return nil, err
	}
	return conn, nil
}
