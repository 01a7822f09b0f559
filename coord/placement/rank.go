package placement

import (
	"cmp"
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// scored is the place of a node in a slice, with what ranks it.
type scored struct {
	index int
	class int // Lowest first.
	score uint64
}

func compareScored(a, b scored) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// top returns the count nodes that score highest for key, best first.
func top(nodes []node, key uint64, count int) []node {
	best := make([]scored, 0, min(max(count, 0), len(nodes))+1)
	for i := range nodes {
		s := scored{index: i, score: score(key, nodes[i].hash)}
		if len(best) == cap(best)-1 {
			if len(best) == 0 || compareScored(best[len(best)-1], s) <= 0 {
				continue
			}
			best = best[:len(best)-1]
		}
		at, _ := slices.BinarySearchFunc(best, s, compareScored)
		best = slices.Insert(best, at, s)
	}
	return pick(nodes, best)
}

// rank returns the nodes by class, lowest first, and by score within a class.
func rank(nodes []node, key uint64, class func(*fleet.Instance) int) []node {
	order := make([]scored, len(nodes))
	for i := range nodes {
		order[i] = scored{index: i, class: class(&nodes[i].instance), score: score(key, nodes[i].hash)}
	}
	slices.SortFunc(order, compareScored)
	return pick(nodes, order)
}

func pick(nodes []node, order []scored) []node {
	picked := make([]node, len(order))
	for k, s := range order {
		picked[k] = nodes[s.index]
	}
	return picked
}
