package messenger

import (
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestLargeCallIsSentOnce guards against a large document that is sent again beside itself on a link that is slow to carry it, which
// makes the link slower still, and against one that is sent on a connection that has turned silent.
func TestLargeCallIsSentOnce(t *testing.T) {
	const (
		paramBytes     = 60 << 10
		bytesPerSecond = 64 << 10
		// bound is the time for a ping that has to be repeated, the bytes, and the few ones beside them.
		bound = repeatAfter + time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		calls := int64(0)
		client, server := newPipes(t, "work", func(call int64) (any, error) {
			calls = call
			return call, nil
		})
		server.bytesPerSecond = bytesPerSecond
		to := netip.MustParseAddrPort("127.0.0.1:1")
		for round := range int64(3) {
			started, result := time.Now(), int64(0)
			err := client.CallIdempotent(t.Context(), to, PurposeConfiguration, "work", strings.Repeat("x", paramBytes), &result)
			if took := time.Since(started); err != nil || result != round+1 || took > bound {
				t.Errorf("round %d: response %d and %v after %s, want within %s", round, result, err, took, bound)
			}
			if calls != round+1 {
				t.Errorf("round %d: %d calls", round, calls)
			}
			server.silence()
		}
		client.Abort()
		server.Abort()
		time.Sleep(2 * time.Minute)
	})
}
