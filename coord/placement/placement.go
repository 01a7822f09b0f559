package placement

import (
	"cmp"
	"slices"
	"sync"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// node is an instance with the hash of its ID.
type node struct {
	instance fleet.Instance
	hash     uint64
}

// zone is one availability zone with its instances.
type zone struct {
	name  fleet.Zone
	hash  uint64
	nodes []node
}

// Map is the placement of services and accounts on one set of instances.
type Map struct {
	nodes        []node                 // Sorted by ID.
	zones        []zone                 // Sorted by name.
	callerShares map[fleet.Zone]float64 // Share of all callers in each zone; nil for equal shares.
	carriers     sync.Map               // Cache: carriersKey to *carrierSet.
	evaluators   sync.Map               // Cache: fleet.Service to fleet.Instance.
}

// carriersKey is the key of a cached carrierSet.
type carriersKey struct {
	service fleet.Service
	count   int
}

// carrierSet is the carriers of one service with their hashes.
type carrierSet struct {
	nodes     []node
	instances []fleet.Instance
	perZone   map[fleet.Zone]int
}

// NewMap returns the placement on the given instances, which should be alive and not
// leaving. Of several incarnations of one ID it uses the highest.
func NewMap(instances []fleet.Instance) *Map {
	m := &Map{nodes: nodesOf(instances)}
	byZone := make(map[fleet.Zone][]node)
	for _, n := range m.nodes {
		byZone[n.instance.Zone] = append(byZone[n.instance.Zone], n)
	}
	for name, nodes := range byZone {
		m.zones = append(m.zones, zone{name: name, hash: hashName(string(name)), nodes: nodes})
	}
	slices.SortFunc(m.zones, func(a, b zone) int { return cmp.Compare(a.name, b.name) })
	return m
}

func nodesOf(instances []fleet.Instance) []node {
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b fleet.Instance) int {
		if c := cmp.Compare(a.Ref.ID, b.Ref.ID); c != 0 {
			return c
		}
		return cmp.Compare(b.Ref.Incarnation, a.Ref.Incarnation)
	})
	sorted = slices.CompactFunc(sorted, func(a, b fleet.Instance) bool { return a.Ref.ID == b.Ref.ID })
	nodes := make([]node, len(sorted))
	for i, instance := range sorted {
		nodes[i] = node{instance: instance, hash: hashName(string(instance.Ref.ID))}
	}
	return nodes
}

// Len returns the number of instances.
func (m *Map) Len() int {
	return len(m.nodes)
}

// Instances returns the instances, sorted by ID.
func (m *Map) Instances() []fleet.Instance {
	return instancesOf(m.nodes)
}

// Carriers returns the instances that route a service's requests, at most count, in order
// of rank. The numbers of carriers in any two zones differ by at most one, unless the zone
// with fewer carriers has no more instances.
func (m *Map) Carriers(s fleet.Service, count int) []fleet.Instance {
	return m.carrierSet(s, count).instances
}

func (m *Map) carrierSet(s fleet.Service, count int) *carrierSet {
	key := carriersKey{service: s, count: count}
	if cached, ok := m.carriers.Load(key); ok {
		return cached.(*carrierSet)
	}
	nodes := m.pickCarriers(s, count)
	set := &carrierSet{nodes: nodes, instances: instancesOf(nodes), perZone: make(map[fleet.Zone]int)}
	for _, n := range nodes {
		set.perZone[n.instance.Zone]++
	}
	cached, _ := m.carriers.LoadOrStore(key, set)
	return cached.(*carrierSet)
}

func (m *Map) pickCarriers(s fleet.Service, count int) []node {
	service := hashName(string(s))
	key := keyOf(saltCarrier, service, 0)
	quotas := m.quotas(service, count)
	var picked []node
	for i, z := range m.zones {
		picked = append(picked, topByScore(z.nodes, key, quotas[i])...)
	}
	return topByScore(picked, key, len(picked))
}

// quotas returns the number of a service's carriers in each zone. Carriers are assigned to
// the zones in turn, in an order that depends on the service, until there are count carriers
// or no zone has an unused instance.
func (m *Map) quotas(service uint64, count int) []int {
	order := m.zoneOrder(service)
	quotas := make([]int, len(m.zones))
	remaining := min(count, len(m.nodes))
	for remaining > 0 {
		for _, i := range order {
			if remaining > 0 && quotas[i] < len(m.zones[i].nodes) {
				quotas[i]++
				remaining--
			}
		}
	}
	return quotas
}

func (m *Map) zoneOrder(service uint64) []int {
	key := keyOf(saltZone, service, 0)
	order := make([]int, len(m.zones))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(score(key, m.zones[b].hash), score(key, m.zones[a].hash))
	})
	return order
}

// Evaluator returns the instance that decides which endpoints of a service are in use, from
// the evidence of all carriers. It returns false when there are no instances.
func (m *Map) Evaluator(s fleet.Service) (fleet.Instance, bool) {
	if cached, ok := m.evaluators.Load(s); ok {
		return cached.(fleet.Instance), true
	}
	key := keyOf(saltEvaluator, hashName(string(s)), 0)
	best := topByScore(m.nodes, key, 1)
	if len(best) == 0 {
		return fleet.Instance{}, false
	}
	m.evaluators.Store(s, best[0].instance)
	return best[0].instance, true
}

// Watchers returns the instances of a zone that watch the platform's store, at most count.
func (m *Map) Watchers(z fleet.Zone, count int) []fleet.Instance {
	for _, candidate := range m.zones {
		if candidate.name == z {
			return instancesOf(topByScore(candidate.nodes, keyOf(saltWatcher, candidate.hash, 0), count))
		}
	}
	return nil
}

// Zones returns the sorted names of the zones that have instances.
func (m *Map) Zones() []fleet.Zone {
	names := make([]fleet.Zone, len(m.zones))
	for i, z := range m.zones {
		names[i] = z.name
	}
	return names
}

func instancesOf(nodes []node) []fleet.Instance {
	instances := make([]fleet.Instance, len(nodes))
	for i, n := range nodes {
		instances[i] = n.instance
	}
	return instances
}
