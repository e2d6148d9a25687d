package relayer

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
)

const (
	// ratioPart and slackPart are the parts of the document's bound on repeats that nodes use. The rest is for
	// what they see later than callers and upstreams do, and for the shares of nodes that are cut off.
	ratioPart = 0.85
	slackPart = 0.75
	// minSharers bounds the share of a node that knows hardly any other.
	minSharers = 4
	// defaultRepeatWindow and defaultShare hold where the document sets no bound for all nodes together.
	defaultRepeatWindow = 10 * time.Second
	defaultShare        = 10
)

// repeatLimits returns what the upstream beside the node may get of repeats.
func (n *Node) repeatLimits() budgeter.RepeatLimits {
	document := n.current()
	if document == nil {
		return budgeter.RepeatLimits{Window: defaultRepeatWindow}
	}
	service := n.service()
	limits := budgeter.RepeatLimits{
		Ratio: ratioPart * document.RetryRatioOf(service), Share: defaultShare, Window: document.Budgets.RetryWindow.Std(),
	}
	if limits.Window == 0 {
		limits.Window = defaultRepeatWindow
	}
	if slack := document.Budgets.RetrySlack; slack > 0 {
		sharers := n.sharers.count(n.router.Count(service), limits.Window)
		limits.Share = slackPart * slack / float64(max(sharers, minSharers))
	}
	return limits
}

// retryRatio returns the retries that a neighbour allows for each first try.
func (n *Node) retryRatio(neighbour string) float64 {
	current := n.current()
	if current == nil {
		return 0
	}
	return current.RatioOf(neighbour)
}
