package relayer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// replicasByDistance returns the names of the replicas in the order in which this node asks them: itself, those of its data centre,
// of its region, and the others. The order at the same distance differs between nodes, so that each replica gets its share of
// the questions.
func (n *Node) replicasByDistance(value *replicator.Value) []string {
	distances := make(map[string]int, len(value.Replicas))
	names := make([]string, 0, len(value.Replicas))
	for _, replica := range value.Replicas {
		distances[replica.VM] = n.distanceTo(replica.VM)
		names = append(names, replica.VM)
	}
	order := func(name string) uint64 { return xxhash.Sum64String(n.settings.Name + name) }
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(distances[a], distances[b]), cmp.Compare(order(a), order(b)))
	})
	return names
}

// distanceTo returns how far away a member is: zero for the node itself.
func (n *Node) distanceTo(name string) int {
	m, ok := n.gossiper.Member(name)
	switch {
	case name == n.settings.Name:
		return 0
	case ok && m.DataCentre == n.settings.DataCentre:
		return 1
	case ok && m.Region == n.settings.Region:
		return 2
	default:
		return 3
	}
}
