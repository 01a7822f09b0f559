package health

import (
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// trafficWindow is the time after a request for which a carrier counts as sending requests to the endpoint.
const trafficWindow = time.Minute

// observeRequests adds one carrier's report to the tests on an endpoint. It returns false when the
// endpoint is out of service for that carrier, or not ready, and the report does not count.
func (ev *Evaluator) observeRequests(now time.Time, ep *endpointState, carrier int, r Report) bool {
	zone := ev.zoneOf[carrier]
	if !ep.ready() {
		return false
	}
	if ev.outForZone(ep, zone) {
		ev.observeAtFloor(now, ep, r)
		return false
	}
	ep.lastRequests[carrier] = now
	for _, s := range [...]int{0, 1 + zone} {
		ep.scopes[s].observe(now, ev.baselines[s], r, carrier, ev.operating.Limit)
		ev.updateSnapshot(ep, s)
	}
	return true
}

// outForZone reports whether an endpoint is out of service for a zone's carriers.
func (ev *Evaluator) outForZone(ep *endpointState, zone int) bool {
	if !ep.removed() {
		return false
	}
	return ep.removal.zones == nil || slices.Contains(ep.removal.zones, ev.zones[zone])
}

// updateSnapshot keeps the totals of all endpoints from when a score reached snapshotShare of the
// limit. Below that it drops them.
func (ev *Evaluator) updateSnapshot(ep *endpointState, s int) {
	for k := range ep.scopes[s].tests {
		test := &ep.scopes[s].tests[k]
		if test.score < snapshotShare*ev.operating.Limit {
			test.snapshot = nil
			continue
		}
		if test.snapshot == nil {
			test.snapshot = ev.totals(s)
		}
	}
}

func (ev *Evaluator) totals(s int) []totals {
	all := make([]totals, len(ev.endpoints))
	for i, ep := range ev.endpoints {
		all[i] = ep.scopes[s].totals
	}
	return all
}

// decide takes an endpoint out of service if a test shows it unhealthy.
func (ev *Evaluator) decide(now time.Time, ep *endpointState, zone int) {
	if ep.removed() && ep.removal.zones == nil {
		return
	}
	if test, unhealthy := ev.unhealthyTest(now, ep, 0); unhealthy {
		if only, ok := ev.soleUnhealthyZone(now, ep, test); ok {
			ev.avoid(now, ep, only, test)
			return
		}
		ev.remove(now, ep, nil, causeOf(test), ep.scopes[0].tests[test].score)
		return
	}
	if test, unhealthy := ev.unhealthyTest(now, ep, 1+zone); unhealthy {
		ev.avoid(now, ep, zone, test)
	}
}

// avoid takes an endpoint out of service for one zone, or for all when every other zone avoids it already.
func (ev *Evaluator) avoid(now time.Time, ep *endpointState, zone, test int) {
	score := max(ep.scopes[1+zone].tests[test].score, ep.scopes[0].tests[test].score)
	zones := []fleet.Zone{ev.zones[zone]}
	if ep.removed() {
		zones = append(zones, ep.removal.zones...)
	}
	if len(zones) >= len(ev.zones) {
		zones = nil
	}
	ev.remove(now, ep, zones, causeOf(test), score)
}

// agreementShare is the share of the limit that the score must reach without the carrier that
// contributed most to it, so that one carrier alone cannot remove an endpoint that others use.
const agreementShare = 2.0 / 3

// unhealthyTest returns a test of a scope whose score has reached the limit, if several carriers
// agree and the peers are healthier. A score that the peers do not confirm is scaled back.
func (ev *Evaluator) unhealthyTest(now time.Time, ep *endpointState, s int) (int, bool) {
	limit := ev.operating.Limit
	for i := range ep.scopes[s].tests {
		test := &ep.scopes[s].tests[i]
		if test.score < limit || test.snapshot == nil {
			continue
		}
		if ev.carriersWithTraffic(now, ep, s) > 1 && test.scoreWithoutLargest() < agreementShare*limit {
			continue
		}
		if ev.confirm(ep, s, i) {
			return i, true
		}
		test.scale(snapshotShare * limit / test.score)
		test.snapshot = nil
	}
	return 0, false
}

// carriersWithTraffic returns the number of carriers of a scope that send requests to an endpoint.
func (ev *Evaluator) carriersWithTraffic(now time.Time, ep *endpointState, s int) int {
	count := 0
	for carrier, at := range ep.lastRequests {
		if s > 0 && ev.zoneOf[carrier] != s-1 {
			continue
		}
		if !at.IsZero() && now.Sub(at) < trafficWindow {
			count++
		}
	}
	return count
}

// confirm compares an endpoint with its peers over the time since its score rose.
func (ev *Evaluator) confirm(ep *endpointState, s, test int) bool {
	snapshot := ep.scopes[s].tests[test].snapshot
	var own totals
	var peers []totals
	for i, other := range ev.endpoints {
		since := other.scopes[s].totals.minus(snapshot[i])
		switch {
		case other == ep:
			own = since
		case other.ready() && !other.removed():
			peers = append(peers, since)
		}
	}
	if test == testSlow {
		return confirmSlowness(ev.baselines[s], own, peers, ev.operating.Limit)
	}
	return confirmFailures(ev.baselines[s], extraFailureShares[test], own, peers, ev.operating.Limit)
}

// soleUnhealthyZone returns the only zone whose carriers find an endpoint unhealthy, if carriers of
// other zones send requests to it and find it healthy.
func (ev *Evaluator) soleUnhealthyZone(now time.Time, ep *endpointState, test int) (int, bool) {
	byZone := make([]float64, len(ev.zones))
	for carrier, part := range ep.scopes[0].tests[test].byCarrier {
		byZone[ev.zoneOf[carrier]] += part
	}
	worst := 0
	for zone := range byZone {
		if byZone[zone] > byZone[worst] {
			worst = zone
		}
	}
	others := 0
	for zone := range byZone {
		if zone == worst || ev.carriersWithTraffic(now, ep, 1+zone) == 0 {
			continue
		}
		others++
		if byZone[zone] > 0 {
			return 0, false
		}
	}
	return worst, others > 0
}
