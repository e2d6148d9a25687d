// Package meter counts what the program does, for /metrics.
package meter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

// RetryReason names why an attempt was made again.
type RetryReason string

// The reasons for which an attempt is made again.
const (
	// RetryElsewhere is for one that a node did not take because its upstream has had as many repeats as it may.
	RetryElsewhere  RetryReason = "over-upstream-budget"
	RetryFailed     RetryReason = "idempotent-failed"
	RetryHandedBack RetryReason = "handed-back"
	RetryHedge      RetryReason = "hedge"
	RetryNotRun     RetryReason = "not-run"
	RetrySlow       RetryReason = "slow-upstream"
)

// RetryRefusal names why an attempt was not made again although it had failed.
type RetryRefusal string

// The reasons for which an attempt is not made again.
const (
	RetryRefusalBudget   RetryRefusal = "budget"
	RetryRefusalDeadline RetryRefusal = "deadline"
	RetryRefusalNested   RetryRefusal = "spent-below"
	RetryRefusalTries    RetryRefusal = "tries"
	// RetryRefusalUpstream is for one that no node asked could take within its upstream's bound on repeats.
	RetryRefusalUpstream RetryRefusal = "upstream-budget"
)

// Meter holds the metrics of one node. It is safe for concurrent use.
type Meter struct {
	// histograms are written after the counters, which are few.
	histograms *metrics.Set
	set        *metrics.Set
}

// New returns a meter with every refusal and retry counter at zero.
func New() *Meter {
	metrics.ExposeMetadata(true)
	m := &Meter{histograms: metrics.NewSet(), set: metrics.NewSet()}
	for _, reason := range refuser.Reasons() {
		m.refusals(reason)
	}
	for _, reason := range []RetryReason{RetryElsewhere, RetryFailed, RetryHandedBack, RetryHedge, RetryNotRun, RetrySlow} {
		m.retries(reason)
	}
	for _, reason := range []RetryRefusal{RetryRefusalBudget, RetryRefusalDeadline, RetryRefusalNested, RetryRefusalTries, RetryRefusalUpstream} {
		m.retryRefusals(reason)
	}
	return m
}

func (m *Meter) refusals(reason refuser.Reason) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_refusals_total{reason=%q}`, reason))
}

func (m *Meter) retries(reason RetryReason) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_retries_total{reason=%q}`, reason))
}

func (m *Meter) retryRefusals(reason RetryRefusal) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_retries_refused_total{reason=%q}`, reason))
}

func (m *Meter) arrivals(service, try string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_arrivals_total{service=%q,try=%q}`, service, try))
}

// Arrived counts a request that the upstream beside the node has got.
func (m *Meter) Arrived(service, try string) {
	m.arrivals(service, try).Inc()
}

// ArrivalCount returns how many requests of a service the upstream beside the node has got.
func (m *Meter) ArrivalCount(service, try string) uint64 {
	return m.arrivals(service, try).Get()
}

// Refused counts a refusal that a caller was given.
func (m *Meter) Refused(reason refuser.Reason) {
	m.refusals(reason).Inc()
}

// Retried counts an attempt that was made again.
func (m *Meter) Retried(reason RetryReason) {
	m.retries(reason).Inc()
}

// RetryRefused counts an attempt that was not made again.
func (m *Meter) RetryRefused(reason RetryRefusal) {
	m.retryRefusals(reason).Inc()
}

// Answered records the total time of an answered call and the time that the nodes added to it.
func (m *Meter) Answered(service, rank string, total, added time.Duration) {
	labels := fmt.Sprintf(`{service=%q,rank=%q}`, service, rank)
	m.histograms.GetOrCreateHistogram("marigoldrelay_call_seconds" + labels).Update(total.Seconds())
	m.histograms.GetOrCreateHistogram("marigoldrelay_added_seconds" + labels).Update(added.Seconds())
}

// Finished records how long a call took until it had its outcome, and how old the knowledge was by which
// its target was picked.
func (m *Meter) Finished(service, rank, outcome string, took, loadAge time.Duration) {
	labels := fmt.Sprintf(`{service=%q,rank=%q,outcome=%q}`, service, rank, outcome)
	m.histograms.GetOrCreateHistogram("marigoldrelay_finished_seconds" + labels).Update(took.Seconds())
	m.histograms.GetOrCreateHistogram("marigoldrelay_load_age_seconds").Update(loadAge.Seconds())
}

// Count implements messenger.Meter: bytes of control traffic sent for a purpose.
func (m *Meter) Count(purpose string, bytes int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_control_bytes_total{purpose=%q}`, purpose)).Add(bytes)
}

// Event counts one occurrence of a named event; the name is in snake case.
func (m *Meter) Event(name string) {
	m.set.GetOrCreateCounter("marigoldrelay_" + name + "_total").Inc()
}

// Gauge registers a value that is read when the metrics are written.
func (m *Meter) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge("marigoldrelay_"+name, read)
}

// EventCount returns how often the named event was counted.
func (m *Meter) EventCount(name string) uint64 {
	return m.set.GetOrCreateCounter("marigoldrelay_" + name + "_total").Get()
}

// RefusalCount returns how often callers were refused for the reason.
func (m *Meter) RefusalCount(reason refuser.Reason) uint64 {
	return m.refusals(reason).Get()
}

// RetryCount returns how often attempts were made again for the reason.
func (m *Meter) RetryCount(reason RetryReason) uint64 {
	return m.retries(reason).Get()
}

// Write writes the metrics in the Prometheus text format, with those of the process.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	m.histograms.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}
