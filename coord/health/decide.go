package health

import (
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// trafficAge is the time for which a carrier's last request on an endpoint shows that it sends requests there.
const trafficAge = time.Minute

// observeRequests takes one carrier's report on an endpoint, and reports whether it is in service there.
func (j *Judge) observeRequests(now time.Time, t *tracked, carrier int, r Report) bool {
	zone := j.zoneOf[carrier]
	if !t.ready() {
		return false
	}
	if j.outFor(t, zone) {
		j.observeAtFloor(now, t, r)
		return false
	}
	t.seen[carrier] = now
	for _, s := range [...]int{0, 1 + zone} {
		t.scopes[s].observe(now, j.centres[s], r, carrier, j.operating.Limit)
		j.mark(t, s)
	}
	return true
}

// outFor reports whether an endpoint is out of service for a zone's carriers.
func (j *Judge) outFor(t *tracked, zone int) bool {
	if !t.removed() {
		return false
	}
	return t.removal.zones == nil || slices.Contains(t.removal.zones, j.zones[zone])
}

// mark keeps the totals of all endpoints when a score rises over a quarter of the limit.
func (j *Judge) mark(t *tracked, s int) {
	for k := range t.scopes[s].tests {
		test := &t.scopes[s].tests[k]
		if test.score < markedPart*j.operating.Limit {
			test.marks = nil
			continue
		}
		if test.marks == nil {
			test.marks = j.totals(s)
		}
	}
}

func (j *Judge) totals(s int) []totals {
	all := make([]totals, len(j.endpoints))
	for i, t := range j.endpoints {
		all[i] = t.scopes[s].totals
	}
	return all
}

// decide takes an endpoint out of service if the tests say so.
func (j *Judge) decide(now time.Time, t *tracked, zone int) {
	if t.removed() && t.removal.zones == nil {
		return
	}
	if test, sick := j.sick(now, t, 0); sick {
		if bad, one := j.onlyZone(now, t, test); one {
			j.avoid(now, t, bad, test)
			return
		}
		j.remove(now, t, nil, causeOf(test), t.scopes[0].tests[test].score)
		return
	}
	if test, sick := j.sick(now, t, 1+zone); sick {
		j.avoid(now, t, zone, test)
	}
}

// avoid takes an endpoint out of service for one zone, or for all when it is avoided from every other zone.
func (j *Judge) avoid(now time.Time, t *tracked, zone, test int) {
	score := max(t.scopes[1+zone].tests[test].score, t.scopes[0].tests[test].score)
	zones := []fleet.Zone{j.zones[zone]}
	if t.removed() {
		zones = append(zones, t.removal.zones...)
	}
	if len(zones) >= len(j.zones) {
		zones = nil
	}
	j.remove(now, t, zones, causeOf(test), score)
}

// agreedPart is the part of the limit that the score must reach without the carrier that
// contributed most to it.
const agreedPart = 2.0 / 3

// sick returns a test over a scope that has passed the limit, if several carriers agree and the peers are healthier.
func (j *Judge) sick(now time.Time, t *tracked, s int) (int, bool) {
	limit := j.operating.Limit
	for i := range t.scopes[s].tests {
		test := &t.scopes[s].tests[i]
		if test.score < limit || test.marks == nil {
			continue
		}
		if j.carriersWithTraffic(now, t, s) > 1 && test.withoutLargest() < agreedPart*limit {
			continue
		}
		if j.confirm(t, s, i) {
			return i, true
		}
		test.scale(markedPart * limit / test.score)
		test.marks = nil
	}
	return 0, false
}

// carriersWithTraffic counts the carriers of a scope that send requests to an endpoint.
func (j *Judge) carriersWithTraffic(now time.Time, t *tracked, s int) int {
	count := 0
	for carrier, at := range t.seen {
		if s > 0 && j.zoneOf[carrier] != s-1 {
			continue
		}
		if !at.IsZero() && now.Sub(at) < trafficAge {
			count++
		}
	}
	return count
}

// confirm compares an endpoint with its peers over the time since its score rose.
func (j *Judge) confirm(t *tracked, s, test int) bool {
	marks := t.scopes[s].tests[test].marks
	var own totals
	var peers []totals
	for i, other := range j.endpoints {
		since := other.scopes[s].totals.minus(marks[i])
		switch {
		case other == t:
			own = since
		case other.ready() && !other.removed():
			peers = append(peers, since)
		}
	}
	if test == testSlow {
		return confirmSlowness(j.centres[s], own, peers, j.operating.Limit)
	}
	return confirmFailures(j.centres[s], failureSteps[test], own, peers, j.operating.Limit)
}

// onlyZone returns the zone whose carriers alone find an endpoint sick, if others send requests there in health.
func (j *Judge) onlyZone(now time.Time, t *tracked, test int) (int, bool) {
	parts := make([]float64, len(j.zones))
	for carrier, part := range t.scopes[0].tests[test].by {
		parts[j.zoneOf[carrier]] += part
	}
	bad := 0
	for zone := range parts {
		if parts[zone] > parts[bad] {
			bad = zone
		}
	}
	others := 0
	for zone := range parts {
		if zone == bad || j.carriersWithTraffic(now, t, 1+zone) == 0 {
			continue
		}
		others++
		if parts[zone] > 0 {
			return 0, false
		}
	}
	return bad, others > 0
}
