package placement

import "github.com/damaskcove/damaskcove/coord/fleet"

// Entries returns the carriers to which an account's callers in zone near should send their
// requests for a service: at most count, the most preferred first. Carriers in zone near come
// first, then those in its region, then the others; within each group the rank of their hashes
// with the account decides. When zone near has more callers than its carriers' share, another
// zone of the region comes first for some accounts.
func (m *Map) Entries(s fleet.Service, a fleet.Account, near fleet.Zone, carriers, count int) []fleet.Instance {
	ranked := m.entryOrder(s, a, near, carriers)
	return instancesOf(ranked[:min(max(count, 0), len(ranked))])
}

func (m *Map) entryOrder(s fleet.Service, a fleet.Account, near fleet.Zone, carriers int) []node {
	key := keyOf(saltEntry, hashName(string(s)), hashName(string(a)))
	set := m.carrierSet(s, carriers)
	region := m.regionOf(near)
	near = m.preferredZone(set, near, region, key)
	return rank(set.nodes, key, func(i *fleet.Instance) int {
		return distance(i, near, region)
	})
}

// HomeAndWitness returns the two instances that may run a client account's non-idempotent
// requests to a service. The witness is a carrier in another zone of the home's region if
// there is one, otherwise in the home's own zone, otherwise in another region. It is zero
// when there is only one carrier. ok is false when there is none.
func (m *Map) HomeAndWitness(s fleet.Service, a fleet.Account, carriers int) (home, witness fleet.Instance, ok bool) {
	return m.HomeAndWitnessNear(s, a, "", carriers)
}

// HomeAndWitnessNear is like HomeAndWitness for callers in zone near. The home is the first of
// Entries for that zone, which saves the hop from the entry to the home.
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

// witnessClass returns the class of a candidate for a home's witness; the lowest is preferred.
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

// distance returns the class of an instance by its distance from a zone and the zone's
// region: 0 in the zone, 1 in the region, 2 elsewhere. It is 0 everywhere for an empty zone,
// and 1 everywhere outside the zone for an unknown region.
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

// regionOf returns the region of a zone, or "" when the zone has no instance.
func (m *Map) regionOf(name fleet.Zone) fleet.Region {
	for _, z := range m.zones {
		if z.name == name {
			return z.nodes[0].instance.Region
		}
	}
	return ""
}
