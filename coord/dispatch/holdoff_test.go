package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An endpoint that wants no requests gets none of any kind until the time is over, and all of them afterwards.
func TestHoldOffHoldsForEveryRequest(t *testing.T) {
	for _, holdOff := range []time.Duration{time.Second, 2 * time.Second, 30 * time.Second} {
		list := endpoints(1)
		list[0].Slots = 40 // Room for the requests of all kinds.
		m := newMachine(list)
		m.HeldOff(start, list[0], start, holdOff)
		for name, change := range map[string]func(r *Request){
			"first attempt": func(*Request) {},
			"idempotent":    func(r *Request) { r.Idempotent = true },
			"retry":         func(r *Request) { r.Retry = true },
			"hedge":         func(r *Request) { r.Idempotent, r.Hedge = true, true },
		} {
			for at, want := range map[time.Duration]bool{0: false, holdOff - time.Millisecond: false, holdOff: true} {
				r := request(start.Add(at))
				change(&r)
				g, rejection := m.Acquire(start.Add(at), r)
				if got := rejection == nil; got != want {
					t.Errorf("%s, %s after a hold-off of %s: granted %v, want %v", name, at, holdOff, got, want)
				}
				if rejection == nil {
					m.Ended(start.Add(at), g.Endpoint.ID, EndedServed, 300*time.Millisecond)
				}
			}
		}
		if _, ok := m.Endpoint(start, list[0].ID); ok {
			t.Error("a broker's grant of the endpoint is accepted")
		}
		if got := m.ExcludedEndpoints(start, "orders", 4); len(got) != 1 {
			t.Errorf("brokers are asked to leave out %v", got)
		}
	}
}

func TestHoldOffBelongsToTheIncarnation(t *testing.T) {
	list := endpoints(1)
	list[0].Started = start.Add(-time.Hour)
	m := newMachine(list)
	m.HeldOff(start, list[0], start, 30*time.Second)
	now := start.Add(time.Second)
	m.SetEndpoints(now, nil)
	m.SetEndpoints(now, list)
	if _, rejection := m.Acquire(now, request(now)); rejection == nil {
		t.Error("granted after the registration has lapsed and returned")
	}
	list[0].Started = now
	m.SetEndpoints(now, list)
	if _, rejection := m.Acquire(now, request(now)); rejection != nil {
		t.Errorf("rejected although the endpoint has started again: %+v", rejection)
	}
	m.HeldOff(now.Add(time.Second), list[0], now.Add(time.Second), time.Second)
	now = now.Add(2 * time.Second)
	if _, rejection := m.Acquire(now, request(now)); rejection != nil {
		t.Errorf("the former start's hold-off prolongs that of the present one: %+v", rejection)
	}
}

func TestHoldOffIsNoEvidenceAndIsNotReported(t *testing.T) {
	list := endpoints(1)
	m := newMachine(list)
	m.Acquire(start, request(start))
	m.TakeReports()
	before := m.Chance(start, 1)
	m.HeldOff(start, list[0], start, time.Second)
	if events, _ := m.TakeReports(); len(events) != 0 || m.Chance(start, 1) != before {
		t.Errorf("events %v, chance %.3f, before %.3f", events, m.Chance(start, 1), before)
	}
}

// When all endpoints hold off, requests whose objective allows it wait for the first to return; the others are told
// to come back after that, at times that differ.
func TestWholeServiceHoldsOff(t *testing.T) {
	list := endpoints(3)
	m := newMachine(list)
	for i, e := range list {
		m.HeldOff(start, e, start, time.Duration(i+1)*500*time.Millisecond)
	}
	r := request(start)
	_, rejection := m.Acquire(start, r)
	if rejection == nil || rejection.HeldOff != 3 || rejection.Wait != 500*time.Millisecond {
		t.Fatalf("an objective of 1.2 s: %+v", rejection)
	}
	if _, again := m.Acquire(start.Add(rejection.Wait), r); again != nil {
		t.Errorf("rejected after the wait: %+v", again)
	}
	r.Objective = start.Add(600 * time.Millisecond)
	if _, rejection = m.Acquire(start, r); rejection.Wait != 0 {
		t.Errorf("an objective of 0.6 s: %+v", rejection)
	}
	r.Objective, r.Tried = start.Add(1200*time.Millisecond), []EndpointID{1}
	if _, rejection = m.Acquire(start, r); rejection.Wait != 0 || rejection.RetryAfter < 500*time.Millisecond {
		t.Errorf("the first to return was tried, the next is too late: %+v", rejection)
	}
	times := map[time.Duration]bool{}
	for range 20 {
		_, rejection = m.Acquire(start, r)
		times[rejection.RetryAfter] = true
		if rejection.RetryAfter < 500*time.Millisecond || rejection.RetryAfter > 750*time.Millisecond {
			t.Errorf("Retry-After of %s", rejection.RetryAfter)
		}
	}
	if len(times) < 15 {
		t.Errorf("20 callers come back at %d times", len(times))
	}
}

// TestHoldOffMatchesThePromise plays random hold-offs, lists and requests against the rule as written: at most two
// requests between half a second after the answer and the end of its time. The machine sends none.
func TestHoldOffMatchesThePromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := endpoints(3)
		m := New(testConfig, start.Add(-testConfig.RetryBound.Window), rand.NewPCG(1, 2))
		m.SetEndpoints(start, all)
		now := start
		type answer struct{ at, until time.Time }
		answers := make(map[EndpointID][]answer)
		arrivals := make(map[EndpointID][]time.Time)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			},
			"hold off": func(t *rapid.T) {
				e := rapid.SampledFrom(all).Draw(t, "endpoint")
				holdOff := time.Duration(rapid.IntRange(1, 30).Draw(t, "s")) * time.Second
				m.HeldOff(now, e, now, holdOff)
				answers[e.ID] = append(answers[e.ID], answer{now, now.Add(holdOff)})
			},
			"lapse": func(t *rapid.T) {
				m.SetEndpoints(now, all[:rapid.IntRange(0, 2).Draw(t, "listed")])
				m.SetEndpoints(now, all)
			},
			"acquire": func(t *rapid.T) {
				for range rapid.IntRange(1, 5).Draw(t, "requests") {
					r := request(now)
					r.Idempotent, r.Retry = rapid.Bool().Draw(t, "idempotent"), rapid.Bool().Draw(t, "retry")
					if g, rejection := m.Acquire(now, r); rejection == nil {
						arrivals[g.Endpoint.ID] = append(arrivals[g.Endpoint.ID], now)
						m.Ended(now, g.Endpoint.ID, EndedServed, 300*time.Millisecond)
					}
				}
				for id, list := range answers {
					for _, a := range list {
						n := 0
						for _, at := range arrivals[id] {
							if at.After(a.at.Add(500*time.Millisecond)) && at.Before(a.until) {
								n++
							}
						}
						if n > 2 {
							t.Fatalf("%d requests reach endpoint %d between half a second after %s and %s", n, id, a.at, a.until)
						}
					}
				}
			},
		})
	})
}

func BenchmarkAcquire1000EndpointsOf300HoldingOff(b *testing.B) {
	list := endpoints(1000)
	m := newMachine(list)
	for _, e := range list[:300] {
		m.HeldOff(start, e, start, time.Hour)
	}
	benchmarkAcquire(b, m)
}
