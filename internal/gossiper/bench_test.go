package gossiper

import (
	"runtime"
	"strconv"
	"testing"
)

// BenchmarkTick measures the periodic work of one member, which is done five times a second, for a growing
// number of members.
func BenchmarkTick(b *testing.B) {
	for _, count := range []int{50, 100, 200, 650} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			n := newNetwork(b, count)
			g := n.gossipers[memberName(1)]
			n.lossRate = 1
			for len(g.updates) > 0 {
				g.Tick()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				n.now = n.now.Add(TickInterval)
				g.Tick()
				clear(g.probes)
			}
		})
	}
}

// BenchmarkReceive measures the processing of one datagram with the largest number of member records.
func BenchmarkReceive(b *testing.B) {
	n := newNetwork(b, 50)
	g := n.gossipers[memberName(1)]
	p := &Packet{Kind: KindAck, Sender: memberName(2)}
	for i := range maxPiggyback {
		p.Members = append(p.Members, n.gossipers[memberName(10+i)].Self())
	}
	data, err := n.codec.Encode(p)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "datagram-B")
	for range b.N {
		g.Receive(memberAddress(2), data)
	}
}

// BenchmarkRecord measures the heap bytes of one member's record in one view.
func BenchmarkRecord(b *testing.B) {
	for _, count := range []int{100, 200} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			for range b.N {
				runtime.GC()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				n := newNetwork(b, count)
				for _, g := range n.gossipers {
					clear(g.updates)
					g.changed, g.outbox = nil, nil
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count*count), "B/record")
				runtime.KeepAlive(n)
			}
		})
	}
}
