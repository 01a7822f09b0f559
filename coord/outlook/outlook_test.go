package outlook

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var rates = Model{MeanHealthy: 21 * time.Second, MeanFailing: 9 * time.Second}

func TestOneFailureOutweighsASuccess(t *testing.T) {
	now := time.Unix(0, 0)
	e := New(rates, now)
	e.Observe(rates, now, Served)
	if p := e.At(rates, now); p < 0.9 {
		t.Errorf("after a success: %.2f", p)
	}
	e.Observe(rates, now, Failed)
	if p := e.At(rates, now); p > 0.4 {
		t.Errorf("after a success and a failure: %.2f", p)
	}
}

func TestKnowledgeGrowsOld(t *testing.T) {
	now := time.Unix(0, 0)
	for _, o := range []Outcome{Served, Failed} {
		e := New(rates, now)
		e.Observe(rates, now, o)
		if p := e.At(rates, now.Add(time.Hour)); math.Abs(p-rates.goodShare()) > 0.001 {
			t.Errorf("an hour after outcome %d: %.3f, want the long-run share %.3f", o, p, rates.goodShare())
		}
	}
}

func TestChanceStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		e := New(rates, now)
		for range rapid.IntRange(1, 200).Draw(t, "outcomes") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "gap")))
			e.Observe(rates, now, Outcome(rapid.IntRange(0, 6).Draw(t, "outcome")))
			if p := e.At(rates, now); !(p > 0 && p < 1) {
				t.Fatalf("chance %v", p)
			}
		}
	})
}

// The load that the package answers: an endpoint that fails nine requests in ten for
// seconds, several times a minute, while its health path says that all is well.
func TestEstimateIsCalibratedOverSpells(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(0, 0)
	e := New(rates, now)
	good := true
	var predicted, served [10]float64
	const step = 300 * time.Millisecond
	for range 400_000 {
		now = now.Add(step)
		stay := rates.MeanHealthy
		if !good {
			stay = rates.MeanFailing
		}
		if random.Float64() > math.Exp(-step.Seconds()/stay.Seconds()) {
			good = !good
		}
		p := e.At(rates, now)
		bin := min(int(p*10), 9)
		predicted[bin]++
		if good {
			served[bin]++
		}
		fails := 0.012
		if !good {
			fails = 0.9
		}
		o := Served
		if random.Float64() < fails {
			o = Failed
		}
		e.Observe(rates, now, o)
	}
	for bin, n := range predicted {
		if n < 2000 {
			continue
		}
		if share, center := served[bin]/n, (float64(bin)+0.5)/10; math.Abs(share-center) > 0.2 {
			t.Errorf("endpoints with a chance of about %.2f were good in %.2f of %0.f cases", center, share, n)
		}
	}
}
