package placement

import (
	"maps"
	"math"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/internal/mix"
)

// zoneHeadroom is how far above its carriers' share of the callers a zone may be loaded.
const zoneHeadroom = 1.08

// WithCallerShares returns the map with each zone's share of the callers, of which the sum is 1.
// Without it every zone is taken to have the same share.
func (m *Map) WithCallerShares(shares map[fleet.Zone]float64) *Map {
	return &Map{nodes: m.nodes, zones: m.zones, callers: maps.Clone(shares)}
}

func (m *Map) callerShare(z fleet.Zone) float64 {
	if m.callers != nil {
		return m.callers[z]
	}
	return 1 / float64(len(m.zones))
}

// relieve returns the zone that an account's callers should prefer: near, or for some accounts
// another zone of its region with carriers to spare when near is over its share.
func (m *Map) relieve(set *carrierSet, near fleet.Zone, region fleet.Region, key uint64) fleet.Zone {
	if region == "" {
		return near
	}
	over := -m.spare(set, near)
	if over <= 0 {
		return near
	}
	spares, total := m.regionSpares(set, region)
	draw := float64(mix.Mix(key^saltZone)) / math.MaxUint64 * m.callerShare(near)
	if draw >= over || total <= 0 {
		return near
	}
	draw *= total / over
	for i, spare := range spares {
		if draw < spare {
			return m.zones[i].name
		}
		draw -= spare
	}
	return near
}

// spare returns the share of the callers that a zone's carriers can take beyond its own callers.
func (m *Map) spare(set *carrierSet, z fleet.Zone) float64 {
	capacity := zoneHeadroom * float64(set.perZone[z]) / float64(len(set.nodes))
	return capacity - m.callerShare(z)
}

// regionSpares returns the spare share of each zone of a region, and their sum.
func (m *Map) regionSpares(set *carrierSet, region fleet.Region) ([]float64, float64) {
	spares := make([]float64, len(m.zones))
	total := 0.0
	for i, z := range m.zones {
		if z.nodes[0].instance.Region != region {
			continue
		}
		spares[i] = max(m.spare(set, z.name), 0)
		total += spares[i]
	}
	return spares, total
}
