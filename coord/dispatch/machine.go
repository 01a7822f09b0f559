package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/damaskcove/damaskcove/coord/internal/window"
	"github.com/damaskcove/damaskcove/coord/outlook"
	"github.com/damaskcove/damaskcove/coord/retrybudget"
)

// Machine is one instance's view of the fleet's load.
type Machine struct {
	cfg           Config
	random        rand.Source
	adopted       time.Time // When countingSince was taken over from another instance; zero if it was not.
	countingSince time.Time // Start of this instance or end of the last partition; retries of others before it may be uncounted.
	services      map[string]*service
	endpoints     map[EndpointID]*endpointState
	peerStates    map[PeerID]peerState
	responseKB    map[string]*ewma[float64] // Size of response bodies, by class.
	events        []Event                   // Not yet taken.
	urgent        bool                      // One of events is a failure, an overdue request, a retry, an announcement, or a request to an unproven endpoint.
	announcements map[string]announcement   // By the id under which an endpoint registered.
	notices       []Notice                  // Not yet taken.
	hasLimits     bool                      // An endpoint has named a limit since the start.
	brokered      bool                      // Brokers place the requests of this instance.

	peerCount   int // Other instances in the fleet.
	peersByZone map[string]int
}

// peerState is the last report of a peer.
type peerState struct {
	reportedAt time.Time
	fullWindow bool // The peer HasFullRetryWindow.
}

// New returns a Machine without endpoints for an instance that starts now.
func New(cfg Config, now time.Time, random rand.Source) *Machine {
	return &Machine{
		cfg:           cfg,
		random:        random,
		countingSince: now,
		services:      make(map[string]*service),
		endpoints:     make(map[EndpointID]*endpointState),
		peerStates:    make(map[PeerID]peerState),
		responseKB:    make(map[string]*ewma[float64]),
		announcements: make(map[string]announcement),
	}
}

// TakeReports returns the events since the last call, which are to be sent to all other
// instances. They are urgent if a request that is placed without them may fail or overspend
// the retry budget.
func (m *Machine) TakeReports() (events []Event, urgent bool) {
	events, urgent = m.events, m.urgent
	m.events, m.urgent = nil, false
	return events, urgent
}

// SetPeers sets the number of other instances in each availability zone.
func (m *Machine) SetPeers(byZone map[string]int) {
	m.peersByZone, m.peerCount = byZone, 0
	for _, n := range byZone {
		m.peerCount += n
	}
}

// SetEndpoints replaces the list of endpoints. The state of those that remain is kept.
func (m *Machine) SetEndpoints(now time.Time, list []Endpoint) {
	next := make(map[EndpointID]*endpointState, len(list))
	for _, s := range m.services {
		s.endpoints = s.endpoints[:0]
	}
	for _, e := range list {
		state := m.endpoints[e.ID]
		if state == nil || state.Service != e.Service || state.Address != e.Address || !state.Started.Equal(e.Started) {
			state = &endpointState{addedAt: now, peerInFlight: make(map[PeerID]int), estimate: outlook.New(m.service(e.Service).health, now)}
		}
		m.noticeRestart(state.Endpoint, e)
		state.Endpoint = e
		state.apply(m.announcements[e.Name])
		next[e.ID] = state
		s := m.service(e.Service)
		s.endpoints = append(s.endpoints, state)
	}
	m.endpoints = next
	m.forgetAnnouncements(now)
}

func (m *Machine) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{health: outlook.NewModel(m.cfg.HealthPrior), budget: retrybudget.New(m.cfg.RetryBound, m.countingSince), attempts: window.New(recentSlices, recentSlice), retries: window.New(recentSlices, recentSlice), room: window.New(recentSlices, recentSlice)}
		m.services[name] = s
	}
	return s
}

// Acquire places a request on an endpoint, or rejects it.
func (m *Machine) Acquire(now time.Time, r Request) (Grant, *Rejection) {
	s := m.service(r.Service)
	m.updateLimitShare(now, s, r.Substitute)
	timeLeft := r.Deadline.Sub(now)
	mayRetry := (r.Idempotent || r.Retry) && !m.leavesRetriesToPeers(now) && s.budget.Allows(now, m.budgetShare(now))
	if r.Retry && !mayRetry {
		return Grant{}, &Rejection{Reason: RetryBudgetExhausted, TimeLeft: timeLeft}
	}
	r.retryable = r.Idempotent && !r.Retry && !r.LastAttempt && mayRetry
	c, ok := m.choose(now, s, &r)
	switch {
	case !ok && r.Hedge:
		return Grant{}, &Rejection{Reason: NoSpareSlot, TimeLeft: timeLeft}
	case !ok:
		return Grant{}, m.noEndpoint(now, s, &r)
	case r.MinScore > 0 && c.score < r.MinScore:
		return Grant{}, &Rejection{Reason: ScoreTooLow, BestScore: c.score, TimeLeft: timeLeft}
	case c.tooUnlikely(timeLeft, r.Idempotent):
		return Grant{}, &Rejection{Reason: Overloaded, RetryAfter: s.baselineLatency(), ExpectedLatency: c.expectedLatency, TimeLeft: timeLeft}
	}
	return m.grant(now, s, c, r.Retry), nil
}

// HasFullRetryWindow reports whether this instance has counted all retries for a whole retry window.
func (m *Machine) HasFullRetryWindow(now time.Time) bool {
	return now.Sub(m.countingSince) >= m.cfg.RetryBound.Window
}

// leavesRetriesToPeers reports whether only other instances may retry: this one has not
// counted for a whole window, and a peer that has may be spending the whole budget.
func (m *Machine) leavesRetriesToPeers(now time.Time) bool {
	if m.HasFullRetryWindow(now) {
		return false
	}
	for _, p := range m.peerStates {
		if p.fullWindow && now.Sub(p.reportedAt) < heartbeatTimeout {
			return true
		}
	}
	return false
}

// budgetShare returns the part of the shared budget that this instance may spend.
func (m *Machine) budgetShare(now time.Time) float64 {
	return float64(min(m.livePeers(now), m.peerCount)+1) / float64(m.peerCount+1)
}

// heartbeatTimeout is a few heartbeat intervals, after which the retries of a silent peer may be uncounted.
const heartbeatTimeout = 1600 * time.Millisecond

// livePeers returns the number of peers whose retries are counted.
func (m *Machine) livePeers(now time.Time) int {
	n := 0
	for _, p := range m.peerStates {
		if now.Sub(p.reportedAt) < heartbeatTimeout {
			n++
		}
	}
	return n
}

func (m *Machine) grant(now time.Time, s *service, c candidate, retry bool) Grant {
	e := c.endpoint
	e.own++
	e.inFlight++
	e.started(s, now)
	s.sent(now, retry)
	s.room.Add(now, true)
	kind := Started
	if retry {
		kind = Retried
	}
	m.addEvent(e, kind, 0)
	m.useLimit(now, e)
	m.urgent = m.urgent || retry || c.chance < unprovenChance
	return Grant{Endpoint: e.Endpoint, Limited: e.limit.isActive(), Chance: c.chance, InFlight: e.inFlight, BaselineLatency: e.latency.withPrior(s.baselineLatency())}
}

func (m *Machine) addEvent(e *endpointState, kind EventKind, latency time.Duration) {
	m.addReport(Event{Endpoint: e.ID, InFlight: e.own, Kind: kind, Value: int(latency.Milliseconds())})
	m.urgent = m.urgent || kind == EndedFailed || kind == EndedBroken || kind == Overdue || kind == Leaving
}

func (m *Machine) addReport(ev Event) {
	if !m.cfg.NoReports {
		m.events = append(m.events, ev)
	}
}

// Ended records the end of a request that this instance granted to itself.
func (m *Machine) Ended(now time.Time, id EndpointID, kind EventKind, latency time.Duration) {
	e := m.endpoints[id]
	if e == nil {
		return
	}
	e.release()
	e.reach.failures = 0
	m.observe(now, e, kind, latency)
	m.addEvent(e, kind, latency)
}

// SendFailed records that this instance could not send a request that it had granted to itself.
func (m *Machine) SendFailed(now time.Time, id EndpointID) {
	e := m.endpoints[id]
	if e == nil {
		return
	}
	e.release()
	e.endedEarly()
	e.reach.recordFailure(now)
	m.addEvent(e, EndedUnknown, 0)
}

// RemoteSendFailed records that another instance, to which this one had granted an endpoint,
// could not reach it. If others can, their outcomes soon outweigh this one.
func (m *Machine) RemoteSendFailed(now time.Time, id EndpointID) {
	if e := m.endpoints[id]; e != nil {
		e.release()
		e.endedEarly()
		e.estimate.Observe(m.service(e.Service).health, now, outlook.BrokenEarly)
	}
}

// BrokeredEnded records the end of this instance's request that a broker had granted.
func (m *Machine) BrokeredEnded(now time.Time, id EndpointID, kind EventKind, latency time.Duration) {
	if e := m.endpoints[id]; e != nil {
		m.observe(now, e, kind, latency)
	}
}

// BrokeredSendFailed records that this instance could not send a request that a broker had granted.
func (m *Machine) BrokeredSendFailed(now time.Time, id EndpointID) {
	if e := m.endpoints[id]; e != nil {
		e.reach.recordFailure(now)
	}
}

// ExcludedEndpoints returns the endpoints of a service to which this instance alone sends nothing: it
// cannot reach them, or they have announced that they want nothing from it. There are at most limit of them.
func (m *Machine) ExcludedEndpoints(now time.Time, service string, limit int) []EndpointID {
	var out []EndpointID
	for _, e := range m.service(service).endpoints {
		if (now.Before(e.reach.backoffUntil) || !e.Draining && !e.acceptsPlaced(now)) && len(out) < limit {
			out = append(out, e.ID)
		}
	}
	return out
}

// Endpoint returns the endpoint that a broker has granted; ok is false if there is none or it takes no requests now.
func (m *Machine) Endpoint(now time.Time, id EndpointID) (_ Endpoint, ok bool) {
	e := m.endpoints[id]
	if e == nil || !e.acceptsPlaced(now) {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// Overdue records that a granted request has had no response for many times the baseline latency.
func (m *Machine) Overdue(now time.Time, id EndpointID) {
	if e := m.endpoints[id]; e != nil {
		m.observe(now, e, Overdue, 0)
		m.addEvent(e, Overdue, 0)
	}
}

// observe updates an endpoint's health estimate and latency, and its service's.
func (m *Machine) observe(now time.Time, e *endpointState, kind EventKind, latency time.Duration) {
	s := m.service(e.Service)
	limit := s.earlyLimit()
	e.settle(s, now, limit)
	outcome, ok := outcomes[kind]
	if kind != Overdue && latency < limit {
		e.endedEarly()
		if early, fails := earlyOutcomes[kind]; fails {
			outcome = early
		} else if ok {
			e.estimate.Observe(s.health, now, outlook.Running)
		}
	}
	if !ok {
		return
	}
	e.estimate.Observe(s.health, now, outcome)
	switch kind {
	case EndedServed:
		s.attempts.Add(now, false)
		s.recordLatency(e, latency)
	case EndedFailed, EndedBroken:
		s.attempts.Add(now, true)
		e.lastFailed = now
	case EndedRefused:
		s.attempts.Add(now, true)
	}
}

// HandleReport applies the report of another instance. fullWindow is the sender's HasFullRetryWindow.
func (m *Machine) HandleReport(now time.Time, from PeerID, fullWindow bool, events []Event) {
	m.peerStates[from] = peerState{reportedAt: now, fullWindow: fullWindow}
	for _, ev := range events {
		e := m.endpoints[ev.Endpoint]
		if e == nil {
			continue
		}
		e.setPeerInFlight(from, max(ev.InFlight, 0))
		switch ev.Kind {
		case Started, Retried:
			s := m.service(e.Service)
			e.started(s, now)
			s.sent(now, ev.Kind == Retried)
		case Leaving:
			m.ReportedLeaving(now, ev.Endpoint, ev.latency())
		case LimitInForce:
			m.ReportedLimit(now, ev.Endpoint, float64(ev.Value)/rateUnit)
		case LimitUsed:
			m.reportedUse(now, e, from, ev.Value)
		case LimitEnded:
			m.ReportedLimitEnd(now, ev.Endpoint, ev.latency())
		default:
			m.observe(now, e, ev.Kind, ev.latency())
		}
	}
}

// ExpirePeers drops the requests in flight of peers that have been silent for PeerTimeout. While
// fewer than half of the peers report, this instance may miss retries of the others, and its count
// of the retry window starts anew.
func (m *Machine) ExpirePeers(now time.Time) {
	if 2*m.livePeers(now) < m.peerCount && now.Sub(m.adopted) > heartbeatTimeout {
		m.countingSince = now
	}
	for id, p := range m.peerStates {
		if now.Sub(p.reportedAt) < m.cfg.PeerTimeout {
			continue
		}
		delete(m.peerStates, id)
		for _, e := range m.endpoints {
			e.setPeerInFlight(id, 0)
			if e.limit != nil {
				delete(e.limit.peerSent, id)
			}
		}
	}
}

// Chance returns the estimated chance that an endpoint serves the next request; 0 if there is no such endpoint.
func (m *Machine) Chance(now time.Time, id EndpointID) float64 {
	if e := m.endpoints[id]; e != nil {
		return e.estimate.At(m.service(e.Service).health, now)
	}
	return 0
}
