package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// granted returns how many of some requests each endpoint gets, by name and start.
func granted(m *Machine, now time.Time, requests int) map[string]int {
	got := make(map[string]int)
	for range requests {
		if g, rejection := m.Acquire(now, request(now)); rejection == nil {
			got[incarnation(g.Endpoint)]++
			m.Ended(now, g.Endpoint.ID, EndedServed, 300*time.Millisecond)
		}
	}
	return got
}

func incarnation(e Endpoint) string {
	return fmt.Sprintf("%s since %d", e.Name, e.Started.UnixMilli())
}

// What an endpoint announced to this instance holds for its incarnation, whatever the list of endpoints says.
func TestAnnouncedLeavingOutlivesTheList(t *testing.T) {
	const wait = 3 * time.Second
	for name, tc := range map[string]struct {
		lists func(leaving, other Endpoint) [][]Endpoint // Set one after the other.
		used  bool                                       // The last list's first endpoint is used again.
	}{
		"as before": {func(leaving, other Endpoint) [][]Endpoint { return [][]Endpoint{{leaving, other}} }, false},
		"lapsed and returned": {func(leaving, other Endpoint) [][]Endpoint {
			return [][]Endpoint{{other}, {leaving, other}}
		}, false},
		"moved": {func(leaving, other Endpoint) [][]Endpoint {
			leaving.Address = "10.0.0.99:80"
			return [][]Endpoint{{leaving, other}}
		}, false},
		"no longer draining": {func(leaving, other Endpoint) [][]Endpoint {
			draining := leaving
			draining.Draining = true
			return [][]Endpoint{{draining, other}, {leaving, other}}
		}, false},
		"started again": {func(leaving, other Endpoint) [][]Endpoint {
			leaving.Started = start.Add(wait)
			return [][]Endpoint{{other}, {leaving, other}}
		}, true},
		"started again before it announced, which the list did not show": {func(leaving, other Endpoint) [][]Endpoint {
			leaving.Started = start.Add(-time.Second)
			return [][]Endpoint{{leaving, other}}
		}, false},
		"an older list after it started again": {func(leaving, other Endpoint) [][]Endpoint {
			again := leaving
			again.Started = start.Add(wait)
			return [][]Endpoint{{again, other}, {leaving, other}}
		}, false},
		"another endpoint at the address": {func(leaving, other Endpoint) [][]Endpoint {
			next := leaving
			next.ID, next.Name = 9, "i-9"
			return [][]Endpoint{{other}, {next, other}}
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			list := endpoints(2)
			list[0].Started = start.Add(-time.Hour)
			list[1].Zone = list[0].Zone
			m := newMachine(list)
			if !m.AnnouncedLeaving(start, list[0], start.Add(-100*time.Millisecond)) {
				t.Error("the announcement is not new")
			}
			if m.AnnouncedLeaving(start, list[0], start) {
				t.Error("the announcement is new again")
			}
			lists := tc.lists(list[0], list[1])
			now := start.Add(wait)
			for _, next := range lists {
				now = now.Add(time.Second)
				m.SetEndpoints(now, next)
			}
			first := lists[len(lists)-1][0]
			got := granted(m, now, 40)
			if used := got[incarnation(first)] > 0; used != tc.used {
				t.Errorf("used: %v; granted %v", used, got)
			}
			if got[incarnation(list[1])] == 0 {
				t.Error("the other endpoint is not used")
			}
		})
	}
}

// Each way by which a request gets an endpoint passes the same gate.
func TestAnnouncedLeavingHoldsForEveryRequest(t *testing.T) {
	list := endpoints(1)
	m := newMachine(list)
	m.AnnouncedLeaving(start, list[0], start)
	now := start.Add(time.Second)
	for name, change := range map[string]func(r *Request){
		"first attempt": func(*Request) {},
		"idempotent":    func(r *Request) { r.Idempotent = true },
		"retry":         func(r *Request) { r.Retry = true },
		"last attempt":  func(r *Request) { r.LastAttempt = true },
		"hedge":         func(r *Request) { r.Idempotent, r.Hedge = true, true },
	} {
		r := request(now)
		change(&r)
		if g, rejection := m.Acquire(now, r); rejection == nil {
			t.Errorf("%s: granted %s", name, g.Endpoint.Name)
		} else if rejection.Reason == NoEndpoint && rejection.Leaving != 1 {
			t.Errorf("%s: %d endpoints are leaving by the rejection", name, rejection.Leaving)
		}
	}
	if _, ok := m.Endpoint(now, list[0].ID); ok {
		t.Error("a broker's grant of the endpoint is accepted")
	}
	if got := m.ExcludedEndpoints(now, "orders", 4); len(got) != 1 {
		t.Errorf("brokers are asked to leave out %v", got)
	}
}

// Other instances send an endpoint of which they only heard that it is leaving no requests while there are others;
// a service is not left without any by it.
func TestReportedLeavingIsALastResort(t *testing.T) {
	list := endpoints(3)
	teller, hearer := newMachine(list), newMachine(list)
	for _, e := range list[:2] {
		teller.AnnouncedLeaving(start, e, start)
	}
	events, urgent := teller.TakeReports()
	if len(events) != 2 || !urgent {
		t.Fatalf("%d events, urgent %v", len(events), urgent)
	}
	hearer.HandleReport(start, 7, true, events)
	if got := hearer.LeavingCounts(); got != (LeavingCounts{Reported: 2}) {
		t.Errorf("counts %+v", got)
	}
	if got := granted(hearer, start, 40); got[incarnation(list[2])] != 40 {
		t.Errorf("granted %v", got)
	}
	hearer.SetEndpoints(start, list[:2])
	if got := granted(hearer, start, 40); got[incarnation(list[0])]+got[incarnation(list[1])] != 40 {
		t.Errorf("without another endpoint granted %v", got)
	}
	if events, _ := hearer.TakeReports(); len(events) > 0 && events[0].Kind == Leaving {
		t.Error("a report is passed on")
	}
	hedge := request(start)
	hedge.Idempotent, hedge.Hedge = true, true
	if g, rejection := hearer.Acquire(start, hedge); rejection == nil {
		t.Errorf("a hedge goes to %s, although its request may still be answered", g.Endpoint.Name)
	}
	hearer.AnnouncedLeaving(start, list[0], start)
	if got := granted(hearer, start, 40); got[incarnation(list[1])] != 40 {
		t.Errorf("after an announcement of its own granted %v", got)
	}
}

// A report may arrive long after the response: it must not mark an endpoint that has started again since.
func TestLateReportDoesNotMarkALaterStart(t *testing.T) {
	list := endpoints(2)
	list[0].Started = start
	m := newMachine(list)
	m.HandleReport(start.Add(time.Second), 7, true, []Event{{Endpoint: 1, Kind: Leaving, Value: 5000}})
	if got := m.LeavingCounts(); got.Reported != 1 {
		t.Fatal("a report marks no incarnation at all") // The one that is listed: the reporter knew no later one.
	}
	m = newMachine(list[1:])
	m.HandleReport(start, 7, true, []Event{{Endpoint: 1, Kind: Leaving, Value: 100}})
	m.SetEndpoints(start, list)
	if got := m.LeavingCounts(); got.Reported != 0 {
		t.Error("a report of an endpoint that is not listed marks one that is listed later")
	}
}

func TestMarksOfLeavingEndpointsAreBounded(t *testing.T) {
	m := newMachine(nil)
	for i := range 2 * maxUnlisted {
		m.AnnouncedLeaving(start.Add(time.Duration(i)*time.Millisecond), Endpoint{ID: EndpointID(i), Name: fmt.Sprint("i-", i)}, start)
	}
	now := start.Add(time.Minute)
	m.SetEndpoints(now, nil)
	if len(m.announcements) != maxUnlisted || m.announcements[fmt.Sprint("i-", 2*maxUnlisted-1)].leaving(time.Time{}) == notLeaving {
		t.Errorf("%d marks, or the latest is gone", len(m.announcements))
	}
	last := Endpoint{ID: 1, Name: fmt.Sprint("i-", 2*maxUnlisted-1), Service: "orders"}
	now = now.Add(announcementRetention + time.Minute)
	m.SetEndpoints(now, []Endpoint{last})
	if len(m.announcements) != 1 {
		t.Errorf("%d marks after the retention, want that of the listed endpoint", len(m.announcements))
	}
}

// leavingModel is the promise as written, as an oracle: an incarnation that announced is granted no request
// afterwards, and one that did not, or has started since, stays usable.
type leavingModel struct {
	now    time.Time
	listed []Endpoint
	told   map[string]time.Time // By id: incarnations that started by then have announced.
}

func (o *leavingModel) mayBeGranted(e Endpoint) bool {
	by, ok := o.told[e.Name]
	return !ok || e.Started.After(by)
}

// TestLeavingMatchesThePromise plays random announcements, reports, lists of endpoints and requests.
func TestLeavingMatchesThePromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := endpoints(4)
		m := New(testConfig, start.Add(-testConfig.RetryBound.Window), rand.NewPCG(1, 2))
		o := &leavingModel{now: start, told: make(map[string]time.Time)}
		born := make(map[string]time.Time) // Of the newest incarnation.
		older := make(map[string]time.Time)
		for i := range all {
			all[i].Started = start.Add(-time.Hour)
			born[all[i].Name], older[all[i].Name] = all[i].Started, all[i].Started
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"list": func(t *rapid.T) {
				o.listed = nil
				for _, e := range all {
					switch rapid.IntRange(0, 5).Draw(t, "entry") {
					case 0:
						continue // It has lapsed.
					case 1:
						e.Started = older[e.Name] // An older list.
					default:
						e.Started = born[e.Name]
					}
					if rapid.IntRange(0, 5).Draw(t, "draining") == 0 {
						e.Draining = true
					}
					o.listed = append(o.listed, e)
				}
				m.SetEndpoints(o.now, o.listed)
			},
			"restart": func(t *rapid.T) {
				e := rapid.SampledFrom(all).Draw(t, "endpoint")
				older[e.Name], born[e.Name] = born[e.Name], o.now
			},
			"announce": func(t *rapid.T) {
				if len(o.listed) == 0 {
					return
				}
				e := rapid.SampledFrom(o.listed).Draw(t, "endpoint")
				sent := o.now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "sent before")) * time.Millisecond)
				m.AnnouncedLeaving(o.now, e, sent)
				by := sent
				if e.Started.After(by) {
					by = e.Started
				}
				if by.After(o.told[e.Name]) {
					o.told[e.Name] = by
				}
			},
			"report": func(t *rapid.T) {
				e := rapid.SampledFrom(all).Draw(t, "endpoint")
				m.HandleReport(o.now, 7, true, []Event{{Endpoint: e.ID, Kind: Leaving}})
			},
			"acquire": func(t *rapid.T) {
				r := request(o.now)
				r.Idempotent, r.Retry, r.Hedge = rapid.Bool().Draw(t, "idempotent"), rapid.Bool().Draw(t, "retry"), rapid.Bool().Draw(t, "hedge")
				g, rejection := m.Acquire(o.now, r)
				if rejection == nil {
					if !o.mayBeGranted(g.Endpoint) {
						t.Fatalf("granted %s, which has announced its leaving", incarnation(g.Endpoint))
					}
					m.Ended(o.now, g.Endpoint.ID, EndedServed, 300*time.Millisecond)
					return
				}
				for _, e := range o.listed {
					if rejection.Reason == NoEndpoint && !e.Draining && o.mayBeGranted(e) {
						t.Fatalf("rejected although %s takes requests", incarnation(e))
					}
				}
			},
			"broker's grant": func(t *rapid.T) {
				e := rapid.SampledFrom(all).Draw(t, "endpoint")
				if got, ok := m.Endpoint(o.now, e.ID); ok && !o.mayBeGranted(got) {
					t.Fatalf("accepted %s, which has announced its leaving", incarnation(got))
				}
			},
		})
	})
}
