package relayer

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
)

const (
	// ratioFraction and slackFraction are the fractions of the document's bound on repeats that nodes use. The rest
	// is for repeats that nodes see later than callers and upstreams do, and for the shares of nodes that are cut
	// off.
	ratioFraction = 0.85
	slackFraction = 0.75
	// minSlackNodes is the lowest number of nodes that the slack is divided by. It bounds the share of a node that
	// knows hardly any others.
	minSlackNodes = 4
	// defaultRepeatWindow and defaultSlackShare, in repeats per node and window, apply if the document sets no bound for
	// all nodes together.
	defaultRepeatWindow = 10 * time.Second
	defaultSlackShare   = 10
)

// repeatLimits returns the limits on repeats for the upstream beside the node.
func (n *Node) repeatLimits() budgeter.RepeatLimits {
	document := n.currentDocument()
	if document == nil {
		return budgeter.RepeatLimits{Window: defaultRepeatWindow}
	}
	service := n.service()
	limits := budgeter.RepeatLimits{
		Ratio: ratioFraction * document.ServiceRetryRatio(service), Share: defaultSlackShare, Window: document.Budgets.RetryWindow.Std(),
	}
	if limits.Window == 0 {
		limits.Window = defaultRepeatWindow
	}
	if slack := document.Budgets.RetrySlack; slack > 0 {
		nodes := n.peakNodes.observe(n.router.Count(service), limits.Window)
		limits.Share = slackFraction * slack / float64(max(nodes, minSlackNodes))
	}
	return limits
}

// retryRatio returns how many retries a neighbour allows for each first attempt, or zero without a document.
func (n *Node) retryRatio(neighbour string) float64 {
	current := n.currentDocument()
	if current == nil {
		return 0
	}
	return current.NeighbourRetryRatio(neighbour)
}
