package placement

import (
	"maps"
	"math"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/internal/mix"
)

// zoneHeadroom is the load allowed in a zone, as a multiple of its carriers' share of all callers.
const zoneHeadroom = 1.08

// WithCallerShares returns a copy of m that uses the given share of all callers in each
// zone. The shares sum to 1. A map from NewMap assumes equal shares.
func (m *Map) WithCallerShares(shares map[fleet.Zone]float64) *Map {
	return &Map{nodes: m.nodes, zones: m.zones, callerShares: maps.Clone(shares)}
}

func (m *Map) callerShare(z fleet.Zone) float64 {
	if m.callerShares != nil {
		return m.callerShares[z]
	}
	return 1 / float64(len(m.zones))
}

// preferredZone returns the zone whose carriers an account's callers in zone near should
// use first. It is near itself, unless near has more callers than its carriers can take.
// Then another zone of the region is returned for a share of the accounts that is as large
// as the overload, in proportion to the zones' spare shares. key, a hash of the service and
// the account, selects the accounts and their zones.
func (m *Map) preferredZone(set *carrierSet, near fleet.Zone, region fleet.Region, key uint64) fleet.Zone {
	if region == "" {
		return near
	}
	overload := -m.spareShare(set, near)
	if overload <= 0 {
		return near
	}
	spares, total := m.spareShares(set, region)
	draw := float64(mix.Mix(key^saltZone)) / math.MaxUint64 * m.callerShare(near)
	if draw >= overload || total <= 0 {
		return near
	}
	draw *= total / overload
	for i, spare := range spares {
		if draw < spare {
			return m.zones[i].name
		}
		draw -= spare
	}
	return near
}

// spareShare returns the share of all callers that a zone's carriers can take in addition to
// the callers in the zone. It is negative when the zone is overloaded.
func (m *Map) spareShare(set *carrierSet, z fleet.Zone) float64 {
	capacity := zoneHeadroom * float64(set.perZone[z]) / float64(len(set.nodes))
	return capacity - m.callerShare(z)
}

// spareShares returns the spareShare of each zone of a region, at least 0, and their sum.
// Zones are indexed as in m.zones; it is 0 for those of other regions.
func (m *Map) spareShares(set *carrierSet, region fleet.Region) ([]float64, float64) {
	spares := make([]float64, len(m.zones))
	total := 0.0
	for i, z := range m.zones {
		if z.nodes[0].instance.Region != region {
			continue
		}
		spares[i] = max(m.spareShare(set, z.name), 0)
		total += spares[i]
	}
	return spares, total
}
