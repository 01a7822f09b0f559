package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// An endpoint that is leaving says so in its responses. Its registration may say nothing of it for long, or
// lapse and return, so what it announced is kept apart from the list of endpoints. It holds for the incarnation
// that announced it: not for a later start under the same id, nor for another endpoint at the address.

// leavingSource is how an instance learned that an endpoint is leaving.
type leavingSource uint8

const (
	notLeaving       leavingSource = iota
	leavingReported                // Another instance had a response that said so. The endpoint is a last resort.
	leavingAnnounced               // This instance had one. The endpoint gets no more requests from it.
)

// leavingMark is what is known of an endpoint's leaving: its incarnations that started by a time of day are
// leaving. A time is zero if there was no announcement, or no report.
type leavingMark struct {
	announced time.Time
	reported  time.Time
	at        time.Time // When it was last announced or reported.
}

// of returns what is known of the incarnation that started at a time.
func (l leavingMark) of(started time.Time) leavingSource {
	switch {
	case !l.announced.IsZero() && !started.After(l.announced):
		return leavingAnnounced
	case !l.reported.IsZero() && !started.After(l.reported):
		return leavingReported
	default:
		return notLeaving
	}
}

const (
	// leavingRetention is how long an endpoint that is no longer listed stays marked: much longer than a
	// registration that lapsed takes to return.
	leavingRetention = 10 * time.Minute
	// maxUnlistedLeaving bounds the marks of endpoints that are no longer listed.
	maxUnlistedLeaving = 4096
)

// AnnouncedLeaving records that a response to this instance said that its endpoint is leaving. The request
// was sent at a time; the incarnation that answered had started by then. The result reports whether this is new.
func (m *Machine) AnnouncedLeaving(now time.Time, e Endpoint, sent time.Time) bool {
	known := m.leavingOf(e) == leavingAnnounced
	mark := m.leaving[e.Name]
	mark.announced = latest(e.Started, latest(mark.announced, sent)) // The clocks may differ.
	m.setMark(now, e, mark)
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
		mark := m.leaving[e.Name]
		mark.reported = latest(e.Started, latest(mark.reported, now.Add(-sentBefore)))
		m.setMark(now, e.Endpoint, mark)
	}
}

func (m *Machine) setMark(now time.Time, e Endpoint, mark leavingMark) {
	mark.at = now
	m.leaving[e.Name] = mark
	if state := m.endpoints[e.ID]; state != nil {
		state.leaving = mark.of(state.Started)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// leavingOf returns whether an incarnation of an endpoint is known to be leaving.
func (m *Machine) leavingOf(e Endpoint) leavingSource {
	return m.leaving[e.Name].of(e.Started)
}

// noticeRestart notes that an endpoint that was leaving has started again.
func (m *Machine) noticeRestart(old, e Endpoint) {
	mark := m.leaving[e.Name]
	if mark.of(old.Started) == leavingAnnounced && e.Started.After(mark.announced) {
		m.notices = append(m.notices, Notice{Kind: LeavingEnded, Endpoint: e.Name, Service: e.Service})
	}
}

// forgetLeaving drops the marks that are no longer needed: those of endpoints that have not been listed for
// leavingRetention, and the oldest ones beyond maxUnlistedLeaving.
func (m *Machine) forgetLeaving(now time.Time) {
	if len(m.leaving) == 0 {
		return
	}
	unlisted := maps.Clone(m.leaving)
	for _, e := range m.endpoints {
		if e.leaving == notLeaving {
			continue
		}
		delete(unlisted, e.Name)
	}
	names := slices.SortedFunc(maps.Keys(unlisted), func(a, b string) int {
		return cmp.Or(unlisted[b].at.Compare(unlisted[a].at), cmp.Compare(a, b))
	})
	for i, name := range names {
		if i >= maxUnlistedLeaving || now.Sub(unlisted[name].at) > leavingRetention {
			delete(m.leaving, name)
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
}

// NoticeKind is the kind of a Notice.
type NoticeKind uint8

// Kinds of notices.
const (
	LeavingAnnounced NoticeKind = iota + 1 // It announced that it is leaving.
	LeavingEnded                           // It has started again, and is used again.
)

// TakeNotices returns the notices since the last call.
func (m *Machine) TakeNotices() []Notice {
	notices := m.notices
	m.notices = nil
	return notices
}
