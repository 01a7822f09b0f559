package placement

import (
	"cmp"
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// rankEntry is the index of a node in a slice and the values by which it is ranked.
type rankEntry struct {
	index int
	class int // Lowest first.
	score uint64
}

func compareRank(a, b rankEntry) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// topByScore returns the count nodes with the highest scores for key, highest first.
func topByScore(nodes []node, key uint64, count int) []node {
	best := make([]rankEntry, 0, min(max(count, 0), len(nodes))+1)
	for i := range nodes {
		s := rankEntry{index: i, score: score(key, nodes[i].hash)}
		if len(best) == cap(best)-1 {
			if len(best) == 0 || compareRank(best[len(best)-1], s) <= 0 {
				continue
			}
			best = best[:len(best)-1]
		}
		at, _ := slices.BinarySearchFunc(best, s, compareRank)
		best = slices.Insert(best, at, s)
	}
	return nodesAt(nodes, best)
}

// rank returns the nodes sorted by class, lowest first, and within a class by score for
// key, highest first.
func rank(nodes []node, key uint64, class func(*fleet.Instance) int) []node {
	order := make([]rankEntry, len(nodes))
	for i := range nodes {
		order[i] = rankEntry{index: i, class: class(&nodes[i].instance), score: score(key, nodes[i].hash)}
	}
	slices.SortFunc(order, compareRank)
	return nodesAt(nodes, order)
}

func nodesAt(nodes []node, order []rankEntry) []node {
	picked := make([]node, len(order))
	for k, s := range order {
		picked[k] = nodes[s.index]
	}
	return picked
}
