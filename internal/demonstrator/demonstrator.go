// Package demonstrator runs small deployments of nodes with stand-in upstreams in one process on
// loopback, for tests and for the demo command, which adds a light load.
package demonstrator

import (
	"context"
	_ "embed" // Embeds the demo's document.
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/administrator"
	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
	"github.com/marigoldrelay/marigoldrelay/internal/loadgenerator"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

//go:embed document.jsonc
var documentText []byte

// ErrFailed is wrapped by the error of a demo in which a call was not answered or an invariant failed.
var ErrFailed = merry.Sentinel("demo failed")

const (
	answerBytes    = 200
	maxDuration    = 24 * time.Hour
	nodeCount      = 6
	requestRate    = 200.0
	readyTimeout   = 10 * time.Second
	serviceTime    = 5 * time.Millisecond
	upstreamSlots  = 12
	requestTimeout = 10 * time.Second
)

// Document parses the embedded document of the demo and returns it.
func Document() (*validator.Document, error) {
	return validator.Parse(documentText)
}

// Run runs the demo until the duration has passed or ctx is done. Each second it prints the results so
// far to out, and a summary at the end. A duration of zero or less means until ctx is done, but at most
// 24 hours. The error wraps ErrFailed if a call did not get the complete answer that belongs to it or an
// invariant failed.
func Run(ctx context.Context, out io.Writer, duration time.Duration) error {
	document, err := Document()
	if err != nil {
		return err
	}
	d, err := NewDeployment(document)
	if err != nil {
		return err
	}
	defer d.Close()
	if err := addNodes(ctx, d); err != nil {
		return err
	}
	printInstructions(out, d)
	if duration <= 0 {
		duration = maxDuration
	}
	return runLoad(ctx, out, d, duration)
}

// addNodes adds nodeCount nodes with upstreams, alternately in two data centres, and waits until every
// node sees all of them serving.
func addNodes(ctx context.Context, d *Deployment) error {
	for i := range nodeCount {
		dataCentre := []string{"flacq", "moka"}[i%2]
		_, err := d.Add(NodeSpec{
			Behaviour:  responder.Behaviour{ServiceTime: serviceTime, Slots: upstreamSlots},
			DataCentre: dataCentre,
			Name:       fmt.Sprintf("%s-%d", dataCentre, i),
			Service:    []string{"entries", "booking"}[i/2%2],
		})
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return d.AwaitServing(ctx, nodeCount)
}

// printInstructions prints how to send a request to the first node and how to read its state and metrics.
func printInstructions(out io.Writer, d *Deployment) {
	first := d.Node(0).Settings
	_, _ = fmt.Fprintf(out, "%d nodes in 2 data centres serve entries and booking.\n", nodeCount)
	_, _ = fmt.Fprintf(out, "Send a request:  curl -i http://%s/entries\n", first.CallerAddress)
	_, _ = fmt.Fprintf(out, "See the state:   curl -H 'Authorization: Bearer %s' http://%s%s\n",
		d.Token(), first.AdminAddress, administrator.PathStatus)
	_, _ = fmt.Fprintf(out, "See the metrics: curl http://%s%s\n", first.AdminAddress, administrator.PathMetrics)
}

// runLoad sends a mix of requests to all nodes, prints the results so far each second and a summary at
// the end.
func runLoad(ctx context.Context, out io.Writer, d *Deployment, duration time.Duration) error {
	kinds := []loadgenerator.Kind{
		{Method: "POST", Path: "/entries", Weight: 1},
		{Method: "GET", Path: "/entries", Weight: 5},
		{Method: "GET", Path: "/archive", Weight: 2},
		{Method: "POST", Path: "/slots", Weight: 1},
		{Method: "GET", Path: "/slots", Weight: 3},
		{Method: "GET", Path: "/containers", Weight: 2},
	}
	generator := loadgenerator.New(timekeeper.System{}, loadgenerator.Config{
		AnswerBytes: answerBytes,
		Duration:    duration,
		Kinds:       kinds,
		Prefix:      "demo",
		Rate:        requestRate,
		Seed:        1,
		Targets:     d.CallerAddresses(),
		Timeout:     requestTimeout,
	}, nil)
	ranks := ranksByKind(d, kinds)
	done := make(chan struct{})
	go func() {
		defer close(done)
		generator.Run(ctx)
	}()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for second := 1; ; second++ {
		select {
		case <-ticker.C:
			_, _ = fmt.Fprintf(out, "%3d s  %s\n", second, formatResults(generator.Results(), ranks))
		case <-done:
			return printSummary(out, generator.Results())
		}
	}
}

// ranksByKind returns the rank of each kind of request that matches a route, keyed by the kind's name.
func ranksByKind(d *Deployment, kinds []loadgenerator.Kind) map[string]string {
	matcher := validator.NewMatcher(d.document)
	ranks := make(map[string]string)
	for _, kind := range kinds {
		if route := matcher.Match("", kind.Method, kind.Path); route != nil {
			ranks[kind.Name()] = route.Rank
		}
	}
	return ranks
}

// formatResults formats, for each kind of request, its rank, the number of answers, the latency
// percentiles and the refusals by reason.
func formatResults(results []loadgenerator.Result, ranks map[string]string) string {
	var parts []string
	for _, r := range results {
		part := fmt.Sprintf("%s (%s) %d p50 %s p99 %s", ranks[r.Kind], r.Kind, r.Answered,
			roundLatency(r.P50), roundLatency(r.P99))
		for reason, count := range r.Refused {
			part += fmt.Sprintf(" %s %d", reason, count)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, " | ")
}

// roundLatency rounds to 0.1 ms.
func roundLatency(d time.Duration) time.Duration {
	return d.Round(100 * time.Microsecond)
}

// printSummary prints the totals over all kinds of request. The error wraps ErrFailed if a call was not
// answered or an invariant failed.
func printSummary(out io.Writer, results []loadgenerator.Result) error {
	sent, answered, lost, wrong := 0, 0, 0, 0
	for _, r := range results {
		sent += r.Sent
		answered += r.Answered
		lost += r.Lost
		wrong += r.Wrong
	}
	_, _ = fmt.Fprintf(out, "%d calls, %d answered, %d refused, %d lost, %d wrong, %d invariants failed\n",
		sent, answered, sent-answered-lost-wrong, lost, wrong, asserter.Failures())
	if answered != sent || asserter.Failures() > 0 {
		return fmt.Errorf("%w: not every call got its complete answer, or an invariant failed", ErrFailed)
	}
	return nil
}
