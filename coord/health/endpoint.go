package health

import (
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// endpointState is an evaluator's state of one endpoint.
type endpointState struct {
	upstream     fleet.Upstream
	key          EndpointKey
	scopes       []scope     // All carriers, then each zone.
	lastRequests []time.Time // When each carrier's last report of requests arrived.
	removal      removal
}

// removal is the progress of an endpoint out of service and back.
type removal struct {
	state         State        // One of the States; StateInService when not removed.
	zones         []fleet.Zone // Whose carriers avoid it; nil for all.
	cause         Cause
	score         float64
	since         time.Time
	mayReturn     time.Time
	returned      time.Time // Last return to service.
	holdDoublings int       // Doublings of the hold time.
	trialScores   [numCauses]float64
	trialRequests int
	lastTrial     time.Time
	atFloor       bool // The last decision left it in service because of the budget.
}

func newEndpointState(u fleet.Upstream, zones, carriers int) *endpointState {
	ep := &endpointState{upstream: u, key: KeyOf(u.Endpoint)}
	ep.removal.state = StateInService
	ep.setCarriers(zones, carriers)
	return ep
}

// setCarriers restarts the tests for another set of carriers. The averages over all carriers are kept.
func (ep *endpointState) setCarriers(zones, carriers int) {
	var kept averages
	if len(ep.scopes) > 0 {
		kept = ep.scopes[0].averages
	}
	ep.scopes = make([]scope, 1+zones)
	for i := range ep.scopes {
		ep.scopes[i] = newScope(carriers)
	}
	ep.scopes[0].averages = kept
	ep.lastRequests = make([]time.Time, carriers)
}

func (ep *endpointState) ready() bool {
	return ep.upstream.State == fleet.UpstreamReady
}

func (ep *endpointState) readySlots() int {
	if !ep.ready() {
		return 0
	}
	return ep.upstream.Slots
}

func (ep *endpointState) removed() bool {
	return ep.removal.state != StateInService
}

func (ep *endpointState) resetTests() {
	for i := range ep.scopes {
		ep.scopes[i].resetTests()
	}
}

// score returns the highest score of any test in any scope.
func (ep *endpointState) score() float64 {
	highest := 0.0
	for s := range ep.scopes {
		for i := range ep.scopes[s].tests {
			highest = max(highest, ep.scopes[s].tests[i].score)
		}
	}
	return highest
}

// setEndpoints applies the platform's list. It keeps the state of endpoints that stay on it.
func (ev *Evaluator) setEndpoints(upstreams []fleet.Upstream, carriersChanged bool) {
	before := ev.endpoints
	ev.endpoints = make([]*endpointState, 0, len(upstreams))
	for _, u := range upstreams {
		ep := ev.byKey[KeyOf(u.Endpoint)]
		switch {
		case ep == nil:
			ep = newEndpointState(u, len(ev.zones), len(ev.assignment.Carriers))
		case carriersChanged:
			ep.setCarriers(len(ev.zones), len(ev.assignment.Carriers))
		}
		ep.setUpstream(u)
		ev.endpoints = append(ev.endpoints, ep)
	}
	ev.byKey = make(map[EndpointKey]*endpointState, len(upstreams))
	for _, ep := range ev.endpoints {
		ev.byKey[ep.key] = ep
	}
	if !slices.Equal(before, ev.endpoints) {
		ev.dropSnapshots()
	}
}

// setUpstream applies the list's entry of the endpoint. For one that is not ready the tests and the
// removal start over.
func (ep *endpointState) setUpstream(u fleet.Upstream) {
	ep.upstream = u
	if u.State == fleet.UpstreamReady {
		return
	}
	ep.resetTests()
	ep.removal = removal{state: StateInService, holdDoublings: ep.removal.holdDoublings, returned: ep.removal.returned}
}

// dropSnapshots restarts the comparisons with peers, since snapshots are indexed by position in the list.
func (ev *Evaluator) dropSnapshots() {
	for _, ep := range ev.endpoints {
		for i := range ep.scopes {
			for k := range ep.scopes[i].tests {
				ep.scopes[i].tests[k].snapshot = nil
			}
		}
	}
}
