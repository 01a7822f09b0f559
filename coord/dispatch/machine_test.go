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
	HealthModel: outlook.Model{MeanHealthy: 21 * time.Second, MeanFailing: 9 * time.Second},
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

func ask(now time.Time) Request {
	return Request{Service: "orders", Objective: now.Add(1200 * time.Millisecond), Deadline: now.Add(5 * time.Second)}
}

// grant asks once and returns the endpoint granted.
func grant(t *testing.T, m *Machine, now time.Time) Endpoint {
	t.Helper()
	g, rejection := m.Acquire(now, ask(now))
	if rejection != nil {
		t.Fatalf("turned away: %+v", rejection)
	}
	return g.Endpoint
}

func TestAFailureSeenAnywhereKeepsWorkAway(t *testing.T) {
	m := newMachine(endpoints(3))
	m.HandleReport(start, 7, true, []Event{{Endpoint: 1, Kind: EndedServed, LatencyMillis: 300}, {Endpoint: 2, Kind: EndedServed, LatencyMillis: 300}, {Endpoint: 3, Kind: EndedFailed, LatencyMillis: 3}})
	for i := range 8 {
		if got := grant(t, m, start); got.ID == 3 {
			t.Errorf("request %d goes to the endpoint that has just failed", i)
		}
	}
}

func TestOthersWorkCountsAsLoad(t *testing.T) {
	list := endpoints(2)
	list[1].Zone = list[0].Zone
	m := newMachine(list)
	for id := EndpointID(1); id <= 2; id++ {
		m.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: EndedServed, LatencyMillis: 300}})
	}
	m.HandleReport(start, 7, true, []Event{{Endpoint: 1, InFlight: 4, Kind: Started}})
	for i := range 4 {
		if got := grant(t, m, start); got.ID != 2 {
			t.Errorf("request %d goes to the endpoint that another instance has filled", i)
		}
	}
}

func TestAnotherLifeUnderTheSameIDStartsUnknown(t *testing.T) {
	list := endpoints(1)
	m := newMachine(list)
	m.HandleReport(start, 7, true, []Event{{Endpoint: 1, InFlight: 3, Kind: EndedFailed}})
	list[0].Started = start
	m.SetEndpoints(start, list)
	if e := m.endpoints[1]; e.inFlight != 0 || m.Chance(start, 1) < 0.5 {
		t.Errorf("%d in flight, chance %.2f", e.inFlight, m.Chance(start, 1))
	}
}

func TestASilentPeersWorkIsForgotten(t *testing.T) {
	m := newMachine(endpoints(1))
	m.HandleReport(start, 7, true, []Event{{Endpoint: 1, InFlight: 4, Kind: Started}})
	m.ExpirePeers(start.Add(testConfig.PeerTimeout))
	if got := m.endpoints[1].inFlight; got != 0 {
		t.Errorf("%d in flight of a peer that has been silent for %s", got, testConfig.PeerTimeout)
	}
}

func TestAnEndpointThatCannotBeReachedFromHereIsLeftToOthers(t *testing.T) {
	m := newMachine(endpoints(2))
	first := grant(t, m, start)
	m.SendFailed(start, first.ID)
	for i := range 3 {
		if got := grant(t, m, start); got.ID == first.ID {
			t.Errorf("request %d goes to the endpoint that could not be reached", 2+i)
		}
	}
	later := start.Add(reachHoldMax)
	found := false
	for range 20 {
		got := grant(t, m, later)
		found = found || got.ID == first.ID
		m.Ended(later, got.ID, EndedServed, 300*time.Millisecond)
	}
	if !found {
		t.Error("the endpoint is never tried again")
	}
}

func TestNoEndpointIsARejectionWithATimeToComeBack(t *testing.T) {
	list := endpoints(2)
	for i := range list {
		list[i].Draining = true
	}
	m := newMachine(list)
	_, r := m.Acquire(start, ask(start))
	if r == nil || r.Reason != NoEndpoint || r.RetryAfter <= 0 {
		t.Errorf("got %+v", r)
	}
}

// The load that it answers: each instance is asked on a route that was just added, all at
// once and with a second to answer. Their work is short; a queue is no reason to turn them away.
func TestABurstOnOneServiceIsNotTurnedAwayOnAnEstimate(t *testing.T) {
	m := newMachine(endpoints(6))
	for id := EndpointID(1); id <= 6; id++ {
		m.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: EndedServed, LatencyMillis: 300}})
	}
	for i := range 44 {
		a := ask(start)
		a.Objective, a.Deadline = start.Add(time.Second), start.Add(time.Second)
		if _, r := m.Acquire(start, a); r != nil {
			t.Fatalf("request %d of 44 on 24 slots is turned away: %+v", i, r)
		}
	}
}

func TestWorkThatCannotMeetItsDeadlineIsTurnedAwayAtOnce(t *testing.T) {
	m := newMachine(endpoints(1))
	rejected := false
	for i := range 200 {
		_, r := m.Acquire(start, ask(start))
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

func TestRepeatsStopWithTheBudget(t *testing.T) {
	m := newMachine(endpoints(30))
	granted := 0
	for i := range 200 {
		a := ask(start)
		a.Retry = true
		_, r := m.Acquire(start, a)
		switch {
		case r == nil:
			granted++
		case r.Reason != RetryBudgetExhausted:
			t.Fatalf("request %d is rejected for reason %d", i, r.Reason)
		}
	}
	if granted == 0 || float64(granted) > testConfig.RetryBound.Extra {
		t.Errorf("%d repeats without a first request, bound %g", granted, testConfig.RetryBound.Extra)
	}
}

// The load that it answers: half of the instances are killed while a service fails. Those
// that stay go on spending the budget; the others do not know what was spent.
func TestAnInstanceThatHasJustStartedLeavesRepeatsToOthers(t *testing.T) {
	repeat := ask(start)
	repeat.Retry = true
	m := New(testConfig, start, rand.NewPCG(1, 2))
	m.SetEndpoints(start, endpoints(9))
	for range 100 {
		if _, r := m.Acquire(start, ask(start)); r != nil {
			t.Fatalf("turned away: %+v", r)
		}
	}
	if _, r := m.Acquire(start, repeat); r != nil {
		t.Errorf("alone it may repeat within the share of what it has seen: %+v", r)
	}
	m.HandleReport(start, 7, false, nil)
	if _, r := m.Acquire(start, repeat); r != nil {
		t.Errorf("beside another that has just started: %+v", r)
	}
	m.HandleReport(start, 8, true, nil)
	if _, r := m.Acquire(start, repeat); r == nil || r.Reason != RetryBudgetExhausted {
		t.Errorf("beside one that has counted for a window: %+v", r)
	}
}

// The load that it answers: a third of the instances are cut off while a service fails. On
// both sides the budget is spent, and a side knows nothing of the other's.
func TestACutShrinksTheBudgetAtOnceAndForAWindowAfter(t *testing.T) {
	repeat := ask(start)
	repeat.Retry = true
	m := newMachine(endpoints(40))
	m.SetPeers(map[string]int{"a": 10, "b": 20})
	hearAll := func(at time.Time) {
		for p := range PeerID(30) {
			m.HandleReport(at, p, true, nil)
		}
	}
	hearAll(start)
	cut := start.Add(2 * time.Second)
	m.ExpirePeers(cut)
	granted := 0
	for range 60 {
		if _, r := m.Acquire(cut, repeat); r == nil {
			granted++
		}
	}
	if most := int(testConfig.RetryBound.Extra/30) + 1; granted > most {
		t.Errorf("%d repeats while 30 others are silent for 2 s, its own share is %d", granted, most)
	}
	back := cut.Add(time.Second)
	hearAll(back)
	m.ExpirePeers(back)
	if _, r := m.Acquire(back, repeat); r == nil {
		t.Error("it repeats just after the cut, beside others that know what was spent")
	}
	later := cut.Add(testConfig.RetryBound.Window)
	hearAll(later)
	repeat = ask(later)
	repeat.Retry = true
	if _, r := m.Acquire(later, repeat); r != nil {
		t.Errorf("a window later: %+v", r)
	}
}

// The load that it answers: few endpoints would do for the traffic, but when instances are
// lost their requests count as unserved, and most sound endpoints must have been in use.
func TestSoundEndpointsStayInUse(t *testing.T) {
	m := newMachine(endpoints(19))
	lastUsed := make(map[EndpointID]time.Time)
	failing := map[EndpointID]bool{3: true, 8: true, 11: true, 17: true}
	now := start
	for range 1500 {
		now = now.Add(13 * time.Millisecond)
		got := grant(t, m, now)
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
		if sound := 19 - len(failing); float64(used) < 0.7*float64(sound) {
			t.Fatalf("at %s only %d of %d sound endpoints were used within 2 s", now.Sub(start), used, sound)
		}
	}
}

// The load that it answers: of many endpoints a third fail in long spells. If all of those
// were tried whenever they have rested, a tenth of the orders would go unserved for that
// alone. Most endpoints are in use when the users look, and the failing ones are left alone.
func TestFailingEndpointsAreTriedOnlyWhileTooFewAreInUse(t *testing.T) {
	const all, failing = 60, 22
	const judged = 2 * time.Second // The users' span.
	m := newMachine(endpoints(all))
	used, failed := make(map[EndpointID]time.Time), make(map[EndpointID]time.Time)
	within := func(at map[EndpointID]time.Time, now time.Time) (n int) {
		for _, t := range at {
			if now.Sub(t) < judged {
				n++
			}
		}
		return n
	}
	var ends []bool // Unserved, one each step.
	const step = 8 * time.Millisecond
	for now := start; now.Sub(start) < 20*time.Second; now = now.Add(step) {
		got := grant(t, m, now)
		used[got.ID] = now
		kind := EndedServed
		if got.ID <= failing {
			kind = EndedFailed
			failed[got.ID] = now
		}
		m.Ended(now, got.ID, kind, 300*time.Millisecond)
		ends = append(ends, kind == EndedFailed)
		last := ends[max(0, len(ends)-int(judged/step)):]
		unserved := 0
		for _, u := range last {
			if u {
				unserved++
			}
		}
		sound, inUse := all-within(failed, now), within(used, now)-within(failed, now)
		if now.Sub(start) > judged && 10*unserved > len(last) && float64(inUse) < testConfig.FloorShare*float64(sound) {
			t.Fatalf("at %s only %d of %d endpoints are in use, %d of %d requests unserved", now.Sub(start), inUse, sound, unserved, len(last))
		}
	}
	unserved := 0
	for _, u := range ends[int(4*time.Second/step):] {
		if u {
			unserved++
		}
	}
	// A failing endpoint's chance is fair again after six seconds; it is tried about then.
	if most := failing * 16 / 5; unserved > most {
		t.Errorf("%d orders went to failing endpoints in 16 s, want at most %d", unserved, most)
	}
}

// The load that it answers: a burst while a third of the endpoints fail. However crowded the
// sound ones are, an order is not sent where it fails for certain.
func TestCrowdedEndpointsGoBeforeFailingOnes(t *testing.T) {
	m := newMachine(endpoints(9))
	for id := EndpointID(1); id <= 9; id++ {
		kind, took := EndedServed, 240
		if id <= 3 {
			kind, took = EndedFailed, 3
		}
		m.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: kind, LatencyMillis: took}, {Endpoint: id, Kind: kind, LatencyMillis: took}})
	}
	turnedAway := 0
	for i := range 400 {
		a := ask(start)
		a.Objective, a.Deadline = start.Add(time.Second), start.Add(2*time.Second)
		g, r := m.Acquire(start, a)
		switch {
		case r != nil:
			turnedAway++
		case g.Chance < lostChance:
			t.Fatalf("order %d goes to %s with a chance of %.2f", i, g.Endpoint.Name, g.Chance)
		}
	}
	if turnedAway == 0 {
		t.Error("400 orders with 2 s each are all queued on 24 slots")
	}
}

// The load that it answers: lookups and orders share a service. A lookup that fails is sent
// elsewhere, an order that fails is lost, so lookups find out which endpoints are back.
func TestIdempotentRequestsTryEndpointsFirst(t *testing.T) {
	m := newMachine(endpoints(8))
	now := start
	trials := map[bool]int{}
	for i := range 3000 {
		now = now.Add(20 * time.Millisecond)
		a := ask(now)
		a.Idempotent = i%2 == 0
		g, r := m.Acquire(now, a)
		if r != nil {
			t.Fatalf("request %d: %+v", i, r)
		}
		if g.Chance < 0.8 {
			trials[a.Idempotent]++
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

// The load that it answers: most endpoints of a service fail, the others are busy, and its
// lookups have spent the retry budget. A lookup that fails is lost then, and waits instead.
func TestLookupsWithoutASecondTryAreNotSpentOnFailingEndpoints(t *testing.T) {
	m := newMachine(endpoints(9))
	for id := EndpointID(1); id <= 9; id++ {
		ev := Event{Endpoint: id, Kind: EndedFailed, LatencyMillis: 3}
		if id <= 3 {
			ev = Event{Endpoint: id, Kind: EndedServed, LatencyMillis: 300}
		}
		m.HandleReport(start, 7, true, []Event{ev, ev})
	}
	for range int(2 * testConfig.RetryBound.Extra) {
		m.HandleReport(start, 7, true, []Event{{Endpoint: 9, Kind: Retried}})
	}
	for i := range 60 {
		a := ask(start)
		a.Idempotent = true
		if g, r := m.Acquire(start, a); r != nil || g.Chance < 0.5 {
			t.Fatalf("lookup %d of 60 on 12 sound slots: %+v, %+v", i, g, r)
		}
	}
}

// What the others must know at once does not wait to be told together with other events.
func TestFailuresTrialsAndRepeatsAreUrgent(t *testing.T) {
	m := newMachine(endpoints(2))
	urgent := func() bool { _, urgent := m.TakeReports(); return urgent }
	trial := grant(t, m, start)
	if !urgent() {
		t.Error("a trial of an endpoint of which nothing is known can wait")
	}
	m.Ended(start, trial.ID, EndedFailed, 0)
	if !urgent() {
		t.Error("a failure can wait")
	}
	for id := EndpointID(1); id <= 2; id++ {
		for range 3 {
			m.HandleReport(start, 7, true, []Event{{Endpoint: id, Kind: EndedServed, LatencyMillis: 300}})
		}
	}
	usual := grant(t, m, start)
	m.Ended(start, usual.ID, EndedServed, 300*time.Millisecond)
	if urgent() {
		t.Error("a request that is served as usual cannot wait")
	}
	repeat := ask(start)
	repeat.Retry = true
	if _, r := m.Acquire(start, repeat); r != nil || !urgent() {
		t.Errorf("a repeat can wait, or is turned away: %+v", r)
	}
}

// Whatever comes, no request goes where it must not, and what is in flight adds up.
func TestGrantsAndCountsHoldWhateverComes(t *testing.T) {
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
				a := ask(now)
				a.Retry, a.Idempotent, a.Hedge = rapid.Bool().Draw(t, "repeat"), rapid.Bool().Draw(t, "idempotent"), rapid.Bool().Draw(t, "hedge")
				for _, e := range list {
					if rapid.IntRange(0, 5).Draw(t, "tried") == 0 {
						a.Tried = append(a.Tried, e.ID)
					}
				}
				g, r := m.Acquire(now, a)
				if r != nil {
					continue
				}
				open = append(open, g.Endpoint.ID)
				if slices.Contains(a.Tried, g.Endpoint.ID) || g.Endpoint.Draining {
					t.Fatalf("a request that tried %v goes to %+v", a.Tried, g.Endpoint)
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
				m.HandleReport(now, PeerID(rapid.Uint64Range(1, 4).Draw(t, "peer")), rapid.Bool().Draw(t, "seasoned"), []Event{{
					Endpoint:      EndpointID(rapid.Uint32Range(0, 9).Draw(t, "endpoint")),
					InFlight:      rapid.IntRange(-1, 9).Draw(t, "in flight"),
					Kind:          EventKind(rapid.IntRange(0, 9).Draw(t, "kind")),
					LatencyMillis: rapid.IntRange(0, 9000).Draw(t, "took"),
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
			for _, n := range e.peers {
				sum += n
			}
			if sum != e.inFlight || e.own < 0 {
				t.Fatalf("%s: %d in flight, own and peers' sum is %d", e.Name, e.inFlight, sum)
			}
		}
	})
}

// The load that it answers: three zones ask for lookups, orders and, one request in ten,
// downloads of 90 kB. Downloads cross to another zone only where the own one has no sound
// endpoint with a slot; lookups go where they need not wait.
func TestLargeAnswersStayInTheirZone(t *testing.T) {
	const own = EndpointID(1) // Of zone a; 2 is of b, 3 of c.
	download := ask(start)
	download.Idempotent = true
	lookup := ask(start)
	lookup.Idempotent = true
	var served []Event
	for id := own; id <= 3; id++ {
		served = append(served, Event{Endpoint: id, Kind: Started, InFlight: 1}, Event{Endpoint: id, Kind: EndedServed, LatencyMillis: 300})
	}
	for name, tc := range map[string]struct {
		ask    Request
		answer int // Bytes of the answers seen; 0 for none.
		large  bool
		events []Event // Besides a success of each endpoint.
		local  bool
	}{
		"free":                             {download, 90 << 10, false, nil, true},
		"half full":                        {download, 90 << 10, false, []Event{{Endpoint: own, InFlight: 3, Kind: Started}}, true},
		"large by its kind alone":          {download, 0, true, []Event{{Endpoint: own, InFlight: 3, Kind: Started}}, true},
		"a short queue":                    {download, 90 << 10, false, []Event{{Endpoint: own, InFlight: 5, Kind: Started}}, true},
		"too late in the own queue":        {download, 90 << 10, false, []Event{{Endpoint: own, InFlight: 16, Kind: Started}}, false},
		"failing here":                     {download, 90 << 10, false, []Event{{Endpoint: own, Kind: EndedFailed}, {Endpoint: own, Kind: EndedFailed}}, false},
		"a lookup waits for no zone":       {lookup, 400, false, []Event{{Endpoint: own, InFlight: 5, Kind: Started}}, false},
		"a lookup, free":                   {lookup, 400, false, nil, true},
		"a large class with small answers": {download, 400, true, []Event{{Endpoint: own, InFlight: 5, Kind: Started}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMachine(endpoints(3))
			m.SetPeers(map[string]int{"a": 5, "b": 5, "c": 5})
			m.HandleReport(start, 7, true, served)
			m.HandleReport(start, 7, true, tc.events)
			if tc.answer > 0 {
				for range 3 {
					m.RecordResponseSize("class", tc.answer)
				}
			}
			tc.ask.CrossZoneCost = m.CrossZoneCost("class", tc.large)
			g, rejection := m.Acquire(start, tc.ask)
			if rejection != nil {
				t.Fatalf("turned away: %+v", rejection)
			}
			if local := g.Endpoint.ID == own; local != tc.local {
				t.Errorf("goes to endpoint %d", g.Endpoint.ID)
			}
		})
	}
}

// The load that it answers: each zone's instances look at every endpoint that was not used
// for long, so that most downloads crossed between zones for nothing else. The zone's own
// instances look; where there are none, others do.
func TestEndpointsOfAnotherZoneAreLeftToItsInstances(t *testing.T) {
	for name, peers := range map[string]map[string]int{"instances everywhere": {"b": 4, "c": 4}, "nobody in c": {"b": 4}} {
		m := newMachine(endpoints(3))
		m.SetPeers(peers)
		at := start.Add(testEvery)
		m.HandleReport(at, 7, true, []Event{{Endpoint: 1, Kind: EndedServed, LatencyMillis: 300}, {Endpoint: 1, Kind: Started, InFlight: 1}})
		m.HandleReport(at, 7, true, []Event{{Endpoint: 2, Kind: EndedServed, LatencyMillis: 300}, {Endpoint: 2, Kind: Started, InFlight: 1}})
		m.HandleReport(start, 7, true, []Event{{Endpoint: 3, Kind: EndedServed, LatencyMillis: 300}, {Endpoint: 3, Kind: Started}})
		a := ask(at)
		a.Idempotent = true
		g, rejection := m.Acquire(at, a)
		if rejection != nil {
			t.Fatalf("%s: turned away: %+v", name, rejection)
		}
		if looks := g.Endpoint.ID == 3; looks != (peers["c"] == 0) {
			t.Errorf("%s: goes to endpoint %d", name, g.Endpoint.ID)
		}
	}
}

// The load that it answers: a service of hundreds of endpoints whose every endpoint that had
// rested was tried by an order, so that most orders tried an endpoint out and a tenth failed.
// Enough are in use by themselves: only lookups look at those that rest.
func TestOrdersTryNothingOutWhileEnoughIsInUse(t *testing.T) {
	const all, unused = 40, 8
	now := start.Add(2 * coverEvery)
	for name, tc := range map[string]struct {
		used       int
		idempotent bool
		looks      bool
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
			m.HandleReport(at, 7, true, []Event{{Endpoint: id, Kind: Started, InFlight: 1}, {Endpoint: id, Kind: EndedServed, LatencyMillis: 300}})
		}
		a := ask(now)
		a.Idempotent = tc.idempotent
		g, rejection := m.Acquire(now, a)
		if rejection != nil {
			t.Fatalf("%s: turned away: %+v", name, rejection)
		}
		if looks := int(g.Endpoint.ID) > tc.used; looks != tc.looks {
			t.Errorf("%s: goes to endpoint %d", name, g.Endpoint.ID)
		}
	}
}
