package routing

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// zoneMargin is how much lower another zone's score must be to be preferred over a
// near choice whose utilization is above Config.ZoneSpill.
const zoneMargin = 0.1

// SetTargets replaces the service's endpoints. Attempts under way on removed
// endpoints run on. Requests that wait are rejected when no endpoint takes work.
func (b *Balancer) SetTargets(now time.Time, targets []Target) []Effect {
	for _, e := range b.endpoints {
		e.listed = false
	}
	for _, t := range targets {
		b.setTarget(now, t)
	}
	for i := len(b.endpoints) - 1; i >= 0; i-- {
		if e := b.endpoints[i]; !e.listed && e.outstanding == 0 {
			b.forget(e)
		}
	}
	return b.targetsChanged(now)
}

// Leave stops new work to an endpoint at once, until SetTargets gives it another standing.
func (b *Balancer) Leave(now time.Time, name fleet.Endpoint) []Effect {
	e := b.byName[name]
	if e == nil {
		return nil
	}
	e.target.Standing = StandingLeaving
	return b.targetsChanged(now)
}

// SetLoad takes a load, 0 to 1, that an endpoint reported just now.
func (b *Balancer) SetLoad(now time.Time, name fleet.Endpoint, load float64) {
	if e := b.byName[name]; e != nil {
		e.reported(load, now)
	}
}

func (b *Balancer) targetsChanged(now time.Time) []Effect {
	if !b.anyUsable() {
		b.rejectWaiting(now, RejectNoEndpoint)
	}
	b.pump(now)
	return b.takeEffects()
}

func (b *Balancer) setTarget(now time.Time, t Target) {
	name := t.Upstream.Endpoint
	e := b.byName[name]
	known := e != nil
	if !known {
		e = &endpoint{}
		b.byName[name] = e
		b.endpoints = append(b.endpoints, e)
	}
	e.update(now, t, known)
}

// forget drops the record of an endpoint that is not listed and has nothing under way.
func (b *Balancer) forget(e *endpoint) {
	delete(b.byName, e.name())
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

// anyUsable reports whether some endpoint may take ordinary work when it has a free slot.
func (b *Balancer) anyUsable() bool {
	for _, e := range b.endpoints {
		if e.usable() && e.target.Limit > 0 {
			return true
		}
	}
	return false
}

// anyUntried reports whether some usable endpoint has had no attempt of r.
func (b *Balancer) anyUntried(r *request) bool {
	for _, e := range b.endpoints {
		if e.usable() && e.target.Limit > 0 && !r.tried(e) {
			return true
		}
	}
	return false
}

func (b *Balancer) anyRamping(now time.Time) bool {
	for _, e := range b.endpoints {
		if e.usable() && e.ramp(now, b.cfg.SlowStart) < 1 {
			return true
		}
	}
	return false
}

// candidates implements Candidates for a set of the balancer's endpoints.
type candidates struct {
	balancer  *Balancer
	now       time.Time
	endpoints []*endpoint
}

// Len implements Candidates.
func (c *candidates) Len() int { return len(c.endpoints) }

// Endpoint implements Candidates.
func (c *candidates) Endpoint(i int) fleet.Endpoint { return c.endpoints[i].name() }

// Outstanding implements Candidates.
func (c *candidates) Outstanding(i int) int { return c.endpoints[i].outstanding }

// Score implements Candidates.
func (c *candidates) Score(i int) float64 {
	return c.endpoints[i].score(c.now, c.balancer.cfg.SlowStart, &c.balancer.latency)
}

func (c *candidates) reset(b *Balancer, now time.Time) {
	c.balancer = b
	c.now = now
	c.endpoints = c.endpoints[:0]
}

// pick returns the policy's choice; nil when there is no candidate.
func (c *candidates) pick() *endpoint {
	if len(c.endpoints) == 0 {
		return nil
	}
	return c.endpoints[c.balancer.cfg.Policy.Pick(c.balancer.random, c)]
}

// choose returns an endpoint with a free slot that r has not been sent to, or nil.
// Another zone is used when this one has no free slot, or when its choice is above
// ZoneSpill and the other's is lower by zoneMargin.
func (b *Balancer) choose(now time.Time, r *request) *endpoint {
	b.collect(now, r)
	near := b.near.pick()
	if near == nil {
		return b.far.pick()
	}
	if b.far.Len() == 0 {
		return near
	}
	cost := near.score(now, b.cfg.SlowStart, &b.latency)
	if cost <= b.cfg.ZoneSpill {
		return near
	}
	far := b.far.pick()
	if far.score(now, b.cfg.SlowStart, &b.latency)+zoneMargin < cost {
		return far
	}
	return near
}

// collect gathers the candidates for r, apart for this instance's zone and for others.
func (b *Balancer) collect(now time.Time, r *request) {
	b.near.reset(b, now)
	b.far.reset(b, now)
	for _, e := range b.endpoints {
		if !e.usable() || e.outstanding >= e.limit(now, b.cfg.SlowStart) || r.tried(e) {
			continue
		}
		if b.cfg.Zone == "" || e.target.Upstream.Zone == b.cfg.Zone {
			b.near.endpoints = append(b.near.endpoints, e)
		} else {
			b.far.endpoints = append(b.far.endpoints, e)
		}
	}
}
