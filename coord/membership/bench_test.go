package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// fleetSizes are the sizes at which the growth of costs with the fleet is measured.
var fleetSizes = []struct{ instances, zones int }{{12, 3}, {24, 3}, {44, 3}, {202, 5}, {405, 5}, {810, 5}}

// report reports a simulation's totals since resetCounts per instance and second.
func report(b *testing.B, sim *simulation, size, seconds int) {
	per := float64(size * seconds)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/per/1000, "µs/instance/s")
	b.ReportMetric(float64(sim.messages)/per, "messages/instance/s")
	b.ReportMetric(float64(sim.encodedBytes)/per, "bytes/instance/s")
	b.ReportMetric(float64(sim.reads+2*sim.writes)/float64(seconds), "store-calls/s")
}

func (sim *simulation) resetCounts() {
	sim.messages, sim.encodedBytes, sim.reads, sim.writes = 0, 0, 0, 0
}

// BenchmarkIdle simulates seconds of an idle fleet, with messages encoded and decoded.
func BenchmarkIdle(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("instances=%d", size.instances), func(b *testing.B) {
			sim := newSimulation(b, size.instances, size.zones)
			sim.encode = true
			sim.runFor(3 * time.Second)
			sim.resetCounts()
			seconds := 0
			for b.Loop() {
				sim.runFor(time.Second)
				seconds++
			}
			report(b, sim, size.instances, seconds)
		})
	}
}

// BenchmarkChurn replaces one instance, without an announcement of its crash, every ten seconds
// of virtual time, so that the figures include the whole cost of a replacement. Churn in production
// is far slower: one replacement in 69 s at 810 instances.
func BenchmarkChurn(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("instances=%d", size.instances), func(b *testing.B) {
			sim := newSimulation(b, size.instances, size.zones)
			sim.encode = true
			sim.runFor(3 * time.Second)
			sim.resetCounts()
			seconds, next := 0, 0
			for b.Loop() {
				id := sim.ids[next%size.instances]
				next++
				again := sim.running[id].machine.Self()
				again.Ref.Incarnation++
				sim.start(again)
				sim.runFor(10 * time.Second)
				seconds += 10
			}
			report(b, sim, size.instances, seconds)
		})
	}
}

// BenchmarkZoneLoss crashes a whole zone and runs 15 s of virtual time.
func BenchmarkZoneLoss(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("instances=%d", size.instances), func(b *testing.B) {
			const seconds = 15
			rounds := 0
			var sim *simulation
			messages, encoded := 0, 0
			for b.Loop() {
				b.StopTimer()
				sim = newSimulation(b, size.instances, size.zones)
				sim.encode = true
				sim.runFor(3 * time.Second)
				sim.resetCounts()
				for i, id := range sim.ids {
					if i%size.zones == 0 {
						sim.running[id] = nil
					}
				}
				b.StartTimer()
				sim.runFor(seconds * time.Second)
				rounds++
				messages += sim.messages
				encoded += sim.encodedBytes
			}
			sim.messages, sim.encodedBytes = messages, encoded
			report(b, sim, size.instances, rounds*seconds)
		})
	}
}

// BenchmarkState reports the heap memory per machine at each size.
func BenchmarkState(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("instances=%d", size.instances), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				sim := newSimulation(b, size.instances, size.zones)
				sim.runFor(3 * time.Second)
				b.ReportMetric(float64(heap()-before)/float64(size.instances), "bytes/instance")
				runtime.KeepAlive(sim)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestOverlayDiameter checks how many hops a change needs to reach every instance.
func TestOverlayDiameter(t *testing.T) {
	for _, size := range fleetSizes {
		var list []fleet.Instance
		for i := range size.instances {
			list = append(list, instanceOf(i, size.zones))
		}
		o := newOverlay(list)
		maxHops, sum := 0, 0
		for _, i := range list {
			hops := maxHopsFrom(o, i.Ref, size.instances)
			maxHops = max(maxHops, hops)
			sum += hops
		}
		t.Logf("%d instances: at most %d hops, on average over sources %.2f", size.instances, maxHops, float64(sum)/float64(size.instances))
		if maxHops > 7 {
			t.Errorf("%d instances: %d hops", size.instances, maxHops)
		}
	}
}

// maxHopsFrom returns the number of hops to the farthest instance, or more than want when not all are reached.
func maxHopsFrom(o *overlay, from fleet.Ref, want int) int {
	reached := map[fleet.Ref]int{from: 0}
	queue := []fleet.Ref{from}
	last := 0
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		last = reached[at]
		for _, n := range o.neighboursOf(at) {
			if _, known := reached[n.Ref]; !known {
				reached[n.Ref] = last + 1
				queue = append(queue, n.Ref)
			}
		}
	}
	if len(reached) != want {
		return len(reached) + want
	}
	return last
}

// TestCrashDetectionTime measures the time until every instance considers a crashed one dead.
func TestCrashDetectionTime(t *testing.T) {
	for _, size := range fleetSizes[:3] {
		var longest, sum time.Duration
		const trials = 10
		for trial := range trials {
			sim := newSimulation(t, size.instances, size.zones)
			sim.runFor(3*time.Second + time.Duration(trial)*tick)
			id := sim.ids[trial]
			sim.running[id] = nil
			start := sim.now
			for !sim.allSeeDead(id) {
				sim.step()
				if sim.now.Sub(start) > time.Minute {
					t.Fatalf("%d instances: %s is not dead after a minute", size.instances, id)
				}
			}
			took := sim.now.Sub(start)
			longest = max(longest, took)
			sum += took
		}
		t.Logf("%d instances: mean %v, longest %v of %d crashes", size.instances, sum/trials, longest, trials)
	}
}

func (sim *simulation) allSeeDead(id fleet.InstanceID) bool {
	for i, other := range sim.ids {
		if sim.running[other] != nil && sim.status(i, id) != StatusDead {
			return false
		}
	}
	return true
}
