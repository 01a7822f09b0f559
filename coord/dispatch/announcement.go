package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// An endpoint that is leaving says so in its responses, and one that turns a request away may say for how long it
// wants no more. Its registration may say nothing of it, or lapse and return, so what it announced is kept
// apart from the list of endpoints. It holds for the incarnation that announced it: not for a later start under
// the same id, nor for another endpoint at the address.

// leavingSource is how an instance learned that an endpoint is leaving.
type leavingSource uint8

const (
	notLeaving       leavingSource = iota
	leavingReported                // Another instance had a response that said so. The endpoint is a last resort.
	leavingAnnounced               // This instance had one. The endpoint gets no more requests from it.
)

// announcement is what an endpoint has announced. Each kind holds for the incarnations that started by a time of
// day, which is zero if there was none of the kind.
type announcement struct {
	leavingBy  time.Time // Of a leaving that it announced to this instance.
	reportedBy time.Time // Of a leaving that other instances reported.
	heldOffBy  time.Time // Of a hold-off that it announced to this instance.
	holdUntil  time.Time // End of that hold-off.
	limit      *rateLimit
	updated    time.Time // When anything was last announced or reported.
}

// leaving returns whether the incarnation that started at a time is known to be leaving.
func (a announcement) leaving(started time.Time) leavingSource {
	switch {
	case !a.leavingBy.IsZero() && !started.After(a.leavingBy):
		return leavingAnnounced
	case !a.reportedBy.IsZero() && !started.After(a.reportedBy):
		return leavingReported
	default:
		return notLeaving
	}
}

// heldUntil returns until when the incarnation that started at a time wants no requests; zero if it does not say.
func (a announcement) heldUntil(started time.Time) time.Time {
	if started.After(a.heldOffBy) {
		return time.Time{}
	}
	return a.holdUntil
}

const (
	// announcementRetention is how long what an endpoint announced is kept while it is not listed: much longer
	// than a registration that lapsed takes to return.
	announcementRetention = 10 * time.Minute
	// maxUnlisted bounds the announcements of endpoints that are not listed.
	maxUnlisted = 4096
)

// AnnouncedLeaving records that a response to this instance said that its endpoint is leaving. The request
// was sent at a time; the incarnation that answered had started by then. The result reports whether this is new.
func (m *Machine) AnnouncedLeaving(now time.Time, e Endpoint, sent time.Time) bool {
	a := m.announcements[e.Name]
	known := a.leaving(e.Started) == leavingAnnounced
	a.leavingBy = latest(e.Started, latest(a.leavingBy, sent)) // The clocks may differ.
	m.setAnnouncement(now, e, a)
	if known {
		return false
	}
	m.notices = append(m.notices, Notice{Kind: LeavingAnnounced, Endpoint: e.Name, Service: e.Service})
	if state := m.endpoints[e.ID]; state != nil {
		m.addEvent(state, Leaving, now.Sub(sent))
	}
	return true
}

// ReportedLeaving records that another instance had such a response, to a request that was sent before by
// the given time.
func (m *Machine) ReportedLeaving(now time.Time, id EndpointID, sentBefore time.Duration) {
	if e := m.endpoints[id]; e != nil {
		a := m.announcements[e.Name]
		a.reportedBy = latest(e.Started, latest(a.reportedBy, now.Add(-sentBefore)))
		m.setAnnouncement(now, e.Endpoint, a)
	}
}

// HeldOff records that an endpoint turned this instance's request away, and wants no more from it for a time.
// The request was sent at a time; the incarnation that answered had started by then.
func (m *Machine) HeldOff(now time.Time, e Endpoint, sent time.Time, holdOff time.Duration) {
	a := m.announcements[e.Name]
	before := a.heldUntil(e.Started)
	a.heldOffBy = latest(e.Started, latest(a.heldOffBy, sent))
	a.holdUntil = latest(before, now.Add(holdOff))
	m.setAnnouncement(now, e, a)
	if !now.Before(before) {
		m.notices = append(m.notices, Notice{Kind: HoldOffAnnounced, Endpoint: e.Name, Service: e.Service, HoldOff: holdOff})
	}
}

func (m *Machine) setAnnouncement(now time.Time, e Endpoint, a announcement) {
	a.updated = now
	m.announcements[e.Name] = a
	if state := m.endpoints[e.ID]; state != nil {
		state.apply(a)
	}
}

// apply applies what an endpoint has announced to its listed incarnation.
func (e *endpointState) apply(a announcement) {
	e.leaving, e.holdUntil, e.limit = a.leaving(e.Started), a.heldUntil(e.Started), nil
	if a.limit.covers(e.Started) {
		e.limit = a.limit
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// noticeRestart notes that an endpoint that was leaving has started again.
func (m *Machine) noticeRestart(old, e Endpoint) {
	a := m.announcements[e.Name]
	if a.leaving(old.Started) == leavingAnnounced && e.Started.After(a.leavingBy) {
		m.notices = append(m.notices, Notice{Kind: LeavingEnded, Endpoint: e.Name, Service: e.Service})
	}
}

// forgetAnnouncements drops what is no longer needed: announcements of endpoints that have not been listed for
// announcementRetention, and the oldest ones beyond maxUnlisted.
func (m *Machine) forgetAnnouncements(now time.Time) {
	if len(m.announcements) == 0 {
		return
	}
	unlisted := maps.Clone(m.announcements)
	for _, e := range m.endpoints {
		if e.leaving != notLeaving || now.Before(e.holdUntil) || e.limit.isActive() {
			delete(unlisted, e.Name)
		}
	}
	names := slices.SortedFunc(maps.Keys(unlisted), func(a, b string) int {
		return cmp.Or(unlisted[b].updated.Compare(unlisted[a].updated), cmp.Compare(a, b))
	})
	for i, name := range names {
		if i >= maxUnlisted || now.Sub(unlisted[name].updated) > announcementRetention {
			delete(m.announcements, name)
		}
	}
}

// LeavingCounts are the listed endpoints that are known to be leaving although their registration does not say so.
type LeavingCounts struct {
	Announced int // To this instance.
	Reported  int // By other instances only.
}

// LeavingCounts counts the endpoints of all services.
func (m *Machine) LeavingCounts() LeavingCounts {
	var n LeavingCounts
	if len(m.announcements) == 0 {
		return n
	}
	for _, e := range m.endpoints {
		switch {
		case e.Draining:
		case e.leaving == leavingAnnounced:
			n.Announced++
		case e.leaving == leavingReported:
			n.Reported++
		}
	}
	return n
}

// Notice is a change of what an endpoint wants of this instance, for the log.
type Notice struct {
	Kind     NoticeKind
	Endpoint string // The id under which it registered.
	Service  string
	HoldOff  time.Duration // For HoldOffAnnounced; zero for others.
	Limit    float64       // For LimitAnnounced, in requests a second; zero for others.
}

// NoticeKind is the kind of a Notice.
type NoticeKind uint8

// Kinds of notices.
const (
	LeavingAnnounced NoticeKind = iota + 1 // It announced that it is leaving.
	LeavingEnded                           // It has started again, and is used again.
	HoldOffAnnounced                       // It wants no requests for a time.
	LimitAnnounced                         // It takes so many requests a second from all instances.
	LimitLifted                            // It names no limit any more.
)

// TakeNotices returns the notices since the last call.
func (m *Machine) TakeNotices() []Notice {
	notices := m.notices
	m.notices = nil
	return notices
}
