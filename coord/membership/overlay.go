package membership

import (
	"cmp"
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/internal/mix"
)

// globalRings is the number of rings over the whole fleet; with the zone's own ring an
// instance has at most twice as many neighbours as it is on rings.
const globalRings = 3

// overlay is who is whose neighbour, for one roster.
type overlay struct {
	neighbours map[fleet.Ref][]fleet.Instance
}

// newOverlay lays the rings. Each ring orders its instances by a hash of its own, so that
// one join or departure changes the neighbours of two instances on each ring.
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
		o.link(ring[k], ring[(k+1)%len(ring)])
	}
}

func (o *overlay) link(a, b fleet.Instance) {
	if a.Ref == b.Ref {
		return
	}
	o.add(a.Ref, b)
	o.add(b.Ref, a)
}

func (o *overlay) add(of fleet.Ref, neighbour fleet.Instance) {
	for _, known := range o.neighbours[of] {
		if known.Ref == neighbour.Ref {
			return
		}
	}
	o.neighbours[of] = append(o.neighbours[of], neighbour)
}

// of returns the neighbours of an instance; they alone vote on it.
func (o *overlay) of(r fleet.Ref) []fleet.Instance {
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
