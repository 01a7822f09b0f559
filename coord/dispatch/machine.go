package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/outlook"
	"github.com/damaskcove/damaskcove/coord/retrybudget"
)

// Effects are what a Machine wants done.
type Effects struct {
	Grants     []Grant
	Rejections []Rejection
	Reports    []Event // To be told to all other instances.
}

// Machine is one instance's view of the fleet's work.
type Machine struct {
	cfg       Config
	random    rand.Source
	services  map[string]*service
	endpoints map[EndpointID]*tracked
	heard     map[Peer]time.Time
	peers     int // Other instances that are known.
	effects   Effects
}

// New returns a Machine without endpoints.
func New(cfg Config, random rand.Source) *Machine {
	return &Machine{
		cfg:       cfg,
		random:    random,
		services:  make(map[string]*service),
		endpoints: make(map[EndpointID]*tracked),
		heard:     make(map[Peer]time.Time),
	}
}

// Take returns the effects since the last Take.
func (m *Machine) Take() Effects {
	e := m.effects
	m.effects = Effects{}
	return e
}

// SetPeers tells how many other instances there are.
func (m *Machine) SetPeers(n int) {
	m.peers = n
}

// SetEndpoints replaces the list of endpoints. What is known of those that stay is kept.
func (m *Machine) SetEndpoints(now time.Time, list []Endpoint) {
	next := make(map[EndpointID]*tracked, len(list))
	for _, s := range m.services {
		s.endpoints = s.endpoints[:0]
	}
	for _, e := range list {
		t := m.endpoints[e.ID]
		if t == nil || t.Service != e.Service || t.Address != e.Address {
			t = &tracked{joined: now, peers: make(map[Peer]int), estimate: outlook.New(m.cfg.Rates, now)}
		}
		t.Endpoint = e
		next[e.ID] = t
		s := m.service(e.Service)
		s.endpoints = append(s.endpoints, t)
	}
	m.endpoints = next
	m.place(now)
}

func (m *Machine) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{name: name, budget: retrybudget.New(m.cfg.Retry)}
		m.services[name] = s
	}
	return s
}

// waiting is an Ask that has no endpoint yet.
type waiting struct {
	Ask
	since time.Time
}

// Ask takes a request in. Its Grant or Rejection is among the effects, now or later.
func (m *Machine) Ask(now time.Time, a Ask) {
	s := m.service(a.Service)
	if a.Repeat && !s.budget.Allows(now, m.budgetShare(now)) {
		m.reject(Rejection{Ask: a.ID, Reason: BudgetSpent, Left: a.Deadline.Sub(now)})
		return
	}
	w := waiting{Ask: a, since: now}
	at := slices.IndexFunc(s.waiting, func(o waiting) bool { return o.Priority > a.Priority })
	if at < 0 {
		at = len(s.waiting)
	}
	s.waiting = slices.Insert(s.waiting, at, w)
	m.placeService(now, s)
}

// Withdraw takes back an Ask that has no endpoint yet; it gets no answer.
func (m *Machine) Withdraw(service string, ask uint64) {
	s := m.service(service)
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool { return w.ID == ask })
}

// budgetShare returns the part of the shared budget that this instance may spend.
func (m *Machine) budgetShare(now time.Time) float64 {
	if m.peers == 0 {
		return 1
	}
	heard := 0
	for _, at := range m.heard {
		if now.Sub(at) < m.cfg.PeerTimeout {
			heard++
		}
	}
	return float64(min(heard, m.peers)+1) / float64(m.peers+1)
}

// place looks again at every request that waits.
func (m *Machine) place(now time.Time) {
	for _, s := range m.services {
		m.placeService(now, s)
	}
}

// placeService grants or rejects the waiting requests of a service in order.
func (m *Machine) placeService(now time.Time, s *service) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool { return m.settle(now, s, w.Ask) })
}

// settle grants or rejects a request and tells whether it did.
func (m *Machine) settle(now time.Time, s *service, a Ask) bool {
	left := a.Deadline.Sub(now)
	c, ok := m.choose(now, s, &a)
	switch {
	case !ok:
		m.reject(Rejection{Ask: a.ID, Reason: NoEndpoint, RetryAfter: s.usual(), Left: left})
		return true
	case a.Hedge && (c.chance < coverChance || c.endpoint.inFlight >= c.endpoint.Slots-1):
		m.reject(Rejection{Ask: a.ID, Reason: NoSpare, Left: left})
		return true
	case c.lost(left, a.Idempotent):
		m.reject(Rejection{Ask: a.ID, Reason: Overloaded, RetryAfter: s.usual(), Expected: c.finish, Left: left})
		return true
	}
	m.start(now, s, c, a)
	return true
}

func (m *Machine) reject(r Rejection) {
	m.effects.Rejections = append(m.effects.Rejections, r)
}

func (m *Machine) start(now time.Time, s *service, c choice, a Ask) {
	e := c.endpoint
	e.own++
	e.inFlight++
	e.used = now
	s.budget.Sent(now, a.Repeat)
	m.effects.Grants = append(m.effects.Grants, Grant{Ask: a.ID, Endpoint: e.Endpoint, Chance: c.chance, InFlight: e.inFlight, Usual: e.took.or(s.usual())})
	kind := Started
	if a.Repeat {
		kind = Repeated
	}
	m.report(e, kind, 0)
}

func (m *Machine) report(e *tracked, kind EventKind, took time.Duration) {
	m.effects.Reports = append(m.effects.Reports, Event{Endpoint: e.ID, InFlight: e.own, Kind: kind, Took: int(took.Milliseconds())})
}

// Ended takes in the end of a granted request.
func (m *Machine) Ended(now time.Time, id EndpointID, kind EventKind, took time.Duration) {
	e := m.endpoints[id]
	if e == nil {
		return
	}
	e.own = max(e.own-1, 0)
	e.inFlight = max(e.inFlight-1, 0)
	e.reach.failures = 0
	m.learn(now, e, kind, took)
	m.report(e, kind, took)
	m.placeService(now, m.service(e.Service))
}

// Unreachable takes in that a granted request could not be sent from this instance.
func (m *Machine) Unreachable(now time.Time, id EndpointID) {
	e := m.endpoints[id]
	if e == nil {
		return
	}
	e.own = max(e.own-1, 0)
	e.inFlight = max(e.inFlight-1, 0)
	e.reach.fail(now)
	m.report(e, EndedUnknown, 0)
}

// RunsLong takes in that a granted request has had no answer for many times the usual time.
func (m *Machine) RunsLong(now time.Time, id EndpointID) {
	if e := m.endpoints[id]; e != nil {
		m.learn(now, e, RunsLong, 0)
		m.report(e, RunsLong, 0)
	}
}

// learn updates what is known of an endpoint.
func (m *Machine) learn(now time.Time, e *tracked, kind EventKind, took time.Duration) {
	outcome, ok := outcomes[kind]
	if !ok {
		return
	}
	e.estimate.Observe(m.cfg.Rates, now, outcome)
	s := m.service(e.Service)
	switch kind {
	case EndedServed:
		s.recent.add(now, true)
		e.took.add(took)
		s.took.add(took)
	case EndedFailed, EndedBroken:
		s.recent.add(now, false)
		e.failed = now
	}
}

// Report takes in what another instance tells.
func (m *Machine) Report(now time.Time, from Peer, events []Event) {
	m.heard[from] = now
	for _, ev := range events {
		e := m.endpoints[ev.Endpoint]
		if e == nil {
			continue
		}
		e.setPeer(from, max(ev.InFlight, 0))
		switch ev.Kind {
		case Started, Repeated:
			e.used = now
			m.service(e.Service).budget.Sent(now, ev.Kind == Repeated)
		default:
			m.learn(now, e, ev.Kind, time.Duration(ev.Took)*time.Millisecond)
		}
	}
}

// Forget drops what peers that have been silent for long, or are gone, had in flight.
func (m *Machine) Forget(now time.Time) {
	for p, at := range m.heard {
		if now.Sub(at) < m.cfg.PeerTimeout {
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
		return e.estimate.At(m.cfg.Rates, now)
	}
	return 0
}
