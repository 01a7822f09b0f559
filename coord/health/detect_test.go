package health

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

const settleTime = 10 * time.Second

func TestUnhealthyEndpointIsEjected(t *testing.T) {
	for name, unhealthy := range map[string]behaviour{
		"failing 10%": {failing: 0.1, slow: 1}, "failing 30%": {failing: 0.3, slow: 1}, "failing 100%": {failing: 1, slow: 1},
		"slow 3x": {slow: 3}, "slow 10x": {slow: 10},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(1, 7, 12, 12, 30)
			h.run(settleTime, nil)
			h.behave = func(e int, _ fleet.Zone) behaviour {
				if e == 2 {
					return unhealthy
				}
				return healthy
			}
			took := h.run(time.Minute, func() bool { return h.outCount(2) == 12 })
			t.Logf("out of service after %v", took)
			if h.outCount(2) != 12 || h.anyOutExcept(2) {
				t.Fatalf("endpoint 2 is out at %d of 12 carriers; another is out: %v", h.outCount(2), h.anyOutExcept(2))
			}
		})
	}
}

func TestSharedFailureEjectsNoEndpoint(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		degraded := behaviour{
			failing: rapid.SampledFrom([]float64{0.002, 0.1, 0.3, 1}).Draw(rt, "failing"),
			slow:    rapid.SampledFrom([]float64{1, 3, 10}).Draw(rt, "slow"),
		}
		onlyZone := rapid.SampledFrom([]fleet.Zone{"", "", "a", "b"}).Draw(rt, "only zone")
		h := newHarness(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 12).Draw(rt, "endpoints"), rapid.IntRange(1, 12).Draw(rt, "carriers"), 0, 20)
		h.run(settleTime, nil)
		h.behave = func(_ int, z fleet.Zone) behaviour {
			if onlyZone != "" && z != onlyZone {
				return healthy
			}
			return degraded
		}
		h.run(settleTime, func() bool { return h.anyOutExcept(-1) })
		if h.anyOutExcept(-1) {
			rt.Fatalf("failure %+v of all endpoints ejected one", degraded)
		}
	})
}

func TestOneCarrierWithFalseReportsEjectsNoEndpoint(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		carriers := rapid.IntRange(2, 12).Draw(rt, "carriers")
		falseReporter := rapid.IntRange(0, carriers-1).Draw(rt, "false reporter")
		target := rapid.IntRange(0, 6).Draw(rt, "endpoint")
		slow := rapid.Bool().Draw(rt, "slow")
		count := rapid.Uint32Range(1, 200).Draw(rt, "count")
		h := newHarness(rapid.Uint64().Draw(rt, "seed"), 7, carriers, 0, 20)
		h.run(settleTime, nil)
		h.tamper = func(i int, e *Evidence) {
			if i != falseReporter {
				return
			}
			falseReport := Report{Endpoint: KeyOf(endpointName(target)), Requests: count, Failures: count}
			if slow {
				falseReport.Failures = 0
				falseReport.Latency = []byte{120, uint8(count)}
			}
			e.Reports = []Report{falseReport}
		}
		zone := h.carriers[falseReporter].self.Zone
		carriersInZone := 0
		for _, c := range h.carriers {
			if c.self.Zone == zone {
				carriersInZone++
			}
		}
		h.run(settleTime, nil)
		for i, c := range h.carriers {
			state := c.View(h.now)[target].State
			if state != StateInService && (carriersInZone > 1 || c.self.Zone != zone) {
				rt.Fatalf("carrier %d of %d has the endpoint in state %d because of false reports from carrier %d", i, carriers, state, falseReporter)
			}
		}
	})
}

func TestEndpointUnreachableFromZoneIsAvoidedThere(t *testing.T) {
	h := newHarness(3, 7, 12, 12, 30)
	h.run(settleTime, nil)
	h.behave = func(e int, z fleet.Zone) behaviour {
		if e == 2 && z == "b" {
			return behaviour{failing: 1, slow: 1}
		}
		return healthy
	}
	h.run(10*time.Second, nil)
	for _, c := range h.carriers {
		want := StateInService
		if c.self.Zone == "b" {
			want = StateAvoided
		}
		if got := c.View(h.now)[2].State; got != want {
			t.Errorf("carrier %s in zone %s: state %d, want %d", c.self.Ref, c.self.Zone, got, want)
		}
	}
}

func TestEndpointReturnsAfterTrialsAndHoldGrows(t *testing.T) {
	h := newHarness(4, 7, 12, 12, 30)
	unhealthy := true
	h.behave = func(e int, _ fleet.Zone) behaviour {
		if e == 2 && unhealthy {
			return behaviour{failing: 1, slow: 1}
		}
		return healthy
	}
	h.run(settleTime, nil)
	if h.outCount(2) == 0 {
		t.Fatal("unhealthy endpoint is in service")
	}
	held := h.run(10*time.Minute, func() bool {
		for _, d := range h.evaluator.Transitions() {
			if d.Action == ActionRelapse && d.Hold >= 40*time.Second {
				return true
			}
		}
		return false
	})
	if held == 10*time.Minute {
		t.Fatal("hold time did not grow to 40 s")
	}
	unhealthy = false
	h.run(5*time.Minute, func() bool { return h.outCount(2) == 0 })
	if h.outCount(2) != 0 {
		t.Fatal("healthy endpoint did not return")
	}
}

func TestLosingContactRestoresEndpoints(t *testing.T) {
	h := newHarness(5, 7, 12, 12, 30)
	h.behave = func(e int, _ fleet.Zone) behaviour {
		if e == 2 {
			return behaviour{failing: 1, slow: 1}
		}
		return healthy
	}
	h.run(settleTime, nil)
	if h.outCount(2) != 12 {
		t.Fatalf("unhealthy endpoint is out at %d of 12 carriers", h.outCount(2))
	}
	h.now = h.now.Add(DefaultConfig().Lease)
	if h.outCount(2) != 0 {
		t.Fatalf("without contact the endpoint is out at %d carriers", h.outCount(2))
	}
}

func TestFloorKeepsOneOfTwoUnhealthyEndpoints(t *testing.T) {
	h := newHarness(6, 7, 12, 18, 30) // The floor lets one endpoint of three slots be ejected.
	h.behave = func(e int, _ fleet.Zone) behaviour {
		if e == 2 || e == 4 {
			return behaviour{failing: 1, slow: 1}
		}
		return healthy
	}
	h.run(settleTime, nil)
	if (h.outCount(2) == 12) == (h.outCount(4) == 12) {
		t.Fatalf("endpoints 2 and 4 are out at %d and %d carriers, want one of them at 12", h.outCount(2), h.outCount(4))
	}
	atFloor := 0
	for _, v := range h.evaluator.Explain(h.now) {
		if v.AtFloor {
			atFloor++
		}
	}
	if atFloor != 1 {
		t.Fatalf("%d endpoints are kept in service by the floor, want 1", atFloor)
	}
}
