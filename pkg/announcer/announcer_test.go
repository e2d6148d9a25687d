package announcer

import (
	"net"
	"net/netip"
	"testing"
)

// TestMalformedAnswerAcknowledgesNothing guards against an answer with the status 000 that counts as the acknowledgement of an
// announcement, so that an upstream that leaves thinks that its node knows.
func TestMalformedAnswerAcknowledgesNothing(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = conn.Write([]byte("HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\n{}"))
		_ = conn.Close()
	}()
	a := New(netip.MustParseAddrPort(socket.Addr().String()), Announcement{Instance: "i", Service: "s"})
	if err := a.Announce(t.Context(), StateDraining); err == nil {
		t.Error("the announcement counts as acknowledged")
	}
}
