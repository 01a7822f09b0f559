package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// checkedSimulation is a simulation that tracks which instances at least half of their
// neighbours could receive from at all times. These must never be evicted.
type checkedSimulation struct {
	*simulation
	mayBeEvicted     map[fleet.InstanceID]bool // At some time more than half of its neighbours could not receive from it.
	generation       map[fleet.InstanceID]uint64
	storedGeneration uint64
	overlay          *overlay // Of the stored roster; nil before the first check.
}

// checkInvariants updates mayBeEvicted and checks what must hold after every event.
func (sim *checkedSimulation) checkInvariants() {
	sim.t.Helper()
	if sim.overlay == nil || sim.storedGeneration != sim.store.Generation {
		sim.overlay = newOverlay(sim.store.Instances)
	}
	o := sim.overlay
	for _, i := range sim.store.Instances {
		if !sim.reachableByHalf(o, i.Ref) {
			sim.mayBeEvicted[i.Ref.ID] = true
		}
	}
	for _, id := range sim.ids {
		p := sim.running[id]
		if p == nil || p.superseded {
			continue
		}
		sim.checkView(id, p)
	}
	if sim.store.Generation < sim.storedGeneration {
		sim.t.Fatalf("stored generation fell from %d to %d", sim.storedGeneration, sim.store.Generation)
	}
	sim.storedGeneration = sim.store.Generation
}

func (sim *checkedSimulation) reachableByHalf(o *overlay, r fleet.Ref) bool {
	p := sim.running[r.ID]
	if p == nil || p.paused {
		return false
	}
	neighbours := o.neighboursOf(r)
	receiving := 0
	for _, n := range neighbours {
		q := sim.running[n.Ref.ID]
		if q != nil && !q.paused && !sim.blocked[[2]fleet.InstanceID{r.ID, n.Ref.ID}] {
			receiving++
		}
	}
	return 2*receiving >= len(neighbours)
}

func (sim *checkedSimulation) checkView(id fleet.InstanceID, p *process) {
	sim.t.Helper()
	m := p.machine
	if m.roster.Generation < sim.generation[id] {
		sim.t.Fatalf("%s went from generation %d to %d", id, sim.generation[id], m.roster.Generation)
	}
	sim.generation[id] = m.roster.Generation
	if p.rejoins > 0 && !sim.mayBeEvicted[id] {
		sim.t.Fatalf("%s was evicted although at least half of its neighbours could receive from it", id)
	}
	for _, member := range m.Members() {
		if member.Status == StatusDead && !sim.mayBeEvicted[member.Instance.Ref.ID] {
			sim.t.Fatalf("%s considers %v dead although at least half of its neighbours could receive from it", id, member.Instance.Ref)
		}
	}
}

func (sim *checkedSimulation) runTicks(t *rapid.T) {
	for range rapid.IntRange(1, 60).Draw(t, "ticks") {
		sim.step()
		sim.checkInvariants()
	}
}

func TestInstanceReachableByHalfIsNotEvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 14).Draw(t, "instances")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		sim := &checkedSimulation{simulation: newSimulation(t, size, zones), mayBeEvicted: map[fleet.InstanceID]bool{}, generation: map[fleet.InstanceID]uint64{}}
		sim.runFor(3 * time.Second)
		randomID := func(t *rapid.T) fleet.InstanceID { return rapid.SampledFrom(sim.ids).Draw(t, "instance") }
		next := size
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { sim.checkInvariants() },
			"cut": func(t *rapid.T) {
				sim.blocked[[2]fleet.InstanceID{randomID(t), randomID(t)}] = true
			},
			"mute": func(t *rapid.T) {
				from := randomID(t)
				for _, to := range sim.ids {
					if rapid.Bool().Draw(t, "cut") {
						sim.blocked[[2]fleet.InstanceID{from, to}] = true
					}
				}
			},
			"heal":  func(*rapid.T) { clear(sim.blocked) },
			"away":  func(*rapid.T) { sim.storeDown = true },
			"back":  func(*rapid.T) { sim.storeDown = false },
			"lose":  func(*rapid.T) { sim.loseNextReply = true },
			"pause": func(t *rapid.T) { sim.pause(randomID(t), true) },
			"wake":  func(t *rapid.T) { sim.pause(randomID(t), false) },
			"crash": func(t *rapid.T) {
				id := randomID(t)
				sim.mayBeEvicted[id] = true
				sim.running[id] = nil
			},
			"join": func(*rapid.T) {
				sim.start(instanceOf(next, zones))
				sim.mayBeEvicted[sim.ids[len(sim.ids)-1]] = false
				next++
			},
			"double": func(*rapid.T) { sim.inFlight = append(sim.inFlight, sim.inFlight...) },
			"late":   func(t *rapid.T) { sim.inFlight = rapid.Permutation(sim.inFlight).Draw(t, "order") },
			"walk":   sim.runTicks,
		})
		sim.recoverAndCheck()
	})
}

func (sim *checkedSimulation) pause(id fleet.InstanceID, paused bool) {
	if p := sim.running[id]; p != nil {
		p.paused = paused
		sim.mayBeEvicted[id] = true
	}
}

// sendPlatformList passes the platform's list of running instances to every machine.
func (sim *checkedSimulation) sendPlatformList() {
	var running []fleet.Instance
	for _, id := range sim.ids {
		if p := sim.running[id]; p != nil {
			running = append(running, p.machine.Self())
		}
	}
	for _, i := range running {
		sim.run(i.Ref.ID, sim.running[i.Ref.ID].machine.InstancesListed(sim.now, running))
	}
}

// recoverAndCheck ends every fault and requires that all machines converge.
func (sim *checkedSimulation) recoverAndCheck() {
	sim.t.Helper()
	clear(sim.blocked)
	sim.storeDown, sim.loseNextReply = false, false
	running := 0
	for _, id := range sim.ids {
		sim.pause(id, false)
		if sim.running[id] != nil {
			running++
		}
	}
	if running == 0 {
		return
	}
	sim.sendPlatformList()
	sim.runFor(3 * time.Minute)
	sim.requireConverged()
	sim.requireAllAlive()
}
