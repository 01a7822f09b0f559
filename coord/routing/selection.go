package routing

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// zoneMargin is how much lower the score of an endpoint in another zone must be to be
// chosen when the score in this zone is above Config.ZoneSpillThreshold.
const zoneMargin = 0.1

// SetTargets replaces the service's endpoints. Running attempts on removed endpoints run
// on. Waiting requests are rejected when no endpoint is usable.
func (b *Balancer) SetTargets(now time.Time, targets []Target) []Effect {
	for _, e := range b.endpoints {
		e.listed = false
	}
	for _, t := range targets {
		b.setTarget(now, t)
	}
	for i := len(b.endpoints) - 1; i >= 0; i-- {
		if e := b.endpoints[i]; !e.listed && e.outstanding == 0 {
			b.removeEndpoint(e)
		}
	}
	return b.targetsChanged(now)
}

// MarkDraining sets an endpoint to StateDraining until the next SetTargets that lists it.
func (b *Balancer) MarkDraining(now time.Time, address fleet.Endpoint) []Effect {
	e := b.byAddress[address]
	if e == nil {
		return nil
	}
	e.target.State = StateDraining
	return b.targetsChanged(now)
}

// SetLoad records a load, 0 to 1, that an endpoint has just reported.
func (b *Balancer) SetLoad(now time.Time, address fleet.Endpoint, load float64) {
	if e := b.byAddress[address]; e != nil {
		e.setLoad(load, now)
	}
}

func (b *Balancer) targetsChanged(now time.Time) []Effect {
	if !b.anyUsable() {
		b.rejectWaiting(now, RejectNoEndpoint)
	}
	b.dispatchWaiting(now)
	return b.takeEffects()
}

func (b *Balancer) setTarget(now time.Time, t Target) {
	address := t.Upstream.Endpoint
	e := b.byAddress[address]
	known := e != nil
	if !known {
		e = &endpoint{}
		b.byAddress[address] = e
		b.endpoints = append(b.endpoints, e)
	}
	e.update(now, t, known)
}

// removeEndpoint removes an endpoint that is not listed and has no running attempt.
func (b *Balancer) removeEndpoint(e *endpoint) {
	delete(b.byAddress, e.address())
	for i := range b.endpoints {
		if b.endpoints[i] == e {
			b.endpoints = append(b.endpoints[:i], b.endpoints[i+1:]...)
			return
		}
	}
}

func (b *Balancer) hasSlot(now time.Time, e *endpoint) bool {
	return e.outstanding < e.limit(now, b.cfg.SlowStart)
}

// anyUsable reports whether any endpoint may take ordinary requests when it has a free slot.
func (b *Balancer) anyUsable() bool {
	for _, e := range b.endpoints {
		if e.usable() && e.target.Limit > 0 {
			return true
		}
	}
	return false
}

// anyUntried reports whether r has not been sent to some usable endpoint.
func (b *Balancer) anyUntried(r *request) bool {
	for _, e := range b.endpoints {
		if e.usable() && e.target.Limit > 0 && !r.tried(e) {
			return true
		}
	}
	return false
}

func (b *Balancer) anyInSlowStart(now time.Time) bool {
	for _, e := range b.endpoints {
		if e.usable() && e.slowStartProgress(now, b.cfg.SlowStart) < 1 {
			return true
		}
	}
	return false
}

// candidates implements Candidates for a subset of the balancer's endpoints.
type candidates struct {
	balancer  *Balancer
	now       time.Time
	endpoints []*endpoint
}

// Len implements Candidates.
func (c *candidates) Len() int { return len(c.endpoints) }

// Endpoint implements Candidates.
func (c *candidates) Endpoint(i int) fleet.Endpoint { return c.endpoints[i].address() }

// Outstanding implements Candidates.
func (c *candidates) Outstanding(i int) int { return c.endpoints[i].outstanding }

// Score implements Candidates.
func (c *candidates) Score(i int) float64 {
	return c.endpoints[i].score(c.now, c.balancer.cfg.SlowStart, &c.balancer.meanLatency)
}

func (c *candidates) reset(b *Balancer, now time.Time) {
	c.balancer = b
	c.now = now
	c.endpoints = c.endpoints[:0]
}

// pick returns the endpoint that the policy selects; nil when there is no candidate.
func (c *candidates) pick() *endpoint {
	if len(c.endpoints) == 0 {
		return nil
	}
	return c.endpoints[c.balancer.cfg.Policy.Pick(c.balancer.random, c)]
}

// choose returns an endpoint with a free slot that r has not been sent to, or nil.
// It chooses another zone when this zone has no such endpoint, or when the score of the
// endpoint selected here is above ZoneSpillThreshold and the score of the one selected
// elsewhere is lower by more than zoneMargin.
func (b *Balancer) choose(now time.Time, r *request) *endpoint {
	b.collect(now, r)
	local := b.sameZone.pick()
	if local == nil {
		return b.otherZones.pick()
	}
	if b.otherZones.Len() == 0 {
		return local
	}
	localScore := local.score(now, b.cfg.SlowStart, &b.meanLatency)
	if localScore <= b.cfg.ZoneSpillThreshold {
		return local
	}
	remote := b.otherZones.pick()
	if remote.score(now, b.cfg.SlowStart, &b.meanLatency)+zoneMargin < localScore {
		return remote
	}
	return local
}

// collect fills sameZone and otherZones with the candidates for r.
func (b *Balancer) collect(now time.Time, r *request) {
	b.sameZone.reset(b, now)
	b.otherZones.reset(b, now)
	for _, e := range b.endpoints {
		if !e.usable() || e.outstanding >= e.limit(now, b.cfg.SlowStart) || r.tried(e) {
			continue
		}
		if b.cfg.Zone == "" || e.target.Upstream.Zone == b.cfg.Zone {
			b.sameZone.endpoints = append(b.sameZone.endpoints, e)
		} else {
			b.otherZones.endpoints = append(b.otherZones.endpoints, e)
		}
	}
}
