package routing

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// TestNoAccountStarves floods a saturated service from some accounts. An account that
// submits one request at a time must be served within two rounds of the accounts' weights.
func TestNoAccountStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floods := rapid.IntRange(1, 5).Draw(t, "floods")
		perStep := rapid.IntRange(1, 10).Draw(t, "perStep")
		weight := rapid.IntRange(1, 3).Draw(t, "weight")
		weights := make(map[fleet.Account]int)
		names := []fleet.Account{"f0", "f1", "f2", "f3", "f4"}[:floods]
		for _, name := range names {
			weights[name] = weight
		}
		b := newTestBalancer(Config{QueueLimit: 12, AccountWeights: weights}, target(endpointA, 1, StateAvailable))
		id, running, quiet := uint64(0), uint64(0), uint64(0)
		submit := func(account fleet.Account) uint64 {
			id++
			for _, effect := range b.Submit(testStart, Request{ID: id, Account: account, Deadline: at(time.Hour)}) {
				switch e := effect.(type) {
				case Dispatch:
					running = e.ID
				case Reject:
					if e.ID == quiet && quiet != 0 {
						t.Fatalf("the quiet account's only request was shed")
					}
				}
			}
			return id
		}
		waited := 0
		for range 60 {
			for _, name := range names {
				for range perStep {
					submit(name)
				}
			}
			if quiet == 0 {
				quiet = id + 1
				submit("quiet")
				waited = 0
			}
			d := dispatches(b.Finish(testStart, running, 1, AttemptSucceeded, time.Millisecond))
			running = d[0].ID
			waited++
			if running == quiet {
				quiet = 0
			}
			if bound := 2 * (floods*weight + 1); waited > bound {
				t.Fatalf("the quiet account has waited for %d requests of others, bound %d", waited, bound)
			}
		}
	})
}

// TestFairQueueKeepsEveryRequest checks the queue against a plain list.
func TestFairQueueKeepsEveryRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newFairQueue()
		var waiting []*request
		drop := func(r *request) {
			waiting = slices.DeleteFunc(waiting, func(w *request) bool { return w == r })
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				r := &request{Request: Request{Account: fleet.Account(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "account"))}}
				q.push(r, rapid.Float64Range(1, 4).Draw(t, "weight"))
				waiting = append(waiting, r)
			},
			"serve": func(*rapid.T) {
				if r := q.peek(); r != nil {
					q.dequeue(r)
					drop(r)
				}
			},
			"remove": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				r := rapid.SampledFrom(waiting).Draw(t, "request")
				q.remove(r)
				drop(r)
			},
			"": func(t *rapid.T) {
				if q.count != len(waiting) || (q.peek() == nil) != (len(waiting) == 0) {
					t.Fatalf("the queue counts %d requests, want %d", q.count, len(waiting))
				}
				linked := 0
				for _, a := range q.active {
					for r := a.head; r != nil; r = r.next {
						linked++
					}
				}
				if linked != len(waiting) {
					t.Fatalf("the queue links %d requests, want %d", linked, len(waiting))
				}
			},
		})
	})
}

// TestLatencyQuantileIsWithinOneBucket checks the histogram against the sorted samples.
func TestLatencyQuantileIsWithinOneBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		micros := rapid.SliceOfN(rapid.Int64Range(0, int64(time.Hour/time.Microsecond)), latencyMinSamples, 200).Draw(t, "micros")
		l := latencyHistogram{quantile: 0.95}
		for _, m := range micros {
			l.add(testStart, time.Duration(m)*time.Microsecond)
		}
		l.refresh()
		slices.Sort(micros)
		exact := time.Duration(micros[int(0.95*float64(len(micros)))]) * time.Microsecond
		if l.upperQuantile <= exact || l.upperQuantile > exact+exact/8+time.Microsecond {
			t.Fatalf("quantile %v, exact %v", l.upperQuantile, exact)
		}
	})
}

func TestLatencyHistogramDropsOldWindows(t *testing.T) {
	l := latencyHistogram{quantile: 0.95}
	for range 100 {
		l.add(testStart, time.Second)
	}
	for range 100 {
		l.add(at(latencyWindow), time.Millisecond)
	}
	if l.upperQuantile < time.Second {
		t.Fatalf("the previous window was dropped: quantile %v", l.upperQuantile)
	}
	for range 100 {
		l.add(at(2*latencyWindow), time.Millisecond)
	}
	if l.upperQuantile > 2*time.Millisecond {
		t.Fatalf("the window before the previous one was kept: quantile %v", l.upperQuantile)
	}
	l.rotate(at(10 * latencyWindow))
	if l.samples() != 0 || l.upperQuantile != 0 {
		t.Fatalf("%d samples are left after a gap", l.samples())
	}
}
