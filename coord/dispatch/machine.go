package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/damaskcove/damaskcove/coord/internal/window"
	"github.com/damaskcove/damaskcove/coord/outlook"
	"github.com/damaskcove/damaskcove/coord/retrybudget"
)

// Machine is one instance's view of the fleet's work.
type Machine struct {
	cfg       Config
	random    rand.Source
	blind     time.Time // Until when repeats of others may have gone uncounted: the start, or the end of a cut.
	services  map[string]*service
	endpoints map[EndpointID]*tracked
	heard     map[PeerID]heard
	sizes     map[string]*average[float64] // Kilobytes of answers, by class.
	reports   []Event                      // Not yet taken.
	urgent    bool                         // One of them tells of a failure, a repeat or a trial.

	peers       int // Other instances that are known.
	peersByZone map[string]int
}

// heard is when a peer was heard last.
type heard struct {
	at       time.Time
	seasoned bool // It has counted for a whole retry window.
}

// New returns a Machine without endpoints for an instance that starts now.
func New(cfg Config, now time.Time, random rand.Source) *Machine {
	return &Machine{
		cfg:       cfg,
		random:    random,
		blind:     now,
		services:  make(map[string]*service),
		endpoints: make(map[EndpointID]*tracked),
		heard:     make(map[PeerID]heard),
		sizes:     make(map[string]*average[float64]),
	}
}

// TakeReports returns what is to be told to all other instances since the last call. It is
// urgent where a request that is placed without knowing it may fail, or overspend the budget.
func (m *Machine) TakeReports() (events []Event, urgent bool) {
	events, urgent = m.reports, m.urgent
	m.reports, m.urgent = nil, false
	return events, urgent
}

// SetPeers tells how many other instances there are in each availability zone.
func (m *Machine) SetPeers(byZone map[string]int) {
	m.peersByZone, m.peers = byZone, 0
	for _, n := range byZone {
		m.peers += n
	}
}

// SetEndpoints replaces the list of endpoints. What is known of those that stay is kept.
func (m *Machine) SetEndpoints(now time.Time, list []Endpoint) {
	next := make(map[EndpointID]*tracked, len(list))
	for _, s := range m.services {
		s.endpoints = s.endpoints[:0]
	}
	for _, e := range list {
		t := m.endpoints[e.ID]
		if t == nil || t.Service != e.Service || t.Address != e.Address || !t.Started.Equal(e.Started) {
			t = &tracked{joined: now, peers: make(map[PeerID]int), estimate: outlook.New(m.cfg.HealthModel, now)}
		}
		t.Endpoint = e
		next[e.ID] = t
		s := m.service(e.Service)
		s.endpoints = append(s.endpoints, t)
	}
	m.endpoints = next
}

func (m *Machine) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{budget: retrybudget.New(m.cfg.RetryBound, m.blind), recent: window.New(recentSlices, recentSlice)}
		m.services[name] = s
	}
	return s
}

// Acquire gives a request an endpoint, or turns it away.
func (m *Machine) Acquire(now time.Time, a Request) (Grant, *Rejection) {
	s := m.service(a.Service)
	left := a.Deadline.Sub(now)
	mayRepeat := (a.Idempotent || a.Retry) && !m.deferred(now) && s.budget.Allows(now, m.budgetShare(now))
	if a.Retry && !mayRepeat {
		return Grant{}, &Rejection{Reason: RetryBudgetExhausted, TimeLeft: left}
	}
	a.repeatable = a.Idempotent && !a.Retry && mayRepeat
	c, ok := m.choose(now, s, &a)
	switch {
	case !ok:
		return Grant{}, &Rejection{Reason: NoEndpoint, RetryAfter: s.usual(), TimeLeft: left}
	case a.Hedge && (c.chance < coverChance || c.endpoint.inFlight >= c.endpoint.Slots-1):
		return Grant{}, &Rejection{Reason: NoSpareSlot, TimeLeft: left}
	case a.MinScore > 0 && c.worth < a.MinScore:
		return Grant{}, &Rejection{Reason: ScoreTooLow, BestScore: c.worth, TimeLeft: left}
	case c.lost(left, a.Idempotent):
		return Grant{}, &Rejection{Reason: Overloaded, RetryAfter: s.usual(), ExpectedLatency: c.finish, TimeLeft: left}
	}
	return m.start(now, s, c, a.Retry), nil
}

// HasFullRetryWindow tells whether this instance has counted for a whole retry window.
func (m *Machine) HasFullRetryWindow(now time.Time) bool {
	return now.Sub(m.blind) >= m.cfg.RetryBound.Window
}

// deferred tells whether repeats are left to others: they know what was spent before this
// instance started, and may be spending all of the budget.
func (m *Machine) deferred(now time.Time) bool {
	if m.HasFullRetryWindow(now) {
		return false
	}
	for _, h := range m.heard {
		if h.seasoned && now.Sub(h.at) < heardTimeout {
			return true
		}
	}
	return false
}

// budgetShare returns the part of the shared budget that this instance may spend.
func (m *Machine) budgetShare(now time.Time) float64 {
	return float64(min(m.heardNow(now), m.peers)+1) / float64(m.peers+1)
}

// heardTimeout is a few intervals of heartbeats, after which a peer's repeats go uncounted.
const heardTimeout = 1600 * time.Millisecond

// heardNow returns the number of peers whose repeats are counted.
func (m *Machine) heardNow(now time.Time) int {
	n := 0
	for _, h := range m.heard {
		if now.Sub(h.at) < heardTimeout {
			n++
		}
	}
	return n
}

func (m *Machine) start(now time.Time, s *service, c choice, repeat bool) Grant {
	e := c.endpoint
	e.own++
	e.inFlight++
	e.used = now
	s.budget.Sent(now, repeat)
	kind := Started
	if repeat {
		kind = Retried
	}
	m.report(e, kind, 0)
	m.urgent = m.urgent || repeat || c.chance < unprovenChance
	return Grant{Endpoint: e.Endpoint, Chance: c.chance, InFlight: e.inFlight, BaselineLatency: e.took.or(s.usual())}
}

func (m *Machine) report(e *tracked, kind EventKind, took time.Duration) {
	if m.cfg.NoReports {
		return
	}
	m.reports = append(m.reports, Event{Endpoint: e.ID, InFlight: e.own, Kind: kind, LatencyMillis: int(took.Milliseconds())})
	m.urgent = m.urgent || kind == EndedFailed || kind == EndedBroken || kind == Overdue
}

// Ended takes in the end of a granted request.
func (m *Machine) Ended(now time.Time, id EndpointID, kind EventKind, took time.Duration) {
	e := m.endpoints[id]
	if e == nil {
		return
	}
	e.release()
	e.reach.failures = 0
	m.learn(now, e, kind, took)
	m.report(e, kind, took)
}

// SendFailed takes in that a granted request could not be sent from this instance.
func (m *Machine) SendFailed(now time.Time, id EndpointID) {
	e := m.endpoints[id]
	if e == nil {
		return
	}
	e.release()
	e.reach.fail(now)
	m.report(e, EndedUnknown, 0)
}

// RemoteSendFailed takes in that an instance to which this one had granted an endpoint could not
// reach it. Where others can, their answers soon outweigh it.
func (m *Machine) RemoteSendFailed(now time.Time, id EndpointID) {
	if e := m.endpoints[id]; e != nil {
		e.release()
		e.estimate.Observe(m.cfg.HealthModel, now, outlook.Broken)
	}
}

// BrokeredEnded takes in how a request ended that a broker had granted.
func (m *Machine) BrokeredEnded(now time.Time, id EndpointID, kind EventKind, took time.Duration) {
	if e := m.endpoints[id]; e != nil {
		m.learn(now, e, kind, took)
	}
}

// BrokeredSendFailed takes in that an endpoint could not be reached from this instance, for a request
// that a broker had granted.
func (m *Machine) BrokeredSendFailed(now time.Time, id EndpointID) {
	if e := m.endpoints[id]; e != nil {
		e.reach.fail(now)
	}
}

// UnreachableEndpoints returns the endpoints of a service that this instance does not get through to, at
// most some.
func (m *Machine) UnreachableEndpoints(now time.Time, service string, most int) []EndpointID {
	var out []EndpointID
	for _, e := range m.service(service).endpoints {
		if now.Before(e.reach.until) && len(out) < most {
			out = append(out, e.ID)
		}
	}
	return out
}

// Endpoint returns an endpoint that takes work; ok is false where there is none of that ID.
func (m *Machine) Endpoint(id EndpointID) (_ Endpoint, ok bool) {
	e := m.endpoints[id]
	if e == nil || e.Draining {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// Overdue takes in that a granted request has had no answer for many times the usual time.
func (m *Machine) Overdue(now time.Time, id EndpointID) {
	if e := m.endpoints[id]; e != nil {
		m.learn(now, e, Overdue, 0)
		m.report(e, Overdue, 0)
	}
}

// learn updates what is known of an endpoint.
func (m *Machine) learn(now time.Time, e *tracked, kind EventKind, took time.Duration) {
	outcome, ok := outcomes[kind]
	if !ok {
		return
	}
	e.estimate.Observe(m.cfg.HealthModel, now, outcome)
	s := m.service(e.Service)
	switch kind {
	case EndedServed:
		s.recent.Add(now, false)
		e.took.add(took)
		s.took.add(took)
	case EndedFailed, EndedBroken:
		s.recent.Add(now, true)
		e.failed = now
	}
}

// HandleReport takes in what another instance tells, and whether that one HasFullRetryWindow.
func (m *Machine) HandleReport(now time.Time, from PeerID, seasoned bool, events []Event) {
	m.heard[from] = heard{at: now, seasoned: seasoned}
	for _, ev := range events {
		e := m.endpoints[ev.Endpoint]
		if e == nil {
			continue
		}
		e.setPeer(from, max(ev.InFlight, 0))
		switch ev.Kind {
		case Started, Retried:
			e.used = now
			m.service(e.Service).budget.Sent(now, ev.Kind == Retried)
		default:
			m.learn(now, e, ev.Kind, time.Duration(ev.LatencyMillis)*time.Millisecond)
		}
	}
}

// ExpirePeers drops what peers that have been silent for long, or are gone, had in flight.
func (m *Machine) ExpirePeers(now time.Time) {
	if 2*m.heardNow(now) < m.peers {
		m.blind = now
	}
	for p, h := range m.heard {
		if now.Sub(h.at) < m.cfg.PeerTimeout {
			continue
		}
		delete(m.heard, p)
		for _, e := range m.endpoints {
			e.setPeer(p, 0)
		}
	}
}

// Chance returns the estimated chance that an endpoint serves the next request; 0 where it is not known.
func (m *Machine) Chance(now time.Time, id EndpointID) float64 {
	if e := m.endpoints[id]; e != nil {
		return e.estimate.At(m.cfg.HealthModel, now)
	}
	return 0
}
