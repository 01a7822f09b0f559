package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/outlook"
)

// An instance that starts while others run would have to find out again, with its callers' requests,
// which endpoints fail, and could not retry before it has counted the retries of a whole window. So
// an instance that has run for longer hands it what it knows.

// Handover is a part of what an instance knows of the endpoints and of the retries.
type Handover struct {
	_              struct{} `cbor:",toarray"`
	Endpoints      []EndpointHealth
	Retries        []RetryCounts
	CountingMillis int // How long the sender has counted all retries.
}

// EndpointHealth is the state of an endpoint at its last outcome.
type EndpointHealth struct {
	_         struct{} `cbor:",toarray"`
	ID        EndpointID
	Chance    int // That it was healthy, in ten-thousandths.
	AgeMillis int // Time since that outcome.
}

// RetryCounts are the first attempts and retries of a service, by slice of the retry window, the
// newest slice first.
type RetryCounts struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Slices  [][2]int
}

const (
	chanceUnit = 10_000 // Parts in which a Handover gives a chance.
	// maxHandoverEndpoints and maxHandoverServices keep a Handover within a datagram of 1,400 bytes: an
	// endpoint takes at most 14 bytes, a service about 100.
	maxHandoverEndpoints = 60
	maxHandoverServices  = 4
)

// Handover returns what this instance knows, in parts.
func (m *Machine) Handover(now time.Time) []Handover {
	var known []EndpointHealth
	for id, e := range m.endpoints {
		s := m.service(e.Service)
		e.settle(s, now, s.earlyLimit())
		if chance, at, ok := e.estimate.Last(); ok {
			known = append(known, EndpointHealth{ID: id, Chance: int(chance * chanceUnit), AgeMillis: int(max(now.Sub(at), 0).Milliseconds())})
		}
	}
	var retries []RetryCounts
	for name, s := range m.services {
		retries = append(retries, RetryCounts{Service: name, Slices: s.budget.Counts(now)})
	}
	slices.SortFunc(known, func(a, b EndpointHealth) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(retries, func(a, b RetryCounts) int { return cmp.Compare(a.Service, b.Service) })
	var parts []Handover
	for len(known)+len(retries) > 0 {
		endpoints, services := min(len(known), maxHandoverEndpoints), min(len(retries), maxHandoverServices)
		if endpoints > 0 {
			services = 0
		}
		parts = append(parts, Handover{Endpoints: known[:endpoints], Retries: retries[:services], CountingMillis: int(now.Sub(m.countingSince).Milliseconds())})
		known, retries = known[endpoints:], retries[services:]
	}
	return parts
}

// Adopt takes over what another instance knows, as far as this one has observed nothing itself.
func (m *Machine) Adopt(now time.Time, h Handover) {
	for _, k := range h.Endpoints {
		e := m.endpoints[k.ID]
		if e == nil || k.AgeMillis < 0 {
			continue
		}
		if _, _, observed := e.estimate.Last(); observed {
			continue
		}
		at := now.Add(-time.Duration(k.AgeMillis) * time.Millisecond)
		e.estimate = outlook.Since(float64(k.Chance)/chanceUnit, at)
		if at.After(e.lastUsed) {
			e.lastUsed = at
		}
	}
	since := now.Add(-time.Duration(h.CountingMillis) * time.Millisecond)
	for _, r := range h.Retries {
		m.service(r.Service).budget.Adopt(now, since, r.Slices)
	}
	if len(h.Retries) > 0 && since.Before(m.countingSince) {
		m.countingSince, m.adopted = since, now
	}
}
