package rollout

import (
	"fmt"
	"testing"
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
