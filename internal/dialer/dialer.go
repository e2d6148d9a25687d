// Package dialer opens TCP connections to VMs that can be starting, and over networks that lose packets.
package dialer

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

// firstAttempt is how long the first attempt to connect may take. Each further attempt may take twice as long as the
// one before.
const firstAttempt = 100 * time.Millisecond

// DialFunc opens one TCP connection within the timeout.
type DialFunc func(address netip.AddrPort, timeout time.Duration) (net.Conn, error)

// Dial opens a TCP connection within the timeout. If the first packet gets no answer, it is sent again after
// firstAttempt, while the kernel waits for a second. A refused connection is an error at once.
func Dial(address netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	return DialWith(dialOnce, address, timeout)
}

// DialWith is Dial with another function for each attempt.
func DialWith(dial DialFunc, address netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	attempt := firstAttempt
	for {
		conn, err := dial(address, min(attempt, timeout))
		timeout -= attempt
		if err == nil || timeout <= 0 || !isTimeout(err) {
			return conn, err
		}
		attempt *= 2
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func dialOnce(address netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address.String(), timeout)
}

// IsHost reports whether a process can be reached at the address by others: it has a port, and its IP is not the
// unspecified one.
func IsHost(address netip.AddrPort) bool {
	return address.IsValid() && address.Port() != 0 && !address.Addr().IsUnspecified()
}
