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

// choose returns an endpoint with a free slot that r has not been sent to, or nil.
func (b *Balancer) choose(now time.Time, r *request) *endpoint {
	b.collect(now, r)
	return b.pick()
}

// collect gathers the candidates for r, apart for this instance's zone and for others.
func (b *Balancer) collect(now time.Time, r *request) {
	b.near, b.far = b.near[:0], b.far[:0]
	for i, e := range b.endpoints {
		if !e.usable() {
			continue
		}
		limit := e.limit(now, b.cfg.SlowStart)
		if e.outstanding >= limit || r.tried(e) {
			continue
		}
		c := e.candidate(now, i, limit, b.cfg.SlowStart, &b.latency)
		if b.cfg.Zone == "" || e.target.Upstream.Zone == b.cfg.Zone {
			b.near = append(b.near, c)
		} else {
			b.far = append(b.far, c)
		}
	}
}

// pick applies the policy. Another zone is used when this one has no free slot, or
// when its choice is above ZoneSpill and the other's is lower by zoneMargin.
func (b *Balancer) pick() *endpoint {
	if len(b.near) == 0 && len(b.far) == 0 {
		return nil
	}
	if len(b.near) == 0 {
		return b.pickFrom(b.far)
	}
	near := b.near[b.cfg.Policy.Pick(b.random, b.near)]
	if near.Score <= b.cfg.ZoneSpill || len(b.far) == 0 {
		return b.endpoints[near.index]
	}
	far := b.far[b.cfg.Policy.Pick(b.random, b.far)]
	if far.Score+zoneMargin < near.Score {
		return b.endpoints[far.index]
	}
	return b.endpoints[near.index]
}

func (b *Balancer) pickFrom(candidates []Candidate) *endpoint {
	return b.endpoints[candidates[b.cfg.Policy.Pick(b.random, candidates)].index]
}
