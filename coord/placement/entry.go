package placement

import "github.com/damaskcove/damaskcove/coord/fleet"

// Entries returns the instances that a client account's callers should use for a service,
// best first, count of them or all carriers there are. Carriers of the near zone come first, then
// those of its region, then the others; within each the account's own rank decides. Where the near
// zone has more callers than its carriers' share, some accounts get another zone of the region first.
func (m *Map) Entries(s fleet.Service, a fleet.Account, near fleet.Zone, carriers, count int) []fleet.Instance {
	ranked := m.entryOrder(s, a, near, carriers)
	return instancesOf(ranked[:min(max(count, 0), len(ranked))])
}

func (m *Map) entryOrder(s fleet.Service, a fleet.Account, near fleet.Zone, carriers int) []node {
	key := keyOf(saltEntry, hashName(string(s)), hashName(string(a)))
	set := m.carrierSet(s, carriers)
	region := m.regionOf(near)
	near = m.relieve(set, near, region, key)
	return rank(set.nodes, key, func(i *fleet.Instance) int {
		return distance(i, near, region)
	})
}

// HomeAndWitness returns the two instances that may run a client account's non-idempotent
// requests to a service. The witness is in another zone of the home's region; when that zone
// has no carrier it is in the home's own zone, then in another region. It is zero when there is
// no second carrier. ok is false when there is none at all.
func (m *Map) HomeAndWitness(s fleet.Service, a fleet.Account, carriers int) (home, witness fleet.Instance, ok bool) {
	return m.HomeAndWitnessNear(s, a, "", carriers)
}

// HomeAndWitnessNear is HomeAndWitness with the home that Entries names first for the near zone,
// which saves the hop from the entry to the home.
func (m *Map) HomeAndWitnessNear(s fleet.Service, a fleet.Account, near fleet.Zone, carriers int) (home, witness fleet.Instance, ok bool) {
	order := m.entryOrder(s, a, near, carriers)
	if len(order) == 0 {
		return fleet.Instance{}, fleet.Instance{}, false
	}
	home = order[0].instance
	key := keyOf(saltWitness, hashName(string(s)), hashName(string(a)))
	rest := rank(order[1:], key, func(i *fleet.Instance) int {
		return witnessClass(&home, i)
	})
	if len(rest) > 0 {
		witness = rest[0].instance
	}
	return home, witness, true
}

// witnessClass orders the witnesses of a home: the lowest is the best.
func witnessClass(home, candidate *fleet.Instance) int {
	switch {
	case candidate.Region != home.Region:
		return 2
	case candidate.Zone == home.Zone:
		return 1
	default:
		return 0
	}
}

// distance orders instances by how far they are from a zone: the lowest is the nearest.
func distance(i *fleet.Instance, near fleet.Zone, region fleet.Region) int {
	switch {
	case near == "" || i.Zone == near:
		return 0
	case region == "" || i.Region == region:
		return 1
	default:
		return 2
	}
}

// regionOf returns the region of a zone, or "" when no instance is there.
func (m *Map) regionOf(name fleet.Zone) fleet.Region {
	for _, z := range m.zones {
		if z.name == name {
			return z.nodes[0].instance.Region
		}
	}
	return ""
}
