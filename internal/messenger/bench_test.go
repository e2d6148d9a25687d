package messenger

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// sentByteCounter is a ByteCounter that adds up the sent bytes.
type sentByteCounter struct {
	bytesSent atomic.Int64
}

// AddControlBytes implements ByteCounter.
func (c *sentByteCounter) AddControlBytes(_ string, bytes int) {
	c.bytesSent.Add(int64(bytes))
}

// message is both the request and the response of the benchmark.
type message struct {
	From  string `json:"from"`
	Grant uint64 `json:"grant"`
}

// BenchmarkCall measures one call and its response over loopback, with both ends in this process.
func BenchmarkCall(b *testing.B) {
	key, err := signer.New([]byte("a key for the tests only"))
	if err != nil {
		b.Fatal(err)
	}
	var counter sentByteCounter
	server, client := New(key, &counter), New(key, &counter)
	defer server.Abort()
	defer client.Abort()
	server.Handle("pull", func(_ context.Context, raw json.RawMessage) (any, error) {
		var p message
		return p, json.Unmarshal(raw, &p)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go server.Serve(listener)
	to := netip.MustParseAddrPort(listener.Addr().String())
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		var reply message
		if err := client.Call(b.Context(), to, PurposeBinding, "pull", message{"a-node-name", 123456}, &reply); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(counter.bytesSent.Load())/float64(b.N), "sent-B/op")
}
