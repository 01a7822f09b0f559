package health

import (
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// tracked is what a judge knows of one endpoint.
type tracked struct {
	upstream fleet.Upstream
	key      EndpointKey
	scopes   []scope     // All carriers, then each zone.
	seen     []time.Time // Last request of each carrier.
	removal  removal
}

// removal is an endpoint's way out of service and back.
type removal struct {
	state     State        // StateOpen, StateEjected, StateAvoided or StateTrial.
	zones     []fleet.Zone // Whose carriers avoid it; nil for all.
	cause     Cause
	score     float64
	since     time.Time
	mayReturn time.Time
	returned  time.Time // Last return to service.
	strikes   int       // Doublings of the hold time.
	trial     [causes]float64
	trials    int
	lastTrial time.Time
	atFloor   bool // The last verdict left it in service because of the budget.
}

func newTracked(u fleet.Upstream, zones, carriers int) *tracked {
	t := &tracked{upstream: u, key: KeyOf(u.Endpoint)}
	t.removal.state = StateOpen
	t.setCarriers(zones, carriers)
	return t
}

// setCarriers starts the tests anew for another set of carriers. The averages over all carriers are kept.
func (t *tracked) setCarriers(zones, carriers int) {
	var kept rates
	if len(t.scopes) > 0 {
		kept = t.scopes[0].rates
	}
	t.scopes = make([]scope, 1+zones)
	for i := range t.scopes {
		t.scopes[i] = newScope(carriers)
	}
	t.scopes[0].rates = kept
	t.seen = make([]time.Time, carriers)
}

func (t *tracked) ready() bool {
	return t.upstream.State == fleet.UpstreamReady
}

func (t *tracked) readySlots() int {
	if !t.ready() {
		return 0
	}
	return t.upstream.Slots
}

func (t *tracked) removed() bool {
	return t.removal.state != StateOpen
}

func (t *tracked) resetTests() {
	for i := range t.scopes {
		t.scopes[i].resetTests()
	}
}

// score returns the highest score of any test, over all carriers or those of one zone.
func (t *tracked) score() float64 {
	highest := 0.0
	for s := range t.scopes {
		for i := range t.scopes[s].tests {
			highest = max(highest, t.scopes[s].tests[i].score)
		}
	}
	return highest
}

// setEndpoints takes over the platform's list. What is known of an endpoint that stays is kept.
func (j *Judge) setEndpoints(upstreams []fleet.Upstream, carriersChanged bool) {
	before := j.endpoints
	j.endpoints = make([]*tracked, 0, len(upstreams))
	for _, u := range upstreams {
		t := j.byKey[KeyOf(u.Endpoint)]
		switch {
		case t == nil:
			t = newTracked(u, len(j.zones), len(j.assignment.Carriers))
		case carriersChanged:
			t.setCarriers(len(j.zones), len(j.assignment.Carriers))
		}
		t.setUpstream(u)
		j.endpoints = append(j.endpoints, t)
	}
	j.byKey = make(map[EndpointKey]*tracked, len(upstreams))
	for _, t := range j.endpoints {
		j.byKey[t.key] = t
	}
	if !slices.Equal(before, j.endpoints) {
		j.dropMarks()
	}
}

// setUpstream takes what the list says of the endpoint. One that is not ready is judged anew later.
func (t *tracked) setUpstream(u fleet.Upstream) {
	t.upstream = u
	if u.State == fleet.UpstreamReady {
		return
	}
	t.resetTests()
	t.removal = removal{state: StateOpen, strikes: t.removal.strikes, returned: t.removal.returned}
}

// dropMarks starts the comparisons with peers anew, since marks are by position in the list.
func (j *Judge) dropMarks() {
	for _, t := range j.endpoints {
		for i := range t.scopes {
			for k := range t.scopes[i].tests {
				t.scopes[i].tests[k].marks = nil
			}
		}
	}
}
