package placement

import (
	"fmt"
	"testing"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// maxOverMean is the maximum number of callers of one carrier, as a multiple of the mean.
const maxOverMean = 1.25

// maxCarrierLoad returns the largest number of callers of one carrier, as a multiple of the
// mean, when each caller uses its first entry.
func maxCarrierLoad(m *Map, s fleet.Service, carriers, callers int, near func(caller int) fleet.Zone) float64 {
	counts := make(map[fleet.Ref]int)
	for c := range callers {
		account := fleet.Account(fmt.Sprintf("account-%d", c))
		counts[m.Entries(s, account, near(c), carriers, 3)[0].Ref]++
	}
	largest := 0
	for _, n := range counts {
		largest = max(largest, n)
	}
	return float64(largest) * float64(len(m.Carriers(s, carriers))) / float64(callers)
}

func TestNoCarrierHasMoreThanItsShareOfCallers(t *testing.T) {
	noZone := func(int) fleet.Zone { return "" }
	zonesInTurn := func(zones int) func(int) fleet.Zone {
		return func(c int) fleet.Zone { return fleet.Zone(fmt.Sprintf("z%d", c%zones)) }
	}
	cases := []struct {
		instances, zones, carriers int
		near                       func(int) fleet.Zone
	}{
		{32, 3, 12, noZone}, {32, 3, 12, zonesInTurn(3)},
		{36, 3, 12, noZone}, {36, 3, 12, zonesInTurn(3)},
		{44, 3, 12, noZone}, {44, 3, 12, zonesInTurn(3)},
		{810, 5, 15, noZone}, {810, 5, 15, zonesInTurn(5)},
	}
	for _, c := range cases {
		m := NewMap(instancesIn(c.instances, c.zones))
		worst := 0.0
		for s := range 8 {
			service := fleet.Service(fmt.Sprintf("service-%d", s))
			got := maxCarrierLoad(m, service, c.carriers, 4000, c.near)
			worst = max(worst, got)
			if got > maxOverMean {
				t.Errorf("%d instances, %d zones, %d carriers, %s: %.3f times the mean, bound %.2f",
					c.instances, c.zones, c.carriers, service, got, maxOverMean)
			}
		}
		t.Logf("%d instances, %d zones, %d carriers, near %q: worst of 8 services %.3f times the mean",
			c.instances, c.zones, c.carriers, c.near(0), worst)
	}
}

func TestUnevenCallersSpillToOtherZones(t *testing.T) {
	shares := map[fleet.Zone]float64{"z0": 0.6, "z1": 0.3, "z2": 0.1}
	near := func(c int) fleet.Zone {
		switch {
		case c%10 < 6:
			return "z0"
		case c%10 < 9:
			return "z1"
		default:
			return "z2"
		}
	}
	m := NewMap(instancesIn(44, 3)).WithCallerShares(shares)
	for s := range 8 {
		service := fleet.Service(fmt.Sprintf("service-%d", s))
		if got := maxCarrierLoad(m, service, 12, 4000, near); got > maxOverMean {
			t.Errorf("service %s: %.3f times the mean, bound %.2f", service, got, maxOverMean)
		}
	}
}

// TestDepartureMovesOnlyItsCarriersAtScale checks that the departure of one instance creates
// no more new carriers than the number of services that it carried.
func TestDepartureMovesOnlyItsCarriersAtScale(t *testing.T) {
	for _, size := range []struct{ instances, zones int }{{44, 3}, {810, 5}} {
		all := instancesIn(size.instances, size.zones)
		before, after := NewMap(all), NewMap(all[1:])
		moved, vacated := 0, 0
		for s := range 270 {
			service := fleet.Service(fmt.Sprintf("service-%d", s))
			carriersBefore, carriersAfter := refSet(before.Carriers(service, 12)), refSet(after.Carriers(service, 12))
			if carriersBefore[all[0].Ref] {
				vacated++
			}
			for r := range carriersAfter {
				if !carriersBefore[r] {
					moved++
				}
			}
		}
		t.Logf("%d instances: the instance that left held %d of %d carrier places, %d moved", size.instances, vacated, 270*12, moved)
		if moved > vacated {
			t.Errorf("%d instances: %d carrier places moved, but the instance that left held %d", size.instances, moved, vacated)
		}
	}
}

// BenchmarkSpreadOfFewCallers reports the load of the most loaded carrier when there are few
// callers, which use their first entry only or all three in turn.
func BenchmarkSpreadOfFewCallers(b *testing.B) {
	m := NewMap(instancesIn(810, 5))
	for _, callers := range []int{292, 1000, 4000} {
		for _, used := range []int{1, 3} {
			worst, over := 0.0, 0
			const services = 40
			for s := range services {
				got := maxLoadOverEntries(m, fleet.Service(fmt.Sprintf("service-%d", s)), 15, callers, used)
				worst = max(worst, got)
				if got > maxOverMean {
					over++
				}
			}
			b.Logf("%d callers, %d entries used: worst %.3f times the mean, %d of %d services over %.2f",
				callers, used, worst, over, services, maxOverMean)
		}
	}
}

// maxLoadOverEntries is like maxCarrierLoad for callers without a zone, each of which spreads
// its requests over its first used entries.
func maxLoadOverEntries(m *Map, s fleet.Service, carriers, callers, used int) float64 {
	counts := make(map[fleet.Ref]int)
	for c := range callers {
		for _, e := range m.Entries(s, fleet.Account(fmt.Sprintf("account-%d", c)), "", carriers, used) {
			counts[e.Ref]++
		}
	}
	largest := 0
	for _, n := range counts {
		largest = max(largest, n)
	}
	return float64(largest) * float64(carriers) / float64(callers*used)
}
