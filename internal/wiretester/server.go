package wiretester

import (
	"net"
	"net/netip"
	"testing"
)

// maxRequestBytes is how much of a request a server reads at most.
const maxRequestBytes = 4096

// MalformedAnswer is an answer whose status is none, but that the HTTP library takes for a success.
const MalformedAnswer = "HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\n{}"

// Serve answers the first request of each connection with the bytes of wire and closes it. It returns the address.
func Serve(tb testing.TB, wire string) netip.AddrPort {
	tb.Helper()
	return ServeConns(tb, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, maxRequestBytes))
		_, _ = conn.Write([]byte(wire))
		_ = conn.Close()
	})
}

// ServeConns accepts connections on loopback until the test ends, and calls serve with each in a goroutine of its own. It
// returns the address.
func ServeConns(tb testing.TB, serve func(conn net.Conn)) netip.AddrPort {
	tb.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = socket.Close() })
	go AcceptConns(socket, serve)
	return netip.MustParseAddrPort(socket.Addr().String())
}

// AcceptConns accepts connections until the listener is closed, and calls serve with each in a goroutine of its own.
func AcceptConns(socket net.Listener, serve func(conn net.Conn)) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}
