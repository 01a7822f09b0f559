package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// instancesIn returns count instances spread over zones in turn, two zones or more to a region.
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

func refs(list []fleet.Instance) map[fleet.Ref]bool {
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
		if len(carriers) != min(want, len(all)) || len(refs(carriers)) != len(carriers) {
			t.Fatalf("%d carriers, %d distinct, want %d of %d", len(carriers), len(refs(carriers)), want, len(all))
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

func TestDepartureMovesOnlyItsOwnShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawInstances(t)
		gone := all[rapid.IntRange(0, len(all)-1).Draw(t, "gone")]
		left := slices.DeleteFunc(slices.Clone(all), func(i fleet.Instance) bool { return i.Ref == gone.Ref })
		before, after := NewMap(all), NewMap(left)
		for k := range 20 {
			checkDeparture(t, before, after, gone, fleet.Service(fmt.Sprintf("s%d", k)), len(left) > 0 && sameZones(all, left))
		}
	})
}

func sameZones(a, b []fleet.Instance) bool {
	return len(zoneCounts(a)) == len(zoneCounts(b))
}

func checkDeparture(t *rapid.T, before, after *Map, gone fleet.Instance, s fleet.Service, zoneStays bool) {
	was, is := refs(before.Carriers(s, 6)), refs(after.Carriers(s, 6))
	if !was[gone.Ref] && zoneStays {
		for r := range was {
			if !is[r] {
				t.Fatalf("%s lost carrier %v though %v did not carry it", s, r, gone.Ref)
			}
		}
	}
	added := 0
	for r := range is {
		if !was[r] {
			added++
		}
	}
	if was[gone.Ref] && zoneStays && added > 1 {
		t.Fatalf("%s gained %d carriers for one departure", s, added)
	}
	wasJudge, _ := before.Evaluator(s)
	isJudge, ok := after.Evaluator(s)
	if ok && wasJudge.Ref != gone.Ref && wasJudge.Ref != isJudge.Ref {
		t.Fatalf("%s: judge moved from %v to %v when %v left", s, wasJudge.Ref, isJudge.Ref, gone.Ref)
	}
}

func TestOrderOfInstancesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawInstances(t)
		shuffled := rapid.Permutation(all).Draw(t, "order")
		a, b := NewMap(all), NewMap(shuffled)
		if !slices.Equal(a.Carriers("s", 7), b.Carriers("s", 7)) {
			t.Fatal("carriers depend on the order")
		}
		if !slices.Equal(a.Entries("s", "a", "z0", 7, 3), b.Entries("s", "a", "z0", 7, 3)) {
			t.Fatal("entries depend on the order")
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
			t.Fatal("no home")
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
		t.Fatal("a home without instances")
	}
}

func TestRestartKeepsThePlace(t *testing.T) {
	all := instancesIn(12, 3)
	before := NewMap(all).Carriers("s", 4)
	again := slices.Clone(all)
	for i := range again {
		again[i].Ref.Incarnation = 9
	}
	for i, c := range NewMap(again).Carriers("s", 4) {
		if c.Ref.ID != before[i].Ref.ID {
			t.Fatalf("carrier %d moved from %v to %v", i, before[i].Ref, c.Ref)
		}
	}
}

func TestHighestIncarnationCounts(t *testing.T) {
	all := instancesIn(2, 1)
	old := all[0]
	all[0].Ref.Incarnation = 5
	m := NewMap([]fleet.Instance{old, all[0], all[1]})
	if m.Len() != 2 || m.Instances()[0].Ref.Incarnation != 5 {
		t.Fatalf("instances %v", m.Instances())
	}
}

func TestWatchersAreOfTheZone(t *testing.T) {
	m := NewMap(instancesIn(44, 3))
	for _, z := range m.Zones() {
		watchers := m.Watchers(z, 2)
		if len(watchers) != 2 || watchers[0].Zone != z || watchers[1].Zone != z {
			t.Fatalf("zone %s: watchers %v", z, watchers)
		}
	}
	if m.Watchers("elsewhere", 2) != nil {
		t.Fatal("watchers in a zone without instances")
	}
}
