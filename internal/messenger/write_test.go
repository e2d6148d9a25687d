package messenger

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// TestCallToPeerThatReadsNothingEnds guards against a call that outlasts its time, and with it all later ones to the peer,
// because its message fills the connection to a peer that is cut off or stands still.
func TestCallToPeerThatReadsNothingEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key, err := signer.New([]byte("a key for the tests only"))
		if err != nil {
			t.Fatal(err)
		}
		m := New(key, noCounter{}, WithDialer(func(netip.AddrPort, time.Duration) (net.Conn, error) {
			conn, peer := net.Pipe()
			go func() {
				if _, err := handshakeServer(peer, key); err != nil {
					t.Error(err)
				}
			}()
			return conn, nil
		}))
		to := netip.MustParseAddrPort("127.0.0.1:1")
		for range 3 {
			started := time.Now()
			done := make(chan error, 1)
			go func() { done <- m.Call(t.Context(), to, PurposeConfiguration, "work", nil, nil) }()
			select {
			case err := <-done:
				if took := time.Since(started); !errors.Is(err, ErrUnreachable) || took > callTimeout {
					t.Errorf("the call has ended after %s with %v, want %v within %s", took, err, ErrUnreachable, callTimeout)
				}
			case <-time.After(time.Hour):
				t.Fatal("the call has not ended after an hour")
			}
		}
		m.Abort()
	})
}
