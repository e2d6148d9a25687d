package relayer_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// BenchmarkAddedLatency compares calls through two nodes with direct calls to the same upstream, which answers at
// once. The difference is the latency that the nodes add.
func BenchmarkAddedLatency(b *testing.B) {
	document, err := demonstrator.Document()
	if err != nil {
		b.Fatal(err)
	}
	d, err := demonstrator.NewDeployment(document)
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	entry := addNode(b, d, demonstrator.NodeSpec{DataCentre: "flacq", Name: "entry"})
	behaviour := responder.Behaviour{Slots: 256, Steady: true}
	addNode(b, d, demonstrator.NodeSpec{Behaviour: behaviour, DataCentre: "flacq", Name: "target", Service: "entries"})
	awaitServing(b, d, 1)
	upstream := d.Node(1).Node.Status().Executor.Announcement.Address
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("direct/%d", callers), func(b *testing.B) { benchmarkCalls(b, netip.MustParseAddrPort(upstream), callers) })
		b.Run(fmt.Sprintf("relayed/%d", callers), func(b *testing.B) { benchmarkCalls(b, entry.Settings.CallerAddress, callers) })
	}
}

func addNode(tb testing.TB, d *demonstrator.Deployment, spec demonstrator.NodeSpec) *demonstrator.DeployedNode {
	tb.Helper()
	deployed, err := d.Add(spec)
	if err != nil {
		tb.Fatal(err)
	}
	return deployed
}

func awaitServing(tb testing.TB, d *demonstrator.Deployment, count int) {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := d.AwaitServing(ctx, count); err != nil {
		tb.Fatal(err)
	}
}

// benchmarkCalls sends b.N requests from the given number of concurrent callers and reports latency percentiles and
// calls per second.
func benchmarkCalls(b *testing.B, to netip.AddrPort, callers int) {
	pool := forwarder.New(to, timekeeper.System{})
	defer pool.Close()
	histograms := make([]*hdrhistogram.Histogram, callers)
	b.ReportAllocs()
	b.ResetTimer()
	var work sync.WaitGroup
	for i := range callers {
		histograms[i] = hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
		work.Go(func() {
			for n := i; n < b.N; n += callers {
				timeCall(b, pool, histograms[i])
			}
		})
	}
	work.Wait()
	b.StopTimer()
	for _, h := range histograms[1:] {
		histograms[0].Merge(h)
	}
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(99))/1e3, "p99-µs")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

func timeCall(b *testing.B, pool *forwarder.Pool, h *hdrhistogram.Histogram) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/entries")
	req.Header.SetHost("bench")
	req.Header.Set(responder.HeaderID, "bench")
	started := time.Now()
	err := pool.Do(context.Background(), &forwarder.Exchange{Deadline: started.Add(10 * time.Second), Request: req, Response: resp})
	if err != nil || resp.StatusCode() != fasthttp.StatusOK {
		b.Errorf("status %d: %v", resp.StatusCode(), err)
	}
	_ = h.RecordValue(time.Since(started).Nanoseconds())
}
