package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// teach lets a machine observe a period in which an endpoint fails after a latency, several times.
func teach(m *Machine, now time.Time, id EndpointID, latency time.Duration) time.Time {
	const periods, requests, gap = 4, 8, 200 * time.Millisecond
	for range periods {
		for i := range 4 * requests {
			event := Event{Endpoint: id, Kind: EndedServed, Value: 300}
			if i < requests {
				event = Event{Endpoint: id, Kind: EndedFailed, Value: int(latency.Milliseconds())}
			}
			m.HandleReport(now, 7, true, []Event{{Endpoint: id, Kind: Started, InFlight: 1}})
			now = now.Add(time.Duration(event.Value) * time.Millisecond)
			m.HandleReport(now, 7, true, []Event{event})
			now = now.Add(gap)
		}
	}
	return now
}

// An order has one attempt. Where endpoints in a failing period answer at once, a request that another
// instance has started, and that goes on, shows where orders are served, long before it ends.
func TestOrdersGoWhereRequestsGoOn(t *testing.T) {
	for name, tc := range map[string]struct {
		failureLatency time.Duration
		want           bool
	}{
		"failures come at once": {2 * time.Millisecond, true},
		"failures come late":    {300 * time.Millisecond, false},
	} {
		list := endpoints(8)
		for i := range list {
			list[i].Zone = "a"
		}
		m := newMachine(list)
		now := teach(m, start, 8, tc.failureLatency).Add(5 * time.Second)
		for id := EndpointID(1); id <= 8; id++ {
			m.HandleReport(now.Add(-time.Second), 7, true, []Event{{Endpoint: id, Kind: Started}, {Endpoint: id, Kind: EndedServed, Value: 300}})
		}
		before := m.Chance(now, 1)
		m.HandleReport(now, 7, true, []Event{{Endpoint: 1, Kind: Started, InFlight: 1}})
		now = now.Add(100 * time.Millisecond)
		got := acquire(t, m, now)
		if proved := m.Chance(now, 1) > (1+before)/2; proved != tc.want {
			t.Errorf("%s: chance %.2f, %.2f once a request goes on", name, before, m.Chance(now, 1))
		}
		if tc.want && got.ID != 1 {
			t.Errorf("%s: the order goes to endpoint %d", name, got.ID)
		}
	}
}

// A lookup that may be tried again finds out whether an idle endpoint serves. One that has no
// further attempt, or that costs the retry budget, is served where that is known.
func TestLastAttemptsProbeNoEndpoint(t *testing.T) {
	for name, tc := range map[string]struct {
		set    func(r *Request)
		probes bool
	}{
		"first of several": {func(*Request) {}, true},
		"last":             {func(r *Request) { r.LastAttempt = true }, false},
		"retry":            {func(r *Request) { r.Retry = true }, false},
	} {
		list := endpoints(8)
		for i := range list {
			list[i].Zone = "a"
		}
		m := newMachine(list)
		m.HandleReport(start, 7, true, []Event{{Endpoint: 8, Kind: Started, InFlight: 1}, {Endpoint: 8, Kind: EndedServed, Value: 300}})
		now := start.Add(2 * probeInterval)
		for id := EndpointID(1); id <= 7; id++ {
			m.HandleReport(now, 7, true, []Event{{Endpoint: id, Kind: Started, InFlight: 1}, {Endpoint: id, Kind: EndedServed, Value: 300}})
		}
		req := request(now)
		req.Idempotent = true
		tc.set(&req)
		g, r := m.Acquire(now, req)
		if r != nil {
			t.Fatalf("%s: %+v", name, r)
		}
		if probes := g.Endpoint.ID == 8; probes != tc.probes {
			t.Errorf("%s attempt: goes to endpoint %d", name, g.Endpoint.ID)
		}
	}
}

// Instances are restarted one after the other. A started one must not find out with orders which
// endpoints fail, and its lookups may be retried at once, within the budget that all share.
func TestStartedInstanceTakesOverWhatPeersKnow(t *testing.T) {
	const failing = 6
	old := newMachine(endpoints(9))
	for id := EndpointID(1); id <= 9; id++ {
		event := Event{Endpoint: id, Kind: EndedServed, Value: 300}
		if id <= failing {
			event = Event{Endpoint: id, Kind: EndedFailed, Value: 2}
		}
		old.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: Started, InFlight: 1}, event, {Endpoint: id, Kind: Started, InFlight: 1}, event})
	}
	const spent = 40
	for range spent {
		old.HandleReport(start, 7, true, []Event{{Endpoint: 9, Kind: Retried}})
	}
	m := New(testConfig, start, rand.NewPCG(5, 6))
	m.SetEndpoints(start, endpoints(9))
	m.HandleReport(start, 7, true, nil)
	for _, part := range old.Handover(start) {
		m.Adopt(start, part)
		m.Adopt(start, part) // Two peers answer.
	}
	for i := range 6 {
		if got := acquire(t, m, start); got.ID <= failing {
			t.Errorf("order %d goes to endpoint %d, which is known to fail", i, got.ID)
		}
	}
	retry := request(start)
	retry.Retry = true
	granted := 0
	for range 200 {
		if _, r := m.Acquire(start, retry); r == nil {
			granted++
		}
	}
	if most := int(testConfig.RetryBound.Extra) - spent + int(testConfig.RetryBound.Ratio*100); granted == 0 || granted > most {
		t.Errorf("%d retries, want 1 to %d", granted, most)
	}
}

func TestOwnObservationsAreKeptOverWhatPeersKnow(t *testing.T) {
	m := newMachine(endpoints(1))
	m.HandleReport(start, 7, true, []Event{{Endpoint: 1, Kind: EndedServed, Value: 300}})
	want := m.Chance(start, 1)
	m.Adopt(start, Handover{Endpoints: []EndpointHealth{{ID: 1, Chance: 10}, {ID: 2, Chance: 10}}})
	if got := m.Chance(start, 1); got != want {
		t.Errorf("chance %.3f, %.3f by own observation", got, want)
	}
}

// A part of a Handover is one datagram.
func TestHandoverPartsAreBounded(t *testing.T) {
	m := newMachine(endpoints(250))
	for id := EndpointID(1); id <= 250; id++ {
		m.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: EndedServed, Value: 300}})
	}
	seen := 0
	for _, part := range m.Handover(start) {
		if len(part.Endpoints) > maxHandoverEndpoints || len(part.Retries) > maxHandoverServices {
			t.Errorf("a part of %d endpoints and %d services", len(part.Endpoints), len(part.Retries))
		}
		seen += len(part.Endpoints)
	}
	if seen != 250 {
		t.Errorf("%d endpoints handed over", seen)
	}
}

func BenchmarkAcquire1000Endpoints(b *testing.B) {
	benchmarkAcquire(b, newMachine(endpoints(1000)))
}

func benchmarkAcquire(b *testing.B, m *Machine) {
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		g, r := m.Acquire(now, request(now))
		if r != nil {
			b.Fatalf("%+v", r)
		}
		m.Ended(now, g.Endpoint.ID, EndedServed, 300*time.Millisecond)
		m.TakeReports()
	}
}

// Latencies of some services vary widely. There an order that waits for a slot is often late, so it
// goes to a free endpoint whose evidence is somewhat older.
func TestOrdersDoNotQueueWhereLatenciesVary(t *testing.T) {
	for name, tc := range map[string]struct {
		latencies []int
		queues    bool
	}{
		"latencies vary": {[]int{100, 900, 100, 150, 250}, false},
		"all alike":      {[]int{300, 300, 300, 300, 300}, true},
	} {
		list := endpoints(2)
		list[1].Zone = list[0].Zone
		m := newMachine(list)
		now := start
		for range 60 {
			for _, latency := range tc.latencies {
				for id := EndpointID(1); id <= 2; id++ {
					m.HandleReport(now, 7, true, []Event{{Endpoint: id, Kind: Started, InFlight: 1}, {Endpoint: id, Kind: EndedServed, Value: latency}})
				}
			}
		}
		now = now.Add(1100 * time.Millisecond)
		m.HandleReport(now, 7, true, []Event{{Endpoint: 1, Kind: EndedServed, InFlight: 4, Value: 300}})
		if old, fresh := m.Chance(now, 2), m.Chance(now, 1); old > fresh || old < fresh-0.06 {
			t.Fatalf("%s: chances %.3f and %.3f", name, fresh, old)
		}
		queued := 0
		for range 40 {
			req := request(now)
			req.Objective, req.Deadline = now.Add(450*time.Millisecond), now.Add(2500*time.Millisecond)
			g, r := m.Acquire(now, req)
			if r != nil {
				t.Fatalf("%s: rejected: %+v", name, r)
			}
			if g.Endpoint.ID == 1 {
				queued++
			}
			m.Ended(now, g.Endpoint.ID, EndedUnknown, 0)
		}
		if queues := queued > 20; queues != tc.queues {
			t.Errorf("%s: %d of 40 orders are queued at a full endpoint", name, queued)
		}
	}
}

// While many requests go unserved, endpoints are used whatever their chance. Lookups that fail and are
// served by a retry are no reason for that: each such endpoint then costs orders.
func TestRetriedAttemptsAreNotUnservedRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		kind    EventKind
		retried bool
		want    bool
	}{
		"failed":              {EndedFailed, false, true},
		"failed and retried":  {EndedFailed, true, false},
		"refused":             {EndedRefused, false, true},
		"refused and retried": {EndedRefused, true, false},
	} {
		m := newMachine(endpoints(9))
		for i := range 100 {
			id := EndpointID(i%8 + 1)
			m.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: Started, InFlight: 1}})
			if i%5 != 0 {
				m.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: EndedServed, Value: 300}})
				continue
			}
			m.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: tc.kind, Value: 2}})
			if tc.retried {
				m.HandleReport(start, 7, true, []Event{{Endpoint: 9, Kind: Retried, InFlight: 1}, {Endpoint: 9, Kind: EndedServed, Value: 300}})
			}
		}
		if got := m.service("orders").highUnserved(start); got != tc.want {
			t.Errorf("%s: many unserved: %v", name, got)
		}
	}
}

// An order has one attempt and goes where another request has just been served. A lookup that can be
// tried again goes where that was longest ago, so that it meets the beginning of a failure first.
func TestLookupsConfirmTheOldestEvidence(t *testing.T) {
	const newest, oldest = 1, 6
	for name, tc := range map[string]struct {
		set   func(m *Machine, now time.Time, r *Request)
		want  EndpointID
		hangs bool // Failing endpoints answer late.
	}{
		"order":                      {func(*Machine, time.Time, *Request) {}, newest, false},
		"lookup":                     {func(_ *Machine, _ time.Time, r *Request) { r.Idempotent = true }, oldest, false},
		"lookup, failures come late": {func(_ *Machine, _ time.Time, r *Request) { r.Idempotent = true }, newest, true},
		"last lookup":                {func(_ *Machine, _ time.Time, r *Request) { r.Idempotent, r.LastAttempt = true, true }, newest, false},
		"lookup, oldest full": {func(m *Machine, now time.Time, r *Request) {
			r.Idempotent = true
			m.HandleReport(now, 8, true, []Event{{Endpoint: oldest, Kind: EndedUnknown, InFlight: 4, Value: 300}})
		}, oldest - 1, false},
		"lookup, oldest left to its zone": {func(m *Machine, _ time.Time, r *Request) {
			r.Idempotent = true
			m.endpoints[oldest].Zone = "b"
		}, oldest - 1, false},
	} {
		list := endpoints(oldest + 1)
		for i := range list {
			list[i].Zone = "a"
		}
		m := newMachine(list)
		m.SetPeers(map[string]int{"a": 4, "b": 4})
		failure := 2 * time.Millisecond
		if tc.hangs {
			failure = time.Second
		}
		now := teach(m, start, oldest+1, failure).Add(time.Second)
		m.endpoints[oldest+1].Draining = true
		for id := EndpointID(newest); id <= oldest; id++ {
			at := now.Add(-time.Duration(id) * 100 * time.Millisecond)
			for range 3 {
				m.HandleReport(at, 7, true, []Event{{Endpoint: id, Kind: Started, InFlight: 1}, {Endpoint: id, Kind: EndedServed, Value: 300}})
			}
		}
		req := request(now)
		tc.set(m, now, &req)
		g, r := m.Acquire(now, req)
		if r != nil {
			t.Fatalf("%s: %+v", name, r)
		}
		if g.Endpoint.ID != tc.want {
			t.Errorf("%s: goes to endpoint %d, want %d", name, g.Endpoint.ID, tc.want)
		}
	}
}

// Where endpoints hang, a lookup is saved by its hedge. The endpoints with the latest evidence are busy;
// the hedge goes to one with a slot to spare.
func TestHedgeGoesWhereASlotIsSpare(t *testing.T) {
	list := endpoints(4)
	for i := range list {
		list[i].Zone = "a"
	}
	m := newMachine(list)
	for id := EndpointID(1); id <= 4; id++ {
		m.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: Started, InFlight: 1}, {Endpoint: id, Kind: EndedServed, Value: 300}})
	}
	now := start.Add(300 * time.Millisecond)
	for id := EndpointID(1); id <= 3; id++ {
		m.HandleReport(now, 7, true, []Event{{Endpoint: id, Kind: EndedServed, InFlight: list[0].Slots - 1, Value: 300}})
	}
	hedge := request(now)
	hedge.Idempotent, hedge.Retry, hedge.Hedge = true, true, true
	if g, r := m.Acquire(now, hedge); r != nil || g.Endpoint.ID != 4 {
		t.Errorf("granted endpoint %d, rejected %+v; want endpoint 4, which has a spare slot", g.Endpoint.ID, r)
	}
	m.HandleReport(now, 7, true, []Event{{Endpoint: 4, Kind: EndedServed, InFlight: list[0].Slots - 1, Value: 300}})
	if _, r := m.Acquire(now, hedge); r == nil || r.Reason != NoSpareSlot {
		t.Errorf("no slot is spare: %+v", r)
	}
}

// All endpoints of a service shed half of what arrives, for seconds. The other half is served, so orders
// are still sent, not rejected as near-certain failures.
func TestOrdersAreSentWhileAServiceShedsLoad(t *testing.T) {
	for _, count := range []int{20, 110} {
		testSheddingService(t, count)
	}
}

func testSheddingService(t *testing.T, count int) {
	const gap = 200 * time.Millisecond // Between two requests to an endpoint.
	step := gap / time.Duration(count)
	m := newMachine(endpoints(count))
	random := rand.New(rand.NewPCG(8, 9))
	now, rejected, sent := start, 0, 0
	play := func(length time.Duration, shed float64) {
		for end := now.Add(length); now.Before(end); now = now.Add(step) {
			g, r := m.Acquire(now, request(now))
			if r != nil {
				rejected++
				continue
			}
			sent++
			kind, latency := EndedServed, 300*time.Millisecond
			if random.Float64() < shed {
				kind, latency = EndedRefused, 2*time.Millisecond
			}
			m.Ended(now, g.Endpoint.ID, kind, latency)
		}
	}
	play(10*time.Second, 0)
	play(10*time.Second, 0.55)
	if rejected > sent/50 {
		t.Errorf("%d endpoints: %d of %d orders are rejected", count, rejected, sent+rejected)
	}
}
