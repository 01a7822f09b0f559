package upstream

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestDrawMatchesShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := func(name string) float64 { return rapid.Float64Range(0, 0.25).Draw(rt, name) }
		f := Faults{FailShare: share("fail"), CutOffShare: share("cut"), GarbageShare: share("garbage"), SilentShare: share("silent")}
		const steps = 2000
		counts := map[faultKind]int{}
		for i := range steps {
			counts[f.draw(float64(i)/steps)]++
		}
		for kind, want := range map[faultKind]float64{faultFail: f.FailShare, faultTruncate: f.CutOffShare, faultGarbage: f.GarbageShare, faultNoAnswer: f.SilentShare} {
			if got := float64(counts[kind]) / steps; got < want-2.0/steps || got > want+2.0/steps {
				rt.Fatalf("fault %d: share %v, want %v", kind, got, want)
			}
		}
	})
}

// Random outcomes and numbers of starts are counted as Audit's fields are defined.
func TestAuditCountsViolations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := NewRecorder(true)
		var results []CallerResult
		want := Audit{}
		for i := range rapid.IntRange(0, 20).Draw(rt, "requests") {
			id := fmt.Sprint("r", i)
			b := CallerResult{ID: id, NonIdempotent: rapid.Bool().Draw(rt, "order"), Outcome: Outcome(rapid.IntRange(0, 3).Draw(rt, "told"))}
			starts := rapid.IntRange(0, 3).Draw(rt, "starts")
			for range starts {
				r.started(id, "a", b.NonIdempotent, Start{})
			}
			results = append(results, b)
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
		got := r.Audit(results)
		if got.Lost != want.Lost || got.FalseNotRun != want.FalseNotRun || got.Duplicated != want.Duplicated || got.Requests != len(results) {
			rt.Fatalf("audit %+v, want %+v", got, want)
		}
		if len(r.Summary().Duplicated) != want.Duplicated {
			rt.Fatalf("summary %+v, want %d doubled", r.Summary(), want.Duplicated)
		}
	})
}

func TestTimeUntilQuiet(t *testing.T) {
	t0 := time.Now().Add(-time.Hour)
	e := &Endpoint{starts: []time.Time{t0.Add(-time.Second), t0.Add(time.Second), t0.Add(2 * time.Second), t0.Add(30 * time.Second)}}
	if elapsed, quiet := e.TimeUntilQuiet(t0, 5*time.Second); elapsed != 2*time.Second || !quiet {
		t.Fatalf("gap %v, ended %v", elapsed, quiet)
	}
}
