package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/outlook"
	"github.com/damaskcove/damaskcove/coord/retrybudget"
)

var testConfig = Config{
	Zone:        "a",
	HealthPrior: outlook.Prior{MeanHealthy: 21 * time.Second, MeanFailing: 9 * time.Second},
	RetryBound:  retrybudget.Bound{Window: 10 * time.Second, Ratio: 0.2, Extra: 60},
	FloorShare:  0.7,
	PeerTimeout: 6 * time.Second,
}

var start = time.Unix(1000, 0)

func endpoints(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{
			ID: EndpointID(i + 1), Name: fmt.Sprint("i-", i+1), Service: "orders",
			Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: string(rune('a' + i%3)), Slots: 4,
		})
	}
	return list
}

func newMachine(list []Endpoint) *Machine {
	m := New(testConfig, start.Add(-testConfig.RetryBound.Window), rand.NewPCG(1, 2))
	m.SetEndpoints(start, list)
	return m
}

func request(now time.Time) Request {
	return Request{Service: "orders", Objective: now.Add(1200 * time.Millisecond), Deadline: now.Add(5 * time.Second)}
}

// acquire places one request and returns its endpoint.
func acquire(t *testing.T, m *Machine, now time.Time) Endpoint {
	t.Helper()
	g, rejection := m.Acquire(now, request(now))
	if rejection != nil {
		t.Fatalf("rejected: %+v", rejection)
	}
	return g.Endpoint
}

func TestReportedFailureAvoidsEndpoint(t *testing.T) {
	m := newMachine(endpoints(3))
	m.HandleReport(start, 7, true, []Event{{Endpoint: 1, Kind: EndedServed, Value: 300}, {Endpoint: 2, Kind: EndedServed, Value: 300}, {Endpoint: 3, Kind: EndedFailed, Value: 3}})
	for i := range 8 {
		if got := acquire(t, m, start); got.ID == 3 {
			t.Errorf("request %d goes to the endpoint that has just failed", i)
		}
	}
}

func TestPeerRequestsInFlightCountAsLoad(t *testing.T) {
	list := endpoints(2)
	list[1].Zone = list[0].Zone
	m := newMachine(list)
	for id := EndpointID(1); id <= 2; id++ {
		m.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: EndedServed, Value: 300}})
	}
	m.HandleReport(start, 7, true, []Event{{Endpoint: 1, InFlight: 4, Kind: Started}})
	for i := range 4 {
		if got := acquire(t, m, start); got.ID != 2 {
			t.Errorf("request %d goes to the endpoint that another instance has filled", i)
		}
	}
}

func TestNewIncarnationStartsWithoutHistory(t *testing.T) {
	list := endpoints(1)
	m := newMachine(list)
	m.HandleReport(start, 7, true, []Event{{Endpoint: 1, InFlight: 3, Kind: EndedFailed}})
	list[0].Started = start
	m.SetEndpoints(start, list)
	if e := m.endpoints[1]; e.inFlight != 0 || m.Chance(start, 1) < 0.5 {
		t.Errorf("%d in flight, chance %.2f", e.inFlight, m.Chance(start, 1))
	}
}

func TestSilentPeerRequestsInFlightExpire(t *testing.T) {
	m := newMachine(endpoints(1))
	m.HandleReport(start, 7, true, []Event{{Endpoint: 1, InFlight: 4, Kind: Started}})
	m.ExpirePeers(start.Add(testConfig.PeerTimeout))
	if got := m.endpoints[1].inFlight; got != 0 {
		t.Errorf("%d in flight of a peer that has been silent for %s", got, testConfig.PeerTimeout)
	}
}

func TestUnreachableEndpointBacksOff(t *testing.T) {
	m := newMachine(endpoints(2))
	first := acquire(t, m, start)
	m.SendFailed(start, first.ID)
	for i := range 3 {
		if got := acquire(t, m, start); got.ID == first.ID {
			t.Errorf("request %d goes to the endpoint that could not be reached", 2+i)
		}
	}
	later := start.Add(maxReachBackoff)
	found := false
	for range 20 {
		got := acquire(t, m, later)
		found = found || got.ID == first.ID
		m.Ended(later, got.ID, EndedServed, 300*time.Millisecond)
	}
	if !found {
		t.Error("the endpoint is never tried again")
	}
}

func TestNoEndpointSetsRetryAfter(t *testing.T) {
	list := endpoints(2)
	for i := range list {
		list[i].Draining = true
	}
	m := newMachine(list)
	_, r := m.Acquire(start, request(start))
	if r == nil || r.Reason != NoEndpoint || r.RetryAfter <= 0 {
		t.Errorf("got %+v", r)
	}
}

// Each instance gets a request on a route that was just added, all at once and with a deadline
// of one second. The requests are short: they must queue rather than be rejected because of the
// latency estimate.
func TestBurstIsNotRejectedOnEstimate(t *testing.T) {
	m := newMachine(endpoints(6))
	for id := EndpointID(1); id <= 6; id++ {
		m.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: EndedServed, Value: 300}})
	}
	for i := range 44 {
		req := request(start)
		req.Objective, req.Deadline = start.Add(time.Second), start.Add(time.Second)
		if _, r := m.Acquire(start, req); r != nil {
			t.Fatalf("request %d of 44 on 24 slots is rejected: %+v", i, r)
		}
	}
}

func TestRequestThatCannotMeetItsDeadlineIsRejected(t *testing.T) {
	m := newMachine(endpoints(1))
	rejected := false
	for i := range 200 {
		_, r := m.Acquire(start, request(start))
		if r == nil {
			continue
		}
		rejected = true
		if r.Reason != Overloaded || r.RetryAfter <= 0 || r.ExpectedLatency <= r.TimeLeft {
			t.Fatalf("request %d: %+v", i, r)
		}
	}
	if !rejected {
		t.Error("200 requests with 5 s each are queued at one endpoint with 4 slots")
	}
}

func TestRetriesStopAtTheBudget(t *testing.T) {
	m := newMachine(endpoints(30))
	granted := 0
	for i := range 200 {
		req := request(start)
		req.Retry = true
		_, r := m.Acquire(start, req)
		switch {
		case r == nil:
			granted++
		case r.Reason != RetryBudgetExhausted:
			t.Fatalf("request %d is rejected for reason %d", i, r.Reason)
		}
	}
	if granted == 0 || float64(granted) > testConfig.RetryBound.Extra {
		t.Errorf("%d retries without a first request, bound %g", granted, testConfig.RetryBound.Extra)
	}
}

// Half of the instances are killed while a service fails. The survivors go on spending the
// retry budget; restarted instances, which have not counted what was spent, must not add to it.
func TestStartedInstanceLeavesRetriesToPeers(t *testing.T) {
	retry := request(start)
	retry.Retry = true
	m := New(testConfig, start, rand.NewPCG(1, 2))
	m.SetEndpoints(start, endpoints(9))
	for range 100 {
		if _, r := m.Acquire(start, request(start)); r != nil {
			t.Fatalf("rejected: %+v", r)
		}
	}
	if _, r := m.Acquire(start, retry); r != nil {
		t.Errorf("without peers, within its share of the counted requests: %+v", r)
	}
	m.HandleReport(start, 7, false, nil)
	if _, r := m.Acquire(start, retry); r != nil {
		t.Errorf("with a peer that has just started too: %+v", r)
	}
	m.HandleReport(start, 8, true, nil)
	if _, r := m.Acquire(start, retry); r == nil || r.Reason != RetryBudgetExhausted {
		t.Errorf("with a peer that has counted for a whole window: %+v", r)
	}
}

// A third of the instances are partitioned off while a service fails. Both sides spend the
// retry budget without the counts of the other, so that an instance may spend only its own share
// during the partition, and leaves retries to its peers for a whole window after it.
func TestPartitionShrinksTheRetryBudget(t *testing.T) {
	retry := request(start)
	retry.Retry = true
	m := newMachine(endpoints(40))
	m.SetPeers(map[string]int{"a": 10, "b": 20})
	reportAll := func(at time.Time) {
		for p := range PeerID(30) {
			m.HandleReport(at, p, true, nil)
		}
	}
	reportAll(start)
	partition := start.Add(2 * time.Second)
	m.ExpirePeers(partition)
	granted := 0
	for range 60 {
		if _, r := m.Acquire(partition, retry); r == nil {
			granted++
		}
	}
	if most := int(testConfig.RetryBound.Extra/30) + 1; granted > most {
		t.Errorf("%d retries while 30 peers are silent for 2 s, its own share is %d", granted, most)
	}
	back := partition.Add(time.Second)
	reportAll(back)
	m.ExpirePeers(back)
	if _, r := m.Acquire(back, retry); r == nil {
		t.Error("a retry is granted just after the partition, though peers have counted for a whole window")
	}
	later := partition.Add(testConfig.RetryBound.Window)
	reportAll(later)
	retry = request(later)
	retry.Retry = true
	if _, r := m.Acquire(later, retry); r != nil {
		t.Errorf("a window later: %+v", r)
	}
}

// Few endpoints would suffice for the traffic. But when instances fail, their requests count as
// unserved, and most healthy endpoints must have been in use by then.
func TestHealthyEndpointsStayInUse(t *testing.T) {
	m := newMachine(endpoints(19))
	lastUsed := make(map[EndpointID]time.Time)
	failing := map[EndpointID]bool{3: true, 8: true, 11: true, 17: true}
	now := start
	for range 1500 {
		now = now.Add(13 * time.Millisecond)
		got := acquire(t, m, now)
		lastUsed[got.ID] = now
		kind := EndedServed
		if failing[got.ID] {
			kind = EndedFailed
		}
		m.Ended(now, got.ID, kind, 300*time.Millisecond)
		if now.Sub(start) < 4*time.Second {
			continue
		}
		used := 0
		for id, at := range lastUsed {
			if !failing[id] && now.Sub(at) < 2*time.Second {
				used++
			}
		}
		if healthy := 19 - len(failing); float64(used) < 0.7*float64(healthy) {
			t.Fatalf("at %s only %d of %d healthy endpoints were used within 2 s", now.Sub(start), used, healthy)
		}
	}
}

// A third of many endpoints fail for long periods. If each were tried whenever its backoff is
// over, a tenth of the orders would go unserved for that alone. They are tried only if otherwise
// too few endpoints are in use.
func TestFailingEndpointsAreTriedOnlyWhileTooFewAreInUse(t *testing.T) {
	const all, failing = 60, 22
	const inUseFor = 2 * time.Second // An endpoint counts as in use that long after a request.
	m := newMachine(endpoints(all))
	used, failed := make(map[EndpointID]time.Time), make(map[EndpointID]time.Time)
	within := func(at map[EndpointID]time.Time, now time.Time) (n int) {
		for _, t := range at {
			if now.Sub(t) < inUseFor {
				n++
			}
		}
		return n
	}
	var ends []bool // Unserved, one each step.
	const step = 8 * time.Millisecond
	for now := start; now.Sub(start) < 20*time.Second; now = now.Add(step) {
		got := acquire(t, m, now)
		used[got.ID] = now
		kind := EndedServed
		if got.ID <= failing {
			kind = EndedFailed
			failed[got.ID] = now
		}
		m.Ended(now, got.ID, kind, 300*time.Millisecond)
		ends = append(ends, kind == EndedFailed)
		last := ends[max(0, len(ends)-int(inUseFor/step)):]
		unserved := 0
		for _, u := range last {
			if u {
				unserved++
			}
		}
		healthy, inUse := all-within(failed, now), within(used, now)-within(failed, now)
		if now.Sub(start) > inUseFor && 10*unserved > len(last) && float64(inUse) < testConfig.FloorShare*float64(healthy) {
			t.Fatalf("at %s only %d of %d endpoints are in use, %d of %d requests unserved", now.Sub(start), inUse, healthy, unserved, len(last))
		}
	}
	unserved := 0
	for _, u := range ends[int(4*time.Second/step):] {
		if u {
			unserved++
		}
	}
	// The estimate of a failing endpoint recovers after six seconds; it is tried about then.
	if most := failing * 16 / 5; unserved > most {
		t.Errorf("%d orders went to failing endpoints in 16 s, want at most %d", unserved, most)
	}
}

// A burst comes while a third of the endpoints fail. However loaded the healthy ones are, an
// order is not sent to an endpoint where it almost certainly fails.
func TestCrowdedEndpointsGoBeforeFailingOnes(t *testing.T) {
	m := newMachine(endpoints(9))
	for id := EndpointID(1); id <= 9; id++ {
		kind, latency := EndedServed, 240
		if id <= 3 {
			kind, latency = EndedFailed, 3
		}
		m.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: kind, Value: latency}, {Endpoint: id, Kind: kind, Value: latency}})
	}
	rejected := 0
	for i := range 400 {
		req := request(start)
		req.Objective, req.Deadline = start.Add(time.Second), start.Add(2*time.Second)
		g, r := m.Acquire(start, req)
		switch {
		case r != nil:
			rejected++
		case g.Chance < minSuccessChance:
			t.Fatalf("order %d goes to %s with a chance of %.2f", i, g.Endpoint.Name, g.Chance)
		}
	}
	if rejected == 0 {
		t.Error("400 orders with deadlines of 2 s are all queued on 24 slots")
	}
}

// Lookups (idempotent) and orders share a service. A lookup that fails is retried elsewhere, an
// order that fails is lost: so lookups have to probe which endpoints have recovered.
func TestIdempotentRequestsProbeEndpoints(t *testing.T) {
	m := newMachine(endpoints(8))
	now := start
	trials := map[bool]int{}
	for i := range 3000 {
		now = now.Add(20 * time.Millisecond)
		req := request(now)
		req.Idempotent = i%2 == 0
		g, r := m.Acquire(now, req)
		if r != nil {
			t.Fatalf("request %d: %+v", i, r)
		}
		if g.Chance < 0.8 {
			trials[req.Idempotent]++
		}
		kind := EndedServed
		if g.Endpoint.ID <= 2 {
			kind = EndedFailed
		}
		m.Ended(now, g.Endpoint.ID, kind, 300*time.Millisecond)
	}
	if trials[true] < 4*trials[false] || trials[true] == 0 {
		t.Errorf("%d lookups and %d orders went to endpoints that may fail", trials[true], trials[false])
	}
}

// Most endpoints of a service fail, the others are busy, and its lookups have spent the retry
// budget. A lookup that fails would be lost, so it queues at a healthy endpoint instead.
func TestLookupsWithoutASecondTryAreNotSpentOnFailingEndpoints(t *testing.T) {
	m := newMachine(endpoints(9))
	for id := EndpointID(1); id <= 9; id++ {
		ev := Event{Endpoint: id, Kind: EndedFailed, Value: 3}
		if id <= 3 {
			ev = Event{Endpoint: id, Kind: EndedServed, Value: 300}
		}
		m.HandleReport(start, 7, true, []Event{ev, ev})
	}
	for range int(2 * testConfig.RetryBound.Extra) {
		m.HandleReport(start, 7, true, []Event{{Endpoint: 9, Kind: Retried}})
	}
	for i := range 60 {
		req := request(start)
		req.Idempotent = true
		if g, r := m.Acquire(start, req); r != nil || g.Chance < 0.5 {
			t.Fatalf("lookup %d of 60 on 12 healthy slots: %+v, %+v", i, g, r)
		}
	}
}

// Events that peers must have at once are not delayed to be batched with others.
func TestFailuresTrialsAndRetriesAreUrgent(t *testing.T) {
	m := newMachine(endpoints(2))
	urgent := func() bool { _, urgent := m.TakeReports(); return urgent }
	trial := acquire(t, m, start)
	if !urgent() {
		t.Error("a trial of an endpoint without history is not urgent")
	}
	m.Ended(start, trial.ID, EndedFailed, 0)
	if !urgent() {
		t.Error("a failure is not urgent")
	}
	for id := EndpointID(1); id <= 2; id++ {
		for range 3 {
			m.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: EndedServed, Value: 300}})
		}
	}
	served := acquire(t, m, start)
	m.Ended(start, served.ID, EndedServed, 300*time.Millisecond)
	if urgent() {
		t.Error("a served request at a healthy endpoint is urgent")
	}
	retry := request(start)
	retry.Retry = true
	if _, r := m.Acquire(start, retry); r != nil || !urgent() {
		t.Errorf("a retry is not urgent, or is rejected: %+v", r)
	}
}

// In any sequence of calls no request goes to an endpoint that it tried or that is draining, and
// an endpoint's requests in flight are the sum over all instances.
func TestGrantAndInFlightInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(testConfig, start.Add(-testConfig.RetryBound.Window), rand.NewPCG(3, 4))
		list := endpoints(rapid.IntRange(0, 8).Draw(t, "endpoints"))
		now := start
		m.SetEndpoints(now, list)
		var open []EndpointID
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, 4e8).Draw(t, "gap")))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				req := request(now)
				req.Retry, req.Idempotent, req.Hedge = rapid.Bool().Draw(t, "retry"), rapid.Bool().Draw(t, "idempotent"), rapid.Bool().Draw(t, "hedge")
				for _, e := range list {
					if rapid.IntRange(0, 5).Draw(t, "tried") == 0 {
						req.Tried = append(req.Tried, e.ID)
					}
				}
				g, r := m.Acquire(now, req)
				if r != nil {
					continue
				}
				open = append(open, g.Endpoint.ID)
				if slices.Contains(req.Tried, g.Endpoint.ID) || g.Endpoint.Draining {
					t.Fatalf("a request that tried %v goes to %+v", req.Tried, g.Endpoint)
				}
			case 2:
				if len(open) > 0 {
					m.Ended(now, open[0], EventKind(rapid.IntRange(int(EndedServed), int(EndedUnknown)).Draw(t, "kind")), 100*time.Millisecond)
					open = open[1:]
				}
			case 3:
				if len(open) > 0 {
					m.SendFailed(now, open[0])
					open = open[1:]
				}
			case 4:
				m.HandleReport(now, PeerID(rapid.Uint64Range(1, 4).Draw(t, "peer")), rapid.Bool().Draw(t, "full window"), []Event{{
					Endpoint: EndpointID(rapid.Uint32Range(0, 9).Draw(t, "endpoint")),
					InFlight: rapid.IntRange(-1, 9).Draw(t, "in flight"),
					Kind:     EventKind(rapid.IntRange(0, 9).Draw(t, "kind")),
					Value:    rapid.IntRange(0, 9000).Draw(t, "latency"),
				}})
			case 5:
				for i := range list {
					list[i].Draining = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
				}
				m.SetEndpoints(now, list)
				m.ExpirePeers(now)
			}
		}
		for _, e := range m.endpoints {
			sum := e.own
			for _, n := range e.peerInFlight {
				sum += n
			}
			if sum != e.inFlight || e.own < 0 {
				t.Fatalf("%s: %d in flight, the sum over own and peers is %d", e.Name, e.inFlight, sum)
			}
		}
	})
}

// Three zones send lookups, orders and, one request in ten, downloads of 90 kB. Downloads cross to
// another zone only if their own has no healthy endpoint that responds in time; lookups go where
// they need not queue.
func TestLargeResponsesStayInTheirZone(t *testing.T) {
	const own = EndpointID(1) // Of zone a; 2 is of b, 3 of c.
	download := request(start)
	download.Idempotent = true
	lookup := request(start)
	lookup.Idempotent = true
	var served []Event
	for id := own; id <= 3; id++ {
		served = append(served, Event{Endpoint: id, Kind: Started, InFlight: 1}, Event{Endpoint: id, Kind: EndedServed, Value: 300})
	}
	for name, tc := range map[string]struct {
		request       Request
		responseBytes int // Size of earlier responses; 0 for none.
		large         bool
		events        []Event // In addition to a success of each endpoint.
		local         bool
	}{
		"free":                               {download, 90 << 10, false, nil, true},
		"half full":                          {download, 90 << 10, false, []Event{{Endpoint: own, InFlight: 3, Kind: Started}}, true},
		"large by its route kind alone":      {download, 0, true, []Event{{Endpoint: own, InFlight: 3, Kind: Started}}, true},
		"a short queue":                      {download, 90 << 10, false, []Event{{Endpoint: own, InFlight: 5, Kind: Started}}, true},
		"too long a queue in the own zone":   {download, 90 << 10, false, []Event{{Endpoint: own, InFlight: 16, Kind: Started}}, false},
		"failing in the own zone":            {download, 90 << 10, false, []Event{{Endpoint: own, Kind: EndedFailed}, {Endpoint: own, Kind: EndedFailed}}, false},
		"a lookup does not queue":            {lookup, 400, false, []Event{{Endpoint: own, InFlight: 5, Kind: Started}}, false},
		"a lookup, free":                     {lookup, 400, false, nil, true},
		"a large class with small responses": {download, 400, true, []Event{{Endpoint: own, InFlight: 5, Kind: Started}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMachine(endpoints(3))
			m.SetPeers(map[string]int{"a": 5, "b": 5, "c": 5})
			m.HandleReport(start, 7, true, served)
			m.HandleReport(start, 7, true, tc.events)
			if tc.responseBytes > 0 {
				for range 3 {
					m.RecordResponseSize("class", tc.responseBytes)
				}
			}
			tc.request.CrossZoneCost = m.CrossZoneCost("class", tc.large)
			g, rejection := m.Acquire(start, tc.request)
			if rejection != nil {
				t.Fatalf("rejected: %+v", rejection)
			}
			if local := g.Endpoint.ID == own; local != tc.local {
				t.Errorf("goes to endpoint %d", g.Endpoint.ID)
			}
		})
	}
}

// If the instances of every zone probed each endpoint that was unused for long, most downloads
// would cross between zones for that alone. A zone's own instances probe its endpoints; only if
// there are none do others.
func TestOtherZoneEndpointsAreLeftToTheirInstances(t *testing.T) {
	for name, peers := range map[string]map[string]int{"instances in all zones": {"b": 4, "c": 4}, "no instances in c": {"b": 4}} {
		m := newMachine(endpoints(3))
		m.SetPeers(peers)
		at := start.Add(probeInterval)
		for id := EndpointID(1); id <= 3; id++ {
			m.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: Started, InFlight: 1}, {Endpoint: id, Kind: EndedServed, Value: 300}})
		}
		for id := EndpointID(1); id <= 2; id++ {
			m.HandleReport(at, 7, true, []Event{{Endpoint: id, Kind: EndedServed, Value: 300}, {Endpoint: id, Kind: Started, InFlight: 1}})
		}
		req := request(at)
		req.Idempotent = true
		g, rejection := m.Acquire(at, req)
		if rejection != nil {
			t.Fatalf("%s: rejected: %+v", name, rejection)
		}
		if probes := g.Endpoint.ID == 3; probes != (peers["c"] == 0) {
			t.Errorf("%s: goes to endpoint %d", name, g.Endpoint.ID)
		}
	}
}

// In a service of hundreds of endpoints, orders tried each endpoint that had been unused for an
// interval, so that most orders were trials and a tenth failed. While enough endpoints are in use
// anyway, only lookups probe the unused ones.
func TestOrdersDoNotProbeWhileEnoughAreInUse(t *testing.T) {
	const all, unused = 40, 8
	now := start.Add(2 * useInterval)
	for name, tc := range map[string]struct {
		used       int
		idempotent bool
		probes     bool
	}{
		"order, enough in use":  {all - unused, false, false},
		"order, too few in use": {all / 2, false, true},
		"lookup":                {all - unused, true, true},
	} {
		list := endpoints(all)
		for i := range list {
			list[i].Zone = "a"
		}
		m := newMachine(list)
		for id := EndpointID(1); id <= all; id++ {
			at := start
			if int(id) <= tc.used {
				at = now
			}
			m.HandleReport(at, 7, true, []Event{{Endpoint: id, Kind: Started, InFlight: 1}, {Endpoint: id, Kind: EndedServed, Value: 300}})
		}
		req := request(now)
		req.Idempotent = tc.idempotent
		g, rejection := m.Acquire(now, req)
		if rejection != nil {
			t.Fatalf("%s: rejected: %+v", name, rejection)
		}
		if probes := int(g.Endpoint.ID) > tc.used; probes != tc.probes {
			t.Errorf("%s: goes to endpoint %d", name, g.Endpoint.ID)
		}
	}
}
