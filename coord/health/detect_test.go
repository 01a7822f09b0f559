package health

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

const settle = 10 * time.Second

func TestSickEndpointIsEjected(t *testing.T) {
	for name, sick := range map[string]behaviour{
		"failing 10%": {failing: 0.1, slow: 1}, "failing 30%": {failing: 0.3, slow: 1}, "failing 100%": {failing: 1, slow: 1},
		"slow 3x": {slow: 3}, "slow 10x": {slow: 10},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(1, 7, 12, 12, 30)
			b.run(settle, nil)
			b.behave = func(e int, _ fleet.Zone) behaviour {
				if e == 2 {
					return sick
				}
				return healthy
			}
			took := b.run(time.Minute, func() bool { return b.out(2) == 12 })
			t.Logf("out of service after %v", took)
			if b.out(2) != 12 || b.anyOut(2) {
				t.Fatalf("endpoint 2 is out at %d of 12 carriers; another is out: %v", b.out(2), b.anyOut(2))
			}
		})
	}
}

func TestCommonFaultEjectsNobody(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := behaviour{
			failing: rapid.SampledFrom([]float64{0.002, 0.1, 0.3, 1}).Draw(rt, "failing"),
			slow:    rapid.SampledFrom([]float64{1, 3, 10}).Draw(rt, "slow"),
		}
		only := rapid.SampledFrom([]fleet.Zone{"", "", "a", "b"}).Draw(rt, "only zone")
		b := newBench(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 12).Draw(rt, "endpoints"), rapid.IntRange(1, 12).Draw(rt, "carriers"), 0, 20)
		b.run(settle, nil)
		b.behave = func(_ int, z fleet.Zone) behaviour {
			if only != "" && z != only {
				return healthy
			}
			return fault
		}
		b.run(settle, func() bool { return b.anyOut(-1) })
		if b.anyOut(-1) {
			rt.Fatalf("a fault of all endpoints %+v ejected one", fault)
		}
	})
}

func TestOneLyingCarrierEjectsNobody(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		carriers := rapid.IntRange(2, 12).Draw(rt, "carriers")
		liar := rapid.IntRange(0, carriers-1).Draw(rt, "liar")
		target := rapid.IntRange(0, 6).Draw(rt, "endpoint")
		slow := rapid.Bool().Draw(rt, "slow")
		count := rapid.Uint32Range(1, 200).Draw(rt, "count")
		b := newBench(rapid.Uint64().Draw(rt, "seed"), 7, carriers, 0, 20)
		b.run(settle, nil)
		b.tamper = func(i int, e *Evidence) {
			if i != liar {
				return
			}
			lie := Report{Endpoint: KeyOf(endpointName(target)), Requests: count, Failures: count}
			if slow {
				lie.Failures = 0
				lie.Latency = []byte{120, uint8(count)}
			}
			e.Reports = []Report{lie}
		}
		zone := b.carriers[liar].self.Zone
		alone := 0
		for _, c := range b.carriers {
			if c.self.Zone == zone {
				alone++
			}
		}
		b.run(settle, nil)
		for i, c := range b.carriers {
			state := c.View(b.now)[target].State
			if state != StateOpen && (alone > 1 || c.self.Zone != zone) {
				rt.Fatalf("carrier %d of %d has the endpoint in state %d because carrier %d lies", i, carriers, state, liar)
			}
		}
	})
}

func TestZoneThatCannotReachAvoids(t *testing.T) {
	b := newBench(3, 7, 12, 12, 30)
	b.run(settle, nil)
	b.behave = func(e int, z fleet.Zone) behaviour {
		if e == 2 && z == "b" {
			return behaviour{failing: 1, slow: 1}
		}
		return healthy
	}
	b.run(10*time.Second, nil)
	for _, c := range b.carriers {
		want := StateOpen
		if c.self.Zone == "b" {
			want = StateAvoided
		}
		if got := c.View(b.now)[2].State; got != want {
			t.Errorf("carrier %s in zone %s: state %d, want %d", c.self.Ref, c.self.Zone, got, want)
		}
	}
}

func TestEndpointReturnsAfterTrialsAndHoldGrows(t *testing.T) {
	b := newBench(4, 7, 12, 12, 30)
	sick := true
	b.behave = func(e int, _ fleet.Zone) behaviour {
		if e == 2 && sick {
			return behaviour{failing: 1, slow: 1}
		}
		return healthy
	}
	b.run(settle, nil)
	if b.out(2) == 0 {
		t.Fatal("sick endpoint is in service")
	}
	held := b.run(10*time.Minute, func() bool {
		for _, d := range b.judge.Decisions() {
			if d.Action == ActionRelapse && d.Hold >= 40*time.Second {
				return true
			}
		}
		return false
	})
	if held == 10*time.Minute {
		t.Fatal("hold time did not grow to 40 s")
	}
	sick = false
	b.run(5*time.Minute, func() bool { return b.out(2) == 0 })
	if b.out(2) != 0 {
		t.Fatal("healthy endpoint did not return")
	}
}

func TestLosingContactRestoresEndpoints(t *testing.T) {
	b := newBench(5, 7, 12, 12, 30)
	b.behave = func(e int, _ fleet.Zone) behaviour {
		if e == 2 {
			return behaviour{failing: 1, slow: 1}
		}
		return healthy
	}
	b.run(settle, nil)
	if b.out(2) != 12 {
		t.Fatalf("sick endpoint is out at %d of 12 carriers", b.out(2))
	}
	b.now = b.now.Add(DefaultConfig().Lease)
	if b.out(2) != 0 {
		t.Fatalf("without contact the endpoint is out at %d carriers", b.out(2))
	}
}

func TestFloorHoldsBackTheLeastBad(t *testing.T) {
	b := newBench(6, 7, 12, 18, 30) // One endpoint of three slots may go.
	b.behave = func(e int, _ fleet.Zone) behaviour {
		if e == 2 || e == 4 {
			return behaviour{failing: 1, slow: 1}
		}
		return healthy
	}
	b.run(settle, nil)
	if (b.out(2) == 12) == (b.out(4) == 12) {
		t.Fatalf("endpoints 2 and 4 are out at %d and %d carriers, want one of them at 12", b.out(2), b.out(4))
	}
	atFloor := 0
	for _, v := range b.judge.Explain(b.now) {
		if v.AtFloor {
			atFloor++
		}
	}
	if atFloor != 1 {
		t.Fatalf("%d endpoints are held in service by the floor, want 1", atFloor)
	}
}
