package relayer

import (
	"io"

	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/hintreader"
	"github.com/marigoldrelay/marigoldrelay/internal/logger"
)

// Status is what a node tells of itself and of the members.
type Status struct {
	Accounts []executor.AccountStatus `json:"accounts"`
	// DiskID is set on a control replica.
	DiskID      string            `json:"disk-id,omitempty"`
	Executor    executor.Status   `json:"executor"`
	Hints       hintreader.Hints  `json:"hints"`
	Incarnation uint64            `json:"incarnation"`
	Members     []gossiper.Member `json:"members"`
	Name        string            `json:"name"`
	Version     uint64            `json:"document-version"`
}

// Status returns a snapshot of the node.
func (n *Node) Status() Status {
	status := Status{
		Accounts:    n.executor.Accounts(),
		Executor:    n.executor.Status(),
		Hints:       n.hints.Current(),
		Incarnation: n.incarnation,
		Members:     n.gossiper.Members(),
		Name:        n.settings.Name,
		Version:     n.documentVersion(),
	}
	if n.register.acceptor != nil {
		status.DiskID = n.register.acceptor.DiskID()
	}
	return status
}

// reporter implements administrator.Reporter.
type reporter struct {
	node *Node
}

// Accounts returns the slot-time taken by rank and neighbour.
func (r reporter) Accounts() any {
	return r.node.executor.Accounts()
}

// Members returns the members.
func (r reporter) Members() any {
	return r.node.gossiper.Members()
}

// Status returns a snapshot of the node.
func (r reporter) Status() any {
	return r.node.Status()
}

// WriteMetrics writes the node's metrics.
func (r reporter) WriteMetrics(w io.Writer) {
	r.node.meter.Write(w)
}

func (n *Node) registerGauges() {
	n.meter.Gauge("document_version", func() float64 { return float64(n.documentVersion()) })
	n.meter.Gauge("register_revision", func() float64 { return float64(n.revision()) })
	n.meter.Gauge("live_members", func() float64 { return float64(len(n.liveMembers()) + 1) })
	n.meter.Gauge("log_lines_lost", func() float64 { return float64(logger.LostLines()) })
}
