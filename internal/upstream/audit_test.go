package upstream

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestDrawKeepsShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := func(name string) float64 { return rapid.Float64Range(0, 0.25).Draw(rt, name) }
		f := Faults{FailShare: share("fail"), CutOffShare: share("cut"), GarbageShare: share("garbage"), SilentShare: share("silent")}
		const steps = 2000
		counts := map[ending]int{}
		for i := range steps {
			counts[f.draw(float64(i)/steps)]++
		}
		for end, want := range map[ending]float64{endFailed: f.FailShare, endCutOff: f.CutOffShare, endGarbage: f.GarbageShare, endSilent: f.SilentShare} {
			if got := float64(counts[end]) / steps; got < want-2.0/steps || got > want+2.0/steps {
				rt.Fatalf("ending %d: share %v, want %v", end, got, want)
			}
		}
	})
}

// TestAuditFindsEachBrokenPromise draws what was told and what ran, and counts by the definitions.
func TestAuditFindsEachBrokenPromise(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := NewRecorder(true)
		var beliefs []CallerResult
		want := Audit{}
		for i := range rapid.IntRange(0, 20).Draw(rt, "requests") {
			id := fmt.Sprint("r", i)
			b := CallerResult{ID: id, NonIdempotent: rapid.Bool().Draw(rt, "order"), Outcome: Outcome(rapid.IntRange(0, 3).Draw(rt, "told"))}
			starts := rapid.IntRange(0, 3).Draw(rt, "starts")
			for range starts {
				r.started(id, "a", b.NonIdempotent, Start{})
			}
			beliefs = append(beliefs, b)
			if b.Outcome == OutcomeNone || (b.Outcome == OutcomeAnswered && starts == 0) {
				want.Lost++
			}
			if b.Outcome == OutcomeNotRun && starts > 0 {
				want.FalseNotRun++
			}
			if b.NonIdempotent && starts > 1 {
				want.Duplicated++
			}
		}
		got := r.Audit(beliefs)
		if got.Lost != want.Lost || got.FalseNotRun != want.FalseNotRun || got.Duplicated != want.Duplicated || got.Requests != len(beliefs) {
			rt.Fatalf("audit %+v, want %+v", got, want)
		}
		if len(r.Summary().Duplicated) != want.Duplicated {
			rt.Fatalf("summary %+v, want %d doubled", r.Summary(), want.Duplicated)
		}
	})
}

func TestLastGapAfter(t *testing.T) {
	t0 := time.Now().Add(-time.Hour)
	e := &Endpoint{starts: []time.Time{t0.Add(-time.Second), t0.Add(time.Second), t0.Add(2 * time.Second), t0.Add(30 * time.Second)}}
	if gap, ended := e.TimeUntilQuiet(t0, 5*time.Second); gap != 2*time.Second || !ended {
		t.Fatalf("gap %v, ended %v", gap, ended)
	}
}
