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

// Map answers who does what among one set of instances.
type Map struct {
	nodes    []node // Sorted by ID.
	zones    []zone // Sorted by name.
	callers  map[fleet.Zone]float64
	carriers sync.Map
	judges   sync.Map
}

// carriersKey names one cached answer of Carriers.
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

// NewMap returns the map of the instances that are alive and not leaving. Of several
// incarnations of one ID it takes the highest.
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

// Instances returns the instances in order of ID.
func (m *Map) Instances() []fleet.Instance {
	return instancesOf(m.nodes)
}

// Carriers returns the instances that route a service's requests, count of them or all
// there are, in order of rank. The numbers of any two zones differ by at most one, unless
// the smaller has no more instances.
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
		picked = append(picked, top(z.nodes, key, quotas[i])...)
	}
	return top(picked, key, len(picked))
}

// quotas returns how many carriers of a service each zone gives. Zones take turns in the
// service's own order of zones until count is reached or every zone is exhausted.
func (m *Map) quotas(service uint64, count int) []int {
	order := m.zoneOrder(service)
	quotas := make([]int, len(m.zones))
	left := min(count, len(m.nodes))
	for left > 0 {
		for _, i := range order {
			if left > 0 && quotas[i] < len(m.zones[i].nodes) {
				quotas[i]++
				left--
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

// Evaluator returns the instance that judges a service's endpoints. It is false without instances.
func (m *Map) Evaluator(s fleet.Service) (fleet.Instance, bool) {
	if cached, ok := m.judges.Load(s); ok {
		return cached.(fleet.Instance), true
	}
	key := keyOf(saltJudge, hashName(string(s)), 0)
	best := top(m.nodes, key, 1)
	if len(best) == 0 {
		return fleet.Instance{}, false
	}
	m.judges.Store(s, best[0].instance)
	return best[0].instance, true
}

// Watchers returns the instances of a zone that watch the platform's store, count of them
// or all there are.
func (m *Map) Watchers(z fleet.Zone, count int) []fleet.Instance {
	for _, candidate := range m.zones {
		if candidate.name == z {
			return instancesOf(top(candidate.nodes, keyOf(saltWatcher, candidate.hash, 0), count))
		}
	}
	return nil
}

// Zones returns the names of the zones that hold instances, sorted.
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
