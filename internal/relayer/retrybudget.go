package relayer

func (n *Node) retryRatio(neighbour string) float64 {
	current := n.current()
	if current == nil {
		return 0
	}
	for _, one := range current.Neighbours {
		if one.Name == neighbour {
			return one.RetryRatio
		}
	}
	return 0
}

const (
	// ownRetryBurst is how many retries a node saves where the document sets no slack.
	ownRetryBurst = 10
	// slackPart is the part of the deployment's slack that the nodes share out among themselves.
	slackPart = 0.6
)

// retryBurst returns how many retries the node may save up: its part of the deployment's slack.
func (n *Node) retryBurst() float64 {
	current := n.current()
	if current == nil || current.Budgets.RetrySlack == 0 {
		return ownRetryBurst
	}
	return max(1, slackPart*current.Budgets.RetrySlack/float64(max(1, n.router.Size())))
}
