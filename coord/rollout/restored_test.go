package rollout

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a restored store that takes changes back, and against later changes that are ignored, as their
// revisions were given out before.
func TestRestoredStoreTakesNothingBack(t *testing.T) {
	for lost := range 4 {
		for written := range 7 {
			for _, restarts := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d changes lost, %d written before it is read, an instance restarts: %t", lost, written, restarts), func(t *testing.T) {
					sim := newSimulation(t, 5)
					accepted := 0
					accept := func(n int) {
						for range n {
							accepted++
							sim.accept(Change{Services: []ServiceTemplate{service(fmt.Sprint("s", accepted), accepted)}})
						}
					}
					accept(3)
					sim.runSteps(20)
					saved := sim.save()
					accept(lost)
					sim.runSteps(20)
					sim.requireConverged()
					sim.restore(saved)
					accept(written)
					if restarts {
						sim.restart(0)
					}
					sim.runSteps(60)
					sim.requireConverged()
					accept(1)
					sim.runSteps(20)
					sim.requireConverged()
					for i, m := range sim.machines {
						for n := 1; n <= accepted; n++ {
							if s := m.Current().Services[service(fmt.Sprint("s", n), n).Name]; s.FloorSlots != n {
								t.Errorf("machine %d at revision %d lacks change %d of %d", i, m.revision(), n, accepted)
							}
						}
					}
				})
			}
		}
	}
}

// Restorations, restarts, cuts and outages in any order: no instance goes back, each applies accepted configurations
// only, and all have the store's in the end.
func TestMachinesConvergeAfterRestorations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 6).Draw(t, "machines")
		sim := newSimulation(t, size)
		randomMachine := func(t *rapid.T) int { return rapid.IntRange(0, size-1).Draw(t, "machine") }
		accepted := 0
		saved := sim.save()
		t.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) {
				accepted++
				sim.accept(Change{Services: []ServiceTemplate{service(fmt.Sprint("s", accepted%7), accepted%10)}})
			},
			"save":    func(*rapid.T) { saved = sim.save() },
			"restore": func(*rapid.T) { sim.restore(saved) },
			"restart": func(t *rapid.T) { sim.restart(randomMachine(t)) },
			"cut":     func(t *rapid.T) { sim.blocked[[2]int{randomMachine(t), randomMachine(t)}] = true },
			"heal":    func(*rapid.T) { clear(sim.blocked) },
			"away":    func(t *rapid.T) { sim.storeDown[randomMachine(t)] = true },
			"back":    func(*rapid.T) { clear(sim.storeDown) },
			"lost":    func(*rapid.T) { sim.inFlight = nil },
			"doubled": func(*rapid.T) { sim.inFlight = append(sim.inFlight, sim.inFlight...) },
			"step":    func(t *rapid.T) { sim.runSteps(rapid.IntRange(1, 12).Draw(t, "steps")) },
		})
		clear(sim.blocked)
		clear(sim.storeDown)
		sim.runSteps(3 * pollSteps)
		sim.requireConverged()
		sim.accept(Change{Services: []ServiceTemplate{service("last", 3)}})
		sim.runSteps(40)
		sim.requireConverged()
		for i, m := range sim.machines {
			if d := Diff(sim.config, m.Current()); len(d) > 0 {
				t.Fatalf("machine %d differs from the store: %v", i, d[0])
			}
		}
	})
}
