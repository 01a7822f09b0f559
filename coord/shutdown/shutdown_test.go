package shutdown

import (
	"testing"
	"time"
)

func TestPlan(t *testing.T) {
	begin := time.Now()
	for name, tc := range map[string]struct {
		promises    Promises
		acceptUntil time.Duration // Since the begin of the stop.
		end         time.Duration
		admitAll    time.Duration
	}{
		"callers' addresses expire in half of the stop": {Promises{6 * time.Second, 700 * time.Millisecond}, 2450 * time.Millisecond, 5300 * time.Millisecond, 2100 * time.Millisecond},
		"usual":                               {Promises{6 * time.Second, time.Second}, 3500 * time.Millisecond, 5300 * time.Millisecond, 2300 * time.Millisecond},
		"callers' addresses outlive the stop": {Promises{6 * time.Second, 5 * time.Second}, 4500 * time.Millisecond, 5300 * time.Millisecond, 2300 * time.Millisecond},
		"short stop":                          {Promises{2 * time.Second, time.Second}, 1500 * time.Millisecond, 2*time.Second - 2*time.Second/6, time.Second - 2*time.Second/6},
		"very short stop":                     {Promises{600 * time.Millisecond, time.Second}, 450 * time.Millisecond, 500 * time.Millisecond, 200 * time.Millisecond},
		"long stop":                           {Promises{30 * time.Second, time.Second}, 3500 * time.Millisecond, 29300 * time.Millisecond, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPlan(Requested{begin, begin}, tc.promises)
			if got := p.AcceptUntil.Sub(begin); got != tc.acceptUntil {
				t.Errorf("accepts connections until %s, want %s", got, tc.acceptUntil)
			}
			if got := p.End.Sub(begin); got != tc.end {
				t.Errorf("ends at %s, want %s", got, tc.end)
			}
			for at := time.Duration(0); at < tc.promises.StopWithin; at += tc.promises.StopWithin / 60 {
				for left := time.Duration(0); left < 2*tc.promises.StopWithin; left += tc.promises.StopWithin / 60 {
					want := at < tc.admitAll || at+left <= tc.end
					if got := p.Admits(begin.Add(at), begin.Add(at+left)); got != want {
						t.Fatalf("at %s, %s left: admitted %v", at, left, got)
					}
				}
			}
		})
	}
}

// A request that may be cut off was read in the first half of the stop, also by the clock of one that sent
// the signal a little earlier, and has at least half of StopWithin.
func TestPlanKeepsItsBounds(t *testing.T) {
	begin := time.Now()
	for _, stopWithin := range []time.Duration{10 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second, 30 * time.Second, time.Hour} {
		for _, ttl := range []time.Duration{10 * time.Millisecond, time.Second, 5 * time.Second, time.Hour} {
			p := NewPlan(Requested{begin, begin}, Promises{stopWithin, ttl})
			if p.AcceptUntil.After(p.End) || p.End.After(begin.Add(stopWithin)) || p.AcceptUntil.Before(begin) {
				t.Errorf("stop_within %s, discovery_ttl %s: accepts until %s, ends at %s", stopWithin, ttl, p.AcceptUntil.Sub(begin), p.End.Sub(begin))
			}
			margin := begin.Add(stopWithin).Sub(p.End)
			for _, late := range []time.Time{begin.Add(stopWithin/2 - margin), p.End.Add(-stopWithin/2 + 1), begin.Add(stopWithin)} {
				if p.Admits(late, p.End.Add(1)) {
					t.Errorf("stop_within %s, discovery_ttl %s: a request read after %s is admitted though it may be cut off", stopWithin, ttl, late.Sub(begin))
				}
			}
			if !p.Admits(begin, begin.Add(time.Hour)) {
				t.Errorf("stop_within %s, discovery_ttl %s: a request read with the signal is rejected", stopWithin, ttl)
			}
		}
	}
}

// Requests taken on after a signal that took effect late were cut off by the SIGKILL that counts from its sending.
func TestPlanOfLateSignalCountsFromItsSending(t *testing.T) {
	sent := time.Now()
	p := Promises{6 * time.Second, time.Second}
	for late := time.Duration(0); late <= 8*time.Second; late += 100 * time.Millisecond {
		by := sent.Add(late)
		plan := NewPlan(Requested{After: sent, By: by}, p)
		onTime := NewPlan(Requested{After: sent, By: sent}, p)
		if plan.LastArrival != onTime.LastArrival || plan.endsBy != onTime.endsBy || plan.admitAllUntil != onTime.admitAllUntil {
			t.Errorf("%s late: requests arrive until %s, are all admitted until %s and end by %s", late, plan.LastArrival.Sub(sent), plan.admitAllUntil.Sub(sent), plan.endsBy.Sub(sent))
		}
		if !plan.LastArrival.Before(plan.End) {
			t.Errorf("%s late: no time is left for the last rejections", late)
		}
		want := by.Add(7 * p.DiscoveryTTL / 2)
		if late > maxMargin {
			want = by // The instance is starved.
		}
		if plan.AcceptUntil != want {
			t.Errorf("%s late: accepts until %s after the signal took effect", late, plan.AcceptUntil.Sub(by))
		}
		if plan.End != by.Add(onTime.End.Sub(sent)) {
			t.Errorf("%s late: ends %s after the signal took effect", late, plan.End.Sub(by))
		}
	}
}

// With a short stop_within each stop looked like that of a starved instance, which closes its door at once.
func TestUsualUncertaintyIsNotTakenForStarvation(t *testing.T) {
	for _, stopWithin := range []time.Duration{10 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, 6 * time.Second, time.Hour} {
		by := time.Now()
		plan := NewPlan(Requested{After: by.Add(-MaxUncertainty(stopWithin)), By: by}, Promises{stopWithin, time.Second})
		if !plan.AcceptUntil.After(by) || !plan.Admits(by, by.Add(time.Hour)) {
			t.Errorf("stop_within %s: accepts for %s", stopWithin, plan.AcceptUntil.Sub(by))
		}
	}
}

// A signal may have been sent since the last time at which there was none for certain.
func TestUnawareInstanceAdmitsWhatAnyStopSinceWouldAdmit(t *testing.T) {
	clear := time.Now()
	p := Promises{6 * time.Second, time.Second}
	plan := NewPlan(Requested{After: clear, By: clear}, p)
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
		for left := time.Duration(0); left < 6*time.Second; left += 500 * time.Millisecond {
			now := clear.Add(at)
			if got, want := AdmitsUnaware(clear, now, now.Add(left), p), plan.Admits(now, now.Add(left)); got != want {
				t.Fatalf("%s after, %s left: admitted %v", at, left, got)
			}
		}
	}
}
