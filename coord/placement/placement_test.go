package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// instancesIn returns count instances that are assigned to the zones in turn. A region has
// up to three zones.
func instancesIn(count, zones int) []fleet.Instance {
	list := make([]fleet.Instance, count)
	for i := range list {
		z := i % zones
		list[i] = fleet.Instance{
			Ref:    fleet.Ref{ID: fleet.InstanceID(fmt.Sprintf("10.0.%d.%d", i/250, i%250)), Incarnation: 1},
			Zone:   fleet.Zone(fmt.Sprintf("z%d", z)),
			Region: fleet.Region(fmt.Sprintf("r%d", z/3)),
		}
	}
	return list
}

func drawInstances(t *rapid.T) []fleet.Instance {
	zones := rapid.IntRange(1, 5).Draw(t, "zones")
	count := rapid.IntRange(1, 60).Draw(t, "count")
	list := make([]fleet.Instance, count)
	for i := range list {
		z := rapid.IntRange(0, zones-1).Draw(t, "zone")
		list[i] = fleet.Instance{
			Ref:    fleet.Ref{ID: fleet.InstanceID(fmt.Sprintf("i%d", i)), Incarnation: 1},
			Zone:   fleet.Zone(fmt.Sprintf("z%d", z)),
			Region: fleet.Region(fmt.Sprintf("r%d", z/3)),
		}
	}
	return list
}

func refSet(list []fleet.Instance) map[fleet.Ref]bool {
	set := make(map[fleet.Ref]bool)
	for _, i := range list {
		set[i.Ref] = true
	}
	return set
}

func zoneCounts(list []fleet.Instance) map[fleet.Zone]int {
	counts := make(map[fleet.Zone]int)
	for _, i := range list {
		counts[i.Zone]++
	}
	return counts
}

func TestCarriersAreZoneBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawInstances(t)
		want := rapid.IntRange(1, 20).Draw(t, "carriers")
		service := fleet.Service(rapid.StringMatching("[a-z]{1,8}").Draw(t, "service"))
		m := NewMap(all)
		carriers := m.Carriers(service, want)
		if len(carriers) != min(want, len(all)) || len(refSet(carriers)) != len(carriers) {
			t.Fatalf("%d carriers, %d distinct, want %d of %d", len(carriers), len(refSet(carriers)), want, len(all))
		}
		got, sizes := zoneCounts(carriers), zoneCounts(all)
		for a := range sizes {
			for b := range sizes {
				if got[a]+1 < got[b] && got[a] < sizes[a] {
					t.Fatalf("zone %s has %d of %d, zone %s has %d", a, got[a], sizes[a], b, got[b])
				}
			}
		}
	})
}

func TestDepartureMovesOnlyItsServices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawInstances(t)
		removed := all[rapid.IntRange(0, len(all)-1).Draw(t, "removed")]
		remaining := slices.DeleteFunc(slices.Clone(all), func(i fleet.Instance) bool { return i.Ref == removed.Ref })
		before, after := NewMap(all), NewMap(remaining)
		for k := range 20 {
			checkDeparture(t, before, after, removed, fleet.Service(fmt.Sprintf("s%d", k)), len(remaining) > 0 && sameZones(all, remaining))
		}
	})
}

func sameZones(a, b []fleet.Instance) bool {
	return len(zoneCounts(a)) == len(zoneCounts(b))
}

// checkDeparture compares the placement of a service before and after one instance is removed.
// zoneStays is false when the removed instance was the last one of its zone.
func checkDeparture(t *rapid.T, before, after *Map, removed fleet.Instance, s fleet.Service, zoneStays bool) {
	carriersBefore, carriersAfter := refSet(before.Carriers(s, 6)), refSet(after.Carriers(s, 6))
	if !carriersBefore[removed.Ref] && zoneStays {
		for r := range carriersBefore {
			if !carriersAfter[r] {
				t.Fatalf("service %s: carrier %v was replaced when %v left, which was no carrier", s, r, removed.Ref)
			}
		}
	}
	added := 0
	for r := range carriersAfter {
		if !carriersBefore[r] {
			added++
		}
	}
	if carriersBefore[removed.Ref] && zoneStays && added > 1 {
		t.Fatalf("service %s has %d new carriers after one departure, want at most 1", s, added)
	}
	evaluatorBefore, _ := before.Evaluator(s)
	evaluatorAfter, ok := after.Evaluator(s)
	if ok && evaluatorBefore.Ref != removed.Ref && evaluatorBefore.Ref != evaluatorAfter.Ref {
		t.Fatalf("service %s: evaluator moved from %v to %v when %v left", s, evaluatorBefore.Ref, evaluatorAfter.Ref, removed.Ref)
	}
}

func TestOrderOfInstancesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawInstances(t)
		shuffled := rapid.Permutation(all).Draw(t, "order")
		a, b := NewMap(all), NewMap(shuffled)
		if !slices.Equal(a.Carriers("s", 7), b.Carriers("s", 7)) {
			t.Fatal("carriers depend on the order of the instances")
		}
		if !slices.Equal(a.Entries("s", "a", "z0", 7, 3), b.Entries("s", "a", "z0", 7, 3)) {
			t.Fatal("entries depend on the order of the instances")
		}
	})
}

func TestWitnessIsInAnotherZoneOfTheRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMap(drawInstances(t))
		account := fleet.Account(rapid.StringMatching("[a-z]{1,8}").Draw(t, "account"))
		near := fleet.Zone(rapid.SampledFrom([]string{"", "z0", "z1", "z4"}).Draw(t, "near"))
		home, witness, ok := m.HomeAndWitnessNear("s", account, near, 6)
		if !ok {
			t.Fatal("no home was returned")
		}
		carriers := m.Carriers("s", 6)
		if first := m.Entries("s", account, near, 6, 1); first[0] != home {
			t.Fatalf("home %v is not the first entry %v", home.Ref, first[0].Ref)
		}
		if witness.Ref.IsZero() {
			if len(carriers) > 1 {
				t.Fatalf("no witness among %d carriers", len(carriers))
			}
			return
		}
		sameRegion, otherZone := false, false
		for _, c := range carriers {
			if c.Ref != home.Ref && c.Region == home.Region {
				sameRegion = true
				otherZone = otherZone || c.Zone != home.Zone
			}
		}
		if sameRegion && witness.Region != home.Region {
			t.Fatalf("witness %v is in another region than home %v", witness, home)
		}
		if otherZone && witness.Zone == home.Zone {
			t.Fatalf("witness %v is in the zone of home %v", witness, home)
		}
	})
}

func TestOneInstanceHasNoWitness(t *testing.T) {
	home, witness, ok := NewMap(instancesIn(1, 1)).HomeAndWitness("s", "a", 6)
	if !ok || home.Ref.IsZero() || !witness.Ref.IsZero() {
		t.Fatalf("home %v, witness %v, ok %v", home.Ref, witness.Ref, ok)
	}
	if _, _, ok := NewMap(nil).HomeAndWitness("s", "a", 6); ok {
		t.Fatal("a home was returned without instances")
	}
}

func TestRestartKeepsPlacement(t *testing.T) {
	all := instancesIn(12, 3)
	before := NewMap(all).Carriers("s", 4)
	restarted := slices.Clone(all)
	for i := range restarted {
		restarted[i].Ref.Incarnation = 9
	}
	for i, c := range NewMap(restarted).Carriers("s", 4) {
		if c.Ref.ID != before[i].Ref.ID {
			t.Fatalf("carrier %d moved from %v to %v", i, before[i].Ref, c.Ref)
		}
	}
}

func TestHighestIncarnationIsUsed(t *testing.T) {
	all := instancesIn(2, 1)
	old := all[0]
	all[0].Ref.Incarnation = 5
	m := NewMap([]fleet.Instance{old, all[0], all[1]})
	if m.Len() != 2 || m.Instances()[0].Ref.Incarnation != 5 {
		t.Fatalf("instances %v", m.Instances())
	}
}

func TestWatchersAreInTheirZone(t *testing.T) {
	m := NewMap(instancesIn(44, 3))
	for _, z := range m.Zones() {
		watchers := m.Watchers(z, 2)
		if len(watchers) != 2 || watchers[0].Zone != z || watchers[1].Zone != z {
			t.Fatalf("zone %s: watchers %v", z, watchers)
		}
	}
	if m.Watchers("elsewhere", 2) != nil {
		t.Fatal("watchers were returned for a zone without instances")
	}
}
