package messenger

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// TestAbortClosesConnectionThatOpensLate guards against a connection that is being dialled when its node ends, and that stays open for
// good afterwards.
func TestAbortClosesConnectionThatOpensLate(t *testing.T) {
	key, err := signer.New([]byte("a key for the tests only"))
	if err != nil {
		t.Fatal(err)
	}
	dialling, proceed, closed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	dial := func(netip.AddrPort, time.Duration) (net.Conn, error) {
		client, server := net.Pipe()
		close(dialling)
		<-proceed
		go func() {
			defer close(closed)
			if _, err := handshakeServer(server, key); err != nil {
				return
			}
			// Returns when the client has closed the connection.
			_, _ = io.Copy(io.Discard, server)
		}()
		return client, nil
	}
	m := New(key, noCounter{}, WithDialer(dial))
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { ended <- m.Call(ctx, netip.MustParseAddrPort("127.0.0.1:1"), PurposeBinding, "any", nil, nil) }()
	<-dialling
	cancel()
	if err := <-ended; err == nil {
		t.Error("a call over a connection that isn't open has succeeded")
	}
	m.Abort()
	close(proceed)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Error("the connection stays open")
	}
}
