package relayer

import (
	"io"

	"github.com/marigoldrelay/marigoldrelay/internal/administrator"
	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/hintreader"
	"github.com/marigoldrelay/marigoldrelay/internal/logger"
)

// Status is a node's report on itself and on the members that it knows.
type Status struct {
	Accounts []executor.AccountStatus `json:"accounts"`
	// DiskID is set only on a control replica.
	DiskID          string            `json:"disk-id,omitempty"`
	Executor        executor.Status   `json:"executor"`
	Hints           hintreader.Hints  `json:"hints"`
	Incarnation     uint64            `json:"incarnation"`
	Members         []gossiper.Member `json:"members"`
	Name            string            `json:"name"`
	DocumentVersion uint64            `json:"document-version"`
	// Evacuated are the data centres that are evacuated, as this node knows.
	Evacuated []string `json:"evacuated,omitempty"`
}

// Status returns a snapshot of the node.
func (n *Node) Status() Status {
	status := Status{
		Accounts:        n.executor.Accounts(),
		Executor:        n.executor.Status(),
		Hints:           n.hints.Current(),
		Incarnation:     n.incarnation,
		Members:         n.gossiper.Members(),
		Name:            n.settings.Name,
		DocumentVersion: n.documentVersion(),
		Evacuated:       n.evacuatedDataCentres(),
	}
	if n.register.acceptor != nil {
		status.DiskID = n.register.acceptor.DiskID()
	}
	return status
}

// statusReporter implements administrator.Reporter.
type statusReporter struct {
	node *Node
}

// Accounts returns the slot time that was used, by rank and neighbour.
func (r statusReporter) Accounts() any {
	return r.node.executor.Accounts()
}

// Decide returns where a request would go now.
func (r statusReporter) Decide(query administrator.DecisionQuery) any {
	return r.node.Decide(query)
}

// Members returns the members that the node knows.
func (r statusReporter) Members() any {
	return r.node.gossiper.Members()
}

// Status returns a snapshot of the node.
func (r statusReporter) Status() any {
	return r.node.Status()
}

// WriteMetrics writes the node's metrics to w.
func (r statusReporter) WriteMetrics(w io.Writer) {
	r.node.meter.Write(w)
}

func (n *Node) registerGauges() {
	n.meter.Gauge("document_version", func() float64 { return float64(n.documentVersion()) })
	n.meter.Gauge("register_revision", func() float64 { return float64(n.revision()) })
	n.meter.Gauge("replica_disk_failed_seconds", n.register.diskFailedSeconds)
	n.meter.Gauge("answer_memory_bytes", func() float64 { return float64(n.bodyMemory.UsedBy(budgeter.ClassAnswer)) })
	n.meter.Gauge("request_memory_bytes", func() float64 { return float64(n.bodyMemory.UsedBy(budgeter.ClassRequest)) })
	n.meter.Gauge("body_memory_bytes", func() float64 { return float64(n.bodyMemory.Used()) })
	n.meter.Gauge("bodies_given_up", func() float64 { return float64(n.bodyMemory.GivenUp()) })
	n.meter.Gauge("live_members", func() float64 { return float64(len(n.livePeers()) + 1) })
	n.meter.Gauge("upstream_rate_limit", func() float64 { return n.executor.Status().RateLimit })
	n.meter.Gauge("upstream_rate_limit_use", func() float64 { return n.executor.Status().RateLimitUse })
	for _, name := range n.knownDataCentres() {
		n.registerEvacuationGauge(name)
	}
	n.meter.Gauge("upstream_cold_rate", func() float64 { return n.executor.Status().ColdRate })
	n.meter.Gauge("confirmation_age_seconds", n.confirmationAgeSeconds)
	n.meter.Gauge("quota_buckets", func() float64 { return float64(n.quotas.granter.Buckets()) })
	n.meter.Gauge("quota_accounts", func() float64 { return float64(n.quotas.keeper.Accounts()) })
	n.meter.Gauge("log_lines_lost", func() float64 { return float64(logger.LostLines()) })
}
