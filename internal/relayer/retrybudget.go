package relayer

// retryRatio returns the retries that a neighbour allows for each first try.
func (n *Node) retryRatio(neighbour string) float64 {
	current := n.current()
	if current == nil {
		return 0
	}
	return current.RatioOf(neighbour)
}
