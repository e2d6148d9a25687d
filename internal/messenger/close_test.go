package messenger

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// closeTimeout limits how long a test waits for a broken messenger. No check depends on a shorter time.
const closeTimeout = 10 * time.Second

// noCounter counts nothing.
type noCounter struct{}

// AddControlBytes implements ByteCounter.
func (noCounter) AddControlBytes(string, int) {}

// TestCloseAnswersRunningCalls closes a messenger while calls of a peer run. Each call that has begun gets its reply.
func TestCloseAnswersRunningCalls(t *testing.T) {
	const (
		calls  = 64
		rounds = 20
		spread = 2 * time.Millisecond
	)
	key, err := signer.New([]byte("a key for the tests only"))
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(28, 28))
	var begun, replied int64
	for range rounds {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var roundBegun, roundReplied atomic.Int64
		server, client := New(key, noCounter{}), New(key, noCounter{})
		server.Handle("work", func(context.Context, json.RawMessage) (any, error) {
			roundBegun.Add(1)
			time.Sleep(spread)
			return 1, nil
		})
		go server.Serve(socket)
		address := netip.MustParseAddrPort(socket.Addr().String())
		var ends sync.WaitGroup
		for range calls {
			delay := time.Duration(random.Int64N(int64(2 * spread)))
			ends.Go(func() {
				time.Sleep(delay)
				var result int
				if client.Call(t.Context(), address, PurposeBinding, "work", nil, &result) == nil {
					roundReplied.Add(1)
				}
			})
		}
		time.Sleep(2 * spread)
		ctx, cancel := context.WithTimeout(t.Context(), closeTimeout)
		server.Close(ctx)
		cancel()
		ends.Wait()
		client.Abort()
		begun, replied = begun+roundBegun.Load(), replied+roundReplied.Load()
	}
	if replied < begun {
		t.Errorf("%d of %d calls that had begun got no reply", begun-replied, begun)
	}
}
