package replicator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// fullSizeText returns a document of the largest size that the design assumes: 76 services with two routes each.
func fullSizeText(tb testing.TB) string {
	tb.Helper()
	document := &validator.Document{Budgets: validator.Budgets{ControlBytesPerSecond: 7000}}
	for i := range 4 {
		document.Ranks = append(document.Ranks, validator.Rank{Name: fmt.Sprintf("rank-%d", i), GuaranteedShare: 0.2, TargetWait: 1e9})
	}
	for i := range 76 {
		name := fmt.Sprintf("service-%d", i)
		document.Neighbours = append(document.Neighbours, validator.Neighbour{Name: name, RetryRatio: 0.1, Weight: 1})
		document.Services = append(document.Services, validator.Service{Name: name, Neighbour: name})
		for j, method := range []string{"GET", "POST"} {
			document.Routes = append(document.Routes, validator.Route{
				Deadline: 2e9, Idempotent: j == 0, Methods: []string{method}, PathPrefix: "/" + name,
				Rank: fmt.Sprintf("rank-%d", j), Service: name,
			})
		}
	}
	text, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		tb.Fatal(err)
	}
	if _, err := validator.Parse(text); err != nil {
		tb.Fatal(err)
	}
	return string(text)
}

// BenchmarkChange measures changes of a document of the size of fullSizeText on 5 replicas with real files, and reports the
// size of the value after the last change.
func BenchmarkChange(b *testing.B) {
	c := newCluster(b, "a", "b", "c", "d", "e")
	replicas := c.bootstrap("a", "b", "c", "d", "e")
	p := c.proposer("p", replicas)
	text := fullSizeText(b)
	version := uint64(1)
	var value *Value
	for range b.N {
		request := change(strings.Repeat("x", 20)+fmt.Sprint(version), version, replicas)
		request.Text = text
		changed, newVersion, err := p.Apply(context.Background(), request)
		if err != nil {
			b.Fatal(err)
		}
		value, version = changed, newVersion
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(text)), "text-B")
	b.ReportMetric(float64(len(Pack(text))), "pulled-B")
	b.ReportMetric(float64(len(encoded)), "value-B")
}
