package membership

import (
	"cmp"
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/internal/mix"
)

// globalRings is the number of rings over the whole fleet. Together with the ring of its zone
// an instance is on globalRings+1 rings and has at most two neighbours on each.
const globalRings = 3

// overlay is the neighbour graph of one roster.
type overlay struct {
	neighbours map[fleet.Ref][]fleet.Instance
}

// newOverlay builds the rings. Each ring orders its instances by a differently salted hash of
// their IDs, so that one join or departure changes the neighbours of two instances on each ring.
func newOverlay(instances []fleet.Instance) *overlay {
	o := &overlay{neighbours: make(map[fleet.Ref][]fleet.Instance, len(instances))}
	zones := make(map[fleet.Zone][]fleet.Instance)
	for _, i := range instances {
		zones[i.Zone] = append(zones[i.Zone], i)
	}
	for _, members := range zones {
		o.addRing(members, 0)
	}
	for ring := range globalRings {
		o.addRing(slices.Clone(instances), uint64(ring)+1)
	}
	return o
}

func (o *overlay) addRing(ring []fleet.Instance, salt uint64) {
	position := make(map[fleet.InstanceID]uint64, len(ring))
	for _, i := range ring {
		position[i.Ref.ID] = mix.Mix(hashID(i.Ref.ID) ^ mix.Mix(salt))
	}
	slices.SortFunc(ring, func(a, b fleet.Instance) int {
		return cmp.Or(
			cmp.Compare(position[a.Ref.ID], position[b.Ref.ID]),
			cmp.Compare(a.Ref.ID, b.Ref.ID))
	})
	for k := range ring {
		o.connect(ring[k], ring[(k+1)%len(ring)])
	}
}

func (o *overlay) connect(a, b fleet.Instance) {
	if a.Ref == b.Ref {
		return
	}
	o.addNeighbour(a.Ref, b)
	o.addNeighbour(b.Ref, a)
}

func (o *overlay) addNeighbour(ref fleet.Ref, neighbour fleet.Instance) {
	for _, existing := range o.neighbours[ref] {
		if existing.Ref == neighbour.Ref {
			return
		}
	}
	o.neighbours[ref] = append(o.neighbours[ref], neighbour)
}

// neighboursOf returns the neighbours of an instance. Only they vote on it.
func (o *overlay) neighboursOf(r fleet.Ref) []fleet.Instance {
	return o.neighbours[r]
}

// adjacent reports whether two instances are neighbours.
func (o *overlay) adjacent(a, b fleet.Ref) bool {
	for _, n := range o.neighbours[a] {
		if n.Ref == b {
			return true
		}
	}
	return false
}
