package relayer_test

import (
	"bytes"
	"fmt"
	"regexp"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/loadgenerator"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// BenchmarkIdleNodes measures the overhead of control for a node without calls, for growing numbers of nodes.
func BenchmarkIdleNodes(b *testing.B) {
	for _, count := range []int{10, 20, 40, 80} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			for range b.N {
				measureNodes(b, count, 0)
			}
		})
	}
}

// BenchmarkLoadedNodes measures the overhead of control for a node at the design load of 86 calls per second per
// node, with 8 nodes of one service at about 90% of their capacity.
func BenchmarkLoadedNodes(b *testing.B) {
	for range b.N {
		measureNodes(b, 8, 86)
	}
}

var controlBytes = regexp.MustCompile(`marigoldrelay_control_bytes_total\{purpose="([a-z]+)"\} (\d+)`)

// controlBytesOf returns the control bytes of all nodes together, by purpose.
func controlBytesOf(d *demonstrator.Deployment) map[string]float64 {
	sums := make(map[string]float64)
	for _, deployed := range d.Nodes() {
		var text bytes.Buffer
		deployed.Node.Meter().Write(&text)
		for _, match := range controlBytes.FindAllStringSubmatch(text.String(), -1) {
			count, err := strconv.ParseFloat(match[2], 64)
			if err == nil {
				sums[match[1]] += count
			}
		}
	}
	return sums
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

func measureNodes(b *testing.B, count int, callsPerNode float64) {
	b.Helper()
	const measured = 10 * time.Second
	document, err := demonstrator.Document()
	if err != nil {
		b.Fatal(err)
	}
	before := heapInUse()
	d, err := demonstrator.NewDeployment(document)
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	// 12 slots of 125 ms give 96 calls a second, of which 86 are 90%.
	behaviour := responder.Behaviour{ServiceTime: 125 * time.Millisecond, Slots: 12}
	for i := range count {
		spec := demonstrator.NodeSpec{DataCentre: fmt.Sprintf("dc%d", i%7), Name: fmt.Sprintf("n%d", i)}
		if callsPerNode > 0 {
			spec.Service, spec.Behaviour = "entries", behaviour
		}
		addNode(b, d, spec)
	}
	serving := 0
	if callsPerNode > 0 {
		serving = count
	}
	awaitServing(b, d, serving)
	time.Sleep(5 * time.Second)
	bytesBefore, cpuBefore := controlBytesOf(d), cpuTime()
	if callsPerNode > 0 {
		g := loadgenerator.New(timekeeper.System{}, loadgenerator.Config{
			AnswerBytes: 200, Duration: measured, Kinds: []loadgenerator.Kind{{Method: "GET", Path: "/entries", Weight: 1}},
			Prefix: "capacity", Rate: callsPerNode * float64(count), Seed: 1, Targets: d.CallerAddresses(), Timeout: 10 * time.Second,
		}, nil)
		g.Run(b.Context())
		for _, r := range g.Results() {
			b.Logf("sent %d answered %d refused %v p50 %s p99 %s", r.Sent, r.Answered, r.Refused, r.P50, r.P99)
		}
	} else {
		time.Sleep(measured)
	}
	perNode := float64(count) * measured.Seconds()
	b.ReportMetric((cpuTime()-cpuBefore).Seconds()*1e3/perNode, "ms-cpu/s/node")
	for purpose, sum := range controlBytesOf(d) {
		b.ReportMetric((sum-bytesBefore[purpose])/perNode, purpose+"-B/s/node")
	}
	b.ReportMetric((heapInUse()-before)/float64(count)/1e6, "MB/node")
}
