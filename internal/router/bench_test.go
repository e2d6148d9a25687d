package router

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

func newFilledRouter(count int) *Router {
	r := New(timekeeper.System{}, rand.New(rand.NewPCG(1, 1)), Weighted{}, "r0", "dc0")
	for i := range count {
		r.Update(gossiper.Member{
			Name: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc%d", i%7), Region: fmt.Sprintf("r%d", i%7%3),
			Service: fmt.Sprintf("s%d", i%76), Slots: 12, Upstream: announcer.StateReady,
		})
	}
	return r
}

// BenchmarkTargetMemory measures the memory that the router uses for one member.
func BenchmarkTargetMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := newFilledRouter(650)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/650, "B/member")
		runtime.KeepAlive(r)
	}
}

// BenchmarkPick measures one Pick among the members of one service.
func BenchmarkPick(b *testing.B) {
	r := newFilledRouter(650)
	b.ReportAllocs()
	for range b.N {
		if _, ok := r.Pick(Need{Service: "s1"}, nil); !ok {
			b.Fatal("no target")
		}
	}
}
