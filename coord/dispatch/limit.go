package dispatch

import (
	"math/rand/v2"
	"time"
)

// An endpoint in need names in its responses how many requests a second it takes from all instances together. Each
// instance keeps a copy of the endpoint's token bucket, from which it takes the requests of all instances: its own at
// once, those of others when they report them. A report carries the sender's count of requests, so that a lost one
// is made up for by the next and a duplicate changes nothing. What is placed while reports are on their way is
// bounded by chance: requests draw whether they may use the room, and instances start to use it at different levels
// of the bucket.

const (
	// minLimitRate is the least rate in requests a second at which a limited endpoint is used: its responses tell when
	// the limit ends.
	minLimitRate = 0.5
	// maxLimitRate bounds a reported rate, in requests a second.
	maxLimitRate = 1e6
	// limitSpread is the time in which a bucket fills from the lowest to the highest level at which instances start to
	// use it: many times the time that a report takes.
	limitSpread = 300 * time.Millisecond
	// limitDebt is how long a bucket takes at most to make up for requests that were placed beyond its level.
	limitDebt = 4 * time.Second
	// reportDelay bounds the time that a report usually takes, processing included.
	reportDelay = 50 * time.Millisecond
	// limitedAttempts is how many times faster than its limit an endpoint's room is tried while there is some.
	limitedAttempts = 4
	// lessUrgentChance is the factor of the chance to use scarce room while more urgent requests have found none.
	lessUrgentChance = 0.2
	// scarceWindow is how long room counts as scarce after a request has found none.
	scarceWindow = time.Second
	// limitRepeat is how long this instance repeats its count of requests, and that a limit has ended.
	limitRepeat = 1500 * time.Millisecond
	// substituteShare is the part of a limit that is used by an instance that places requests in place of another one.
	substituteShare = 0.25
	// maxReordered bounds how far a late report is behind the newest one of its sender; one that is further behind
	// begins a new count.
	maxReordered = 64
	// rateUnit is the unit of a rate in reports: thousandths of a request a second.
	rateUnit = 1000
)

// rateLimit is what an instance knows of an endpoint's limit. A nil rateLimit limits nothing.
type rateLimit struct {
	active    bool
	by        time.Time // It holds for the incarnations that started by then.
	rate      float64   // Requests a second.
	namedAt   time.Time // When a response last named it, to this instance or to one that reported it.
	endedAt   time.Time // When it ended; zero if it never did.
	announced bool      // A response to this instance has named it.
	renewed   bool      // One has since the last report.

	tokens    float64 // Requests that all instances may place at settledAt; negative after too many.
	settledAt time.Time
	share     float64 // Part of the rate that this instance and those that report to it may use.
	threshold float64 // Tokens from which this instance places a request.

	sent       int            // Requests that this instance has placed.
	lastSent   time.Time      // The last of them.
	peerSent   map[PeerID]int // The same count of the other instances, as reported.
	absentSent time.Time      // When the last request was sent whose response to this instance named no limit.
}

// covers reports whether the limit is that of the incarnation that started at a time.
func (l *rateLimit) covers(started time.Time) bool {
	return l != nil && !started.After(l.by)
}

func (l *rateLimit) isActive() bool { return l != nil && l.active }

// usedRate returns the rate at which the endpoint is used, in requests a second.
func (l *rateLimit) usedRate() float64 { return max(l.rate, minLimitRate) }

// tokensAt returns the level of the bucket.
func (l *rateLimit) tokensAt(now time.Time) float64 {
	rate := l.usedRate()
	gained := max(now.Sub(l.settledAt), 0).Seconds() * rate * l.share
	return min(l.tokens+gained, 1+rate*limitSpread.Seconds())
}

func (l *rateLimit) settle(now time.Time) {
	l.tokens, l.settledAt = l.tokensAt(now), now
}

// hasRoom reports whether this instance may place a request.
func (l *rateLimit) hasRoom(now time.Time) bool {
	return !l.isActive() || l.share > 0 && l.tokensAt(now) >= l.threshold
}

// roomAt returns when this instance may place a request if no other one does; ok is false if it may not.
func (l *rateLimit) roomAt(now time.Time) (_ time.Time, ok bool) {
	if l.share <= 0 {
		return time.Time{}, false
	}
	missing := max(l.threshold-l.tokensAt(now), 0)
	return now.Add(time.Duration(missing / (l.usedRate() * l.share) * float64(time.Second))), true
}

// take takes requests of any instance from the bucket.
func (l *rateLimit) take(now time.Time, requests int, random *rand.Rand) {
	l.settle(now)
	l.tokens = max(l.tokens-float64(requests), -l.usedRate()*limitDebt.Seconds())
	l.drawThreshold(random)
}

func (l *rateLimit) drawThreshold(random *rand.Rand) {
	l.threshold = 1 + random.Float64()*l.usedRate()*limitSpread.Seconds()
}

// name records that a response has named the limit.
func (l *rateLimit) name(now time.Time, rate float64, random *rand.Rand) {
	l.settle(now)
	if !l.active {
		l.active, l.tokens = true, 0
	}
	if l.rate != rate {
		l.rate = rate
		l.drawThreshold(random)
	}
	l.namedAt = now
}

// end ends the limit if a response names none to a request that was sent after one has named it.
func (l *rateLimit) end(now, sent time.Time) bool {
	if !l.active || !sent.After(l.namedAt) {
		return false
	}
	l.active, l.endedAt = false, now
	return true
}

// LimitNamed records that a response to this instance named the requests a second that its endpoint takes from all
// instances. The request was sent at a time; the incarnation that answered had started by then.
func (m *Machine) LimitNamed(now time.Time, e Endpoint, sent time.Time, rate float64) {
	l := m.limitOf(now, e, sent)
	rate = min(max(rate, 0), maxLimitRate)
	isNew := !l.active || l.rate != rate
	l.name(now, rate, m.rand())
	l.announced, l.renewed = true, true
	if !isNew {
		return
	}
	m.notices = append(m.notices, Notice{Kind: LimitAnnounced, Endpoint: e.Name, Service: e.Service, Limit: l.rate})
	if state := m.endpoints[e.ID]; state != nil {
		m.reportLimit(state)
		m.urgent = true
	}
}

// LimitAbsent records that a response to this instance, to a request that was sent at a time, named no limit.
func (m *Machine) LimitAbsent(now time.Time, e Endpoint, sent time.Time) {
	l := m.announcements[e.Name].limit
	if !l.covers(e.Started) || !l.active && l.endedAt.IsZero() {
		return
	}
	l.absentSent = latest(l.absentSent, sent)
	if !l.end(now, sent) {
		return
	}
	m.noticeLimitEnd(l, e)
	if state := m.endpoints[e.ID]; state != nil {
		m.addEvent(state, LimitEnded, now.Sub(sent))
	}
}

// ReportedLimit records that another instance had a response with a limit, in requests a second.
func (m *Machine) ReportedLimit(now time.Time, id EndpointID, rate float64) {
	if e := m.endpoints[id]; e != nil && rate >= 0 {
		m.limitOf(now, e.Endpoint, now).name(now, min(rate, maxLimitRate), m.rand())
	}
}

// ReportedLimitEnd records that another instance had a response without a limit, to a request that was sent before
// by the given time.
func (m *Machine) ReportedLimitEnd(now time.Time, id EndpointID, sentBefore time.Duration) {
	if e := m.endpoints[id]; e != nil && e.limit != nil && e.limit.end(now, now.Add(-sentBefore)) {
		m.noticeLimitEnd(e.limit, e.Endpoint)
	}
}

// LimitedEndpoints returns how many listed endpoints have a limit.
func (m *Machine) LimitedEndpoints() int {
	n := 0
	if !m.hasLimits {
		return n
	}
	for _, e := range m.endpoints {
		if e.limit.isActive() {
			n++
		}
	}
	return n
}

// RecentLimit returns the limit of an endpoint if a response to this instance has named it lately.
func (m *Machine) RecentLimit(now time.Time, id EndpointID) (rate float64, ok bool) {
	e := m.endpoints[id]
	if e == nil || !e.limit.isActive() || !e.limit.announced || now.Sub(e.limit.namedAt) > limitDebt {
		return 0, false
	}
	return e.limit.rate, true
}

// limitOf returns the limit of the incarnation of an endpoint that had started when a request was sent.
func (m *Machine) limitOf(now time.Time, e Endpoint, sent time.Time) *rateLimit {
	a := m.announcements[e.Name]
	if !a.limit.covers(e.Started) {
		a.limit = &rateLimit{settledAt: now, rate: -1, peerSent: make(map[PeerID]int)}
	}
	a.limit.by = latest(e.Started, latest(a.limit.by, sent)) // The clocks may differ.
	a.limit.settle(now)
	a.limit.share = m.limitShare(now, false)
	m.setAnnouncement(now, e, a)
	m.hasLimits = true
	return a.limit
}

func (m *Machine) noticeLimitEnd(l *rateLimit, e Endpoint) {
	if l.announced {
		m.notices = append(m.notices, Notice{Kind: LimitLifted, Endpoint: e.Name, Service: e.Service})
	}
	l.announced, l.renewed = false, false
}

// SetBrokered sets whether brokers place this instance's requests. Then they alone count the requests of all
// instances, and this instance places none of its own at a limited endpoint.
func (m *Machine) SetBrokered(on bool) { m.brokered = on }

// limitShare returns the part of the limits that this instance may use together with those whose reports it gets.
func (m *Machine) limitShare(now time.Time, substitute bool) float64 {
	switch {
	case m.brokered:
		return 0
	case substitute:
		return substituteShare
	default:
		return m.budgetShare(now)
	}
}

// updateLimitShare applies the present share to the limits of a service.
func (m *Machine) updateLimitShare(now time.Time, s *service, substitute bool) {
	if !m.hasLimits {
		return
	}
	share := -1.0
	for _, e := range s.endpoints {
		if !e.limit.isActive() {
			continue
		}
		if share < 0 {
			share = m.limitShare(now, substitute)
		}
		if e.limit.share != share {
			e.limit.settle(now)
			e.limit.share = share
		}
	}
}

// useLimit takes a request that this instance places from the endpoint's limit.
func (m *Machine) useLimit(now time.Time, e *endpointState) {
	if !e.limit.isActive() {
		return
	}
	e.limit.take(now, 1, m.rand())
	e.limit.sent++
	e.limit.lastSent = now
	m.reportLimitUse(e)
	m.urgent = true
}

// reportedUse takes the requests that another instance has placed from the endpoint's limit.
func (m *Machine) reportedUse(now time.Time, e *endpointState, from PeerID, sent int) {
	l := e.limit
	if l == nil {
		return
	}
	known, ok := l.peerSent[from]
	requests := sent - known
	switch {
	case !ok || requests < -maxReordered:
		requests = 1 // How many were placed before is not known.
	case requests <= 0:
		return
	}
	l.peerSent[from] = sent
	l.take(now, requests, m.rand())
}

func (m *Machine) reportLimit(e *endpointState) {
	m.addReport(Event{Endpoint: e.ID, InFlight: e.own, Kind: LimitInForce, Value: int(e.limit.rate * rateUnit)})
}

func (m *Machine) reportLimitUse(e *endpointState) {
	m.addReport(Event{Endpoint: e.ID, InFlight: e.own, Kind: LimitUsed, Value: e.limit.sent})
}

// RepeatLimits reports again what other instances may have missed: this instance's use of limits, and their renewals
// and ends. It is to be called with each heartbeat.
func (m *Machine) RepeatLimits(now time.Time) {
	if !m.hasLimits {
		return
	}
	for _, e := range m.endpoints {
		l := e.limit
		switch {
		case l == nil:
		case l.active:
			if l.renewed {
				m.reportLimit(e)
				l.renewed = false
			}
			if now.Sub(l.lastSent) < limitRepeat {
				m.reportLimitUse(e)
			}
		case !l.absentSent.IsZero() && now.Sub(l.endedAt) < limitRepeat:
			m.addEvent(e, LimitEnded, now.Sub(l.absentSent))
		}
	}
}

// drawsRoom draws whether a request may use the room of a limited endpoint. While many are looking for room, the
// chance keeps those that use it before their reports have arrived to about one.
func (m *Machine) drawsRoom(now time.Time, s *service, l *rateLimit, r *Request) bool {
	if !l.isActive() {
		return true
	}
	if r.Hedge {
		return false // The request is under way already.
	}
	attempts := 1/reportDelay.Seconds() + limitedAttempts*l.usedRate()
	chance := attempts / max(s.demand(now), attempts)
	if s.scarceForMoreUrgent(now, r.Priority) {
		chance *= lessUrgentChance
	}
	return chance >= 1 || m.rand().Float64() < chance
}

// demand returns the recent requests of a service that were placed or found no room at a limited endpoint, in
// requests a second.
func (s *service) demand(now time.Time) float64 {
	served, failed := s.attempts.Sums(now)
	without, _ := s.room.Sums(now)
	return float64(served+failed+without) / (recentSlices * recentSlice).Seconds()
}

// scarcity returns how many of this instance's requests look for room for each that finds it, at least 1. An instance
// that has found less than its equal part of the room takes that part for what it finds.
func (m *Machine) scarcity(now time.Time, s *service) float64 {
	without, placed := s.room.Sums(now)
	served, failed := s.attempts.Sums(now)
	equalPart := float64(served+failed) / float64(m.livePeers(now)+1)
	return max(float64(without+1)/(max(float64(placed), equalPart)+1), 1)
}

// scarceForMoreUrgent reports whether requests that are more urgent than a priority have found no room lately.
func (s *service) scarceForMoreUrgent(now time.Time, priority int) bool {
	for p, at := range s.scarce {
		if p < priority && now.Sub(at) < scarceWindow {
			return true
		}
	}
	return false
}

// foundNoRoom records a request that found no room at a limited endpoint and no other endpoint.
func (s *service) foundNoRoom(now time.Time, r *Request) {
	if !r.Waiting {
		s.room.Add(now, false)
	}
	if s.scarce == nil {
		s.scarce = make(map[int]time.Time)
	}
	s.scarce[r.Priority] = now
}

func (m *Machine) rand() *rand.Rand { return rand.New(m.random) }
