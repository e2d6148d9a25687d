// Package meter collects the metrics that one node serves under /metrics.
package meter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marigoldrelay/marigoldrelay/internal/listener"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/tallier"
)

// RetryReason is the reason for a retry or a hedge.
type RetryReason string

// The reasons for retries and hedges.
const (
	// RetryOverUpstreamBudget is the reason if a node did not accept the attempt because its upstream has reached its
	// limit of retries.
	RetryOverUpstreamBudget RetryReason = "over-upstream-budget"
	// RetryElsewhere is the reason if the attempt found no room in the data centre and another one can answer in time.
	RetryElsewhere RetryReason = "elsewhere"
	// RetryFailed is the reason if an attempt of an idempotent request failed.
	RetryFailed RetryReason = "idempotent-failed"
	// RetryHandedBack is the reason if a node handed the attempt back.
	RetryHandedBack RetryReason = "handed-back"
	// RetryHedge is the reason for a hedge because the first attempt is overdue.
	RetryHedge RetryReason = "hedge"
	// RetryRateLimited is the reason if the rate limit of the upstream left no room in time.
	RetryRateLimited RetryReason = "rate-limited"
	// RetryNotRun is the reason if the attempt did not run.
	RetryNotRun RetryReason = "not-run"
)

// RetryRefusal is the reason for not making a retry or a hedge.
type RetryRefusal string

// The reasons for not making a retry or a hedge.
const (
	// RetryRefusalBudget is the reason if the neighbour's retry budget is used up.
	RetryRefusalBudget RetryRefusal = "budget"
	// RetryRefusalDeadline is the reason if the call's deadline has passed.
	RetryRefusalDeadline RetryRefusal = "deadline"
	// RetryRefusalQuota is the reason if the workspace has no token left for another arrival.
	RetryRefusalQuota RetryRefusal = "quota"
	// RetryRefusalNested is the reason if a nested call of the attempt has failed after its own retries.
	RetryRefusalNested RetryRefusal = "spent-below"
	// RetryRefusalAttempts is the reason if the call has used all its attempts.
	RetryRefusalAttempts RetryRefusal = "tries"
	// RetryRefusalUpstreamBudget is the reason if none of the nodes that were asked could accept the attempt within its
	// upstream's limit of retries.
	RetryRefusalUpstreamBudget RetryRefusal = "upstream-budget"
)

// Meter holds the metrics of one node. It is safe for concurrent use.
type Meter struct {
	// histograms is written after set, which has few lines.
	histograms *metrics.Set
	// set holds the counters and gauges.
	set *metrics.Set
}

// New returns a meter in which the counters of all refusals, retries and unanswered requests exist and are zero.
func New() *Meter {
	metrics.ExposeMetadata(true)
	m := &Meter{histograms: metrics.NewSet(), set: metrics.NewSet()}
	for _, reason := range refuser.Reasons() {
		m.refusalCounter(reason)
	}
	for _, reason := range []RetryReason{RetryOverUpstreamBudget, RetryElsewhere, RetryFailed, RetryHandedBack, RetryHedge, RetryNotRun, RetryRateLimited} {
		m.retryCounter(reason)
	}
	for _, reason := range []RetryRefusal{RetryRefusalBudget, RetryRefusalDeadline, RetryRefusalNested, RetryRefusalAttempts, RetryRefusalQuota, RetryRefusalUpstreamBudget} {
		m.retryRefusalCounter(reason)
	}
	for _, cause := range listener.UnansweredCauses() {
		m.unansweredCounter(cause)
	}
	return m
}

func (m *Meter) refusalCounter(reason refuser.Reason) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_refusals_total{reason=%q}`, reason))
}

func (m *Meter) retryCounter(reason RetryReason) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_retries_total{reason=%q}`, reason))
}

func (m *Meter) retryRefusalCounter(reason RetryRefusal) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_retries_refused_total{reason=%q}`, reason))
}

func (m *Meter) arrivalCounter(service, try string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_arrivals_total{service=%q,try=%q}`, service, try))
}

// Arrived counts a request that the upstream beside the node has received. Try is the kind of its attempt.
func (m *Meter) Arrived(service, try string) {
	m.arrivalCounter(service, try).Inc()
}

// ArrivalCount returns the number of requests that Arrived has counted for a service and a kind of attempt.
func (m *Meter) ArrivalCount(service, try string) uint64 {
	return m.arrivalCounter(service, try).Get()
}

// ConditionNamed counts a response of the upstream that named a condition, by the kind of the response.
func (m *Meter) ConditionNamed(condition, response string) {
	m.conditionCounter(condition, response).Inc()
}

// ConditionCount returns the number of responses that ConditionNamed has counted.
func (m *Meter) ConditionCount(condition, response string) uint64 {
	return m.conditionCounter(condition, response).Get()
}

func (m *Meter) conditionCounter(condition, response string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_upstream_conditions_total{condition=%q,response=%q}`, condition, response))
}

// Refused counts a refusal that was sent to a caller.
func (m *Meter) Refused(reason refuser.Reason) {
	m.refusalCounter(reason).Inc()
}

func (m *Meter) unansweredCounter(cause listener.UnansweredCause) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_requests_unanswered_total{cause=%q}`, cause))
}

// Unanswered counts a request that ended without a whole response.
func (m *Meter) Unanswered(cause listener.UnansweredCause) {
	m.unansweredCounter(cause).Inc()
}

// Retried counts a retry or a hedge.
func (m *Meter) Retried(reason RetryReason) {
	m.retryCounter(reason).Inc()
}

// RetryRefused counts a retry or a hedge that was not made.
func (m *Meter) RetryRefused(reason RetryRefusal) {
	m.retryRefusalCounter(reason).Inc()
}

// Answered records the total time of an answered call and the time that the nodes added to it, both as
// histograms in seconds.
func (m *Meter) Answered(service, rank string, total, added time.Duration) {
	labels := fmt.Sprintf(`{service=%q,rank=%q}`, service, rank)
	m.histograms.GetOrCreateHistogram("marigoldrelay_call_seconds" + labels).Update(total.Seconds())
	m.histograms.GetOrCreateHistogram("marigoldrelay_added_seconds" + labels).Update(added.Seconds())
}

// Finished records the time until a call had its outcome, and the age of the load information that its target
// was picked by, both as histograms in seconds.
func (m *Meter) Finished(service, rank, outcome string, took, loadAge time.Duration) {
	labels := fmt.Sprintf(`{service=%q,rank=%q,outcome=%q}`, service, rank, outcome)
	m.histograms.GetOrCreateHistogram("marigoldrelay_finished_seconds" + labels).Update(took.Seconds())
	m.histograms.GetOrCreateHistogram("marigoldrelay_load_age_seconds").Update(loadAge.Seconds())
}

// AddControlBytes implements messenger.ByteCounter. It adds bytes of control traffic that were sent for a purpose.
func (m *Meter) AddControlBytes(purpose string, bytes int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_control_bytes_total{purpose=%q}`, purpose)).Add(bytes)
}

// AddQuotaTokens adds tokens of workspaces' quotas by what has become of them.
func (m *Meter) AddQuotaTokens(kind string, count int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_quota_tokens_total{kind=%q}`, kind)).Add(count)
}

// CountQuotaQuestion counts a question to a granter of tokens by its result.
func (m *Meter) CountQuotaQuestion(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_quota_questions_total{result=%q}`, result)).Inc()
}

// SentBytes returns the counter of the bytes that are sent to other nodes, by kind and scope.
func (m *Meter) SentBytes(kind tallier.Kind, scope tallier.Scope) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`marigoldrelay_sent_bytes_total{kind=%q,scope=%q}`, kind, scope))
}

// Event counts one occurrence of an event. The name is in snake case, without the prefix and "_total".
func (m *Meter) Event(name string) {
	m.set.GetOrCreateCounter("marigoldrelay_" + name + "_total").Inc()
}

// Gauge registers a gauge whose value is read when the metrics are written. The name is in snake case, without
// the prefix.
func (m *Meter) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge("marigoldrelay_"+name, read)
}

// EventCount returns the number of occurrences of the event.
func (m *Meter) EventCount(name string) uint64 {
	return m.set.GetOrCreateCounter("marigoldrelay_" + name + "_total").Get()
}

// RefusalCount returns the number of refusals to callers for the reason.
func (m *Meter) RefusalCount(reason refuser.Reason) uint64 {
	return m.refusalCounter(reason).Get()
}

// RetryCount returns the number of retries and hedges for the reason.
func (m *Meter) RetryCount(reason RetryReason) uint64 {
	return m.retryCounter(reason).Get()
}

// Write writes the node's metrics in the Prometheus text format, followed by those of the process.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	m.histograms.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}
