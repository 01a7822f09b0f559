package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Weights of the choice between endpoints, in parts of one request's credit.
const (
	// lateCredit is what an answer after the objective is worth to a caller.
	lateCredit = 0.5
	// crowdCost prefers the emptier among equals; endpoints slow down when nearly full.
	crowdCost = 0.015
	// waitCost is taken off for each usual time that a request would wait for a slot.
	waitCost = 0.05
	// secondChance is the chance that a request is served by a second try, where it may have one.
	secondChance = 0.7
	// unusedBonus brings a first request to an endpoint that joined.
	unusedBonus = 0.3
	// jitter keeps instances with the same view from choosing alike.
	jitter = 0.004
	// unprovenChance is the chance under which an endpoint is tried by one request at a time.
	unprovenChance = 0.85
	// unprovenCost is taken off for each request that is on trial there already.
	unprovenCost = 0.1
	// leastPreference bounds what costs take off.
	leastPreference = 0.2
	// lostChance is the chance of an answer under which an order is turned away unrun: a
	// refusal that says so serves its caller better than a failure that is all but certain.
	lostChance = 0.05
	// coldFactor is how many times longer a request takes at an endpoint that warms up.
	coldFactor = 2
)

const (
	// coverChance is the chance from which an endpoint is taken to be sound. Most of the sound
	// ones are to be in use at any time: when instances are lost, their requests count as unserved.
	coverChance = 0.45
	// coverEvery is how often each such endpoint is used by orders while too few are in use,
	// well inside the two seconds over which the users judge it.
	coverEvery = 1400 * time.Millisecond
	// testChance and testEvery hold for idempotent requests, however many are in use: a failure
	// costs them a repeat only.
	testChance = 0.35
	testEvery  = 900 * time.Millisecond
	// awayFactor is how many times longer an endpoint of another zone is left to the instances there.
	awayFactor = 3
	// spreadFrom is the unserved share from which endpoints are used whatever their chance
	// while too few are; from a tenth on, the users want most of them in use.
	spreadFrom = 0.08
	// spreadMargin is added to the share of endpoints that the users want in use then.
	spreadMargin = 0.05
	// spreadWithin is how long a use counts, well inside the two seconds over which the users judge it.
	spreadWithin = 1500 * time.Millisecond
	// spreadMin is the fewest requests that tell a share.
	spreadMin = 10
	// spreadRest is how long a failed endpoint is left alone all the same.
	spreadRest = 1800 * time.Millisecond
)

// choice is an endpoint with what speaks for it.
type choice struct {
	endpoint *tracked
	chance   float64
	finish   time.Duration // Expected time to the answer.
	worth    float64       // Expected credit.
}

// choose returns the best endpoint for a request; ok is false where none takes work.
func (m *Machine) choose(now time.Time, s *service, a *Request) (best choice, ok bool) {
	spreads := s.spreads(now)
	// A lookup covers whatever is in use, so that the share is counted for it only where it decides.
	few := (spreads || !a.Idempotent) && s.inUse(now) < m.cfg.FloorShare+spreadMargin
	spread := few && spreads
	var due choice
	for _, e := range s.endpoints {
		if !m.usable(now, e, a) {
			continue
		}
		c := m.weigh(now, s, e, a)
		if !ok || c.worth > best.worth {
			best, ok = c, true
		}
		if c.due(now, a.Idempotent || few, spread, a.Idempotent, m.away(e)) && (due.endpoint == nil || c.worth > due.worth) {
			due = c
		}
	}
	if due.endpoint != nil && due.finish < a.Deadline.Sub(now) {
		return due, true
	}
	return best, ok
}

// lost tells whether a request is better turned away than sent to its best endpoint.
func (c choice) lost(left time.Duration, idempotent bool) bool {
	inTime := likelyBy(left, c.finish)
	return inTime == 0 || !idempotent && c.chance*inTime < lostChance
}

// due tells whether an endpoint is to be used because it has not been for long: while covers,
// if it is likely sound, and while the service spreads, whatever it is.
func (c choice) due(now time.Time, covers, spread, idempotent, away bool) bool {
	chance, every := coverChance, coverEvery
	if idempotent {
		chance, every = testChance, testEvery
	}
	if away && !spread {
		every *= awayFactor
	}
	if now.Sub(c.endpoint.used) < every {
		return false
	}
	return covers && c.chance >= chance || spread && now.Sub(c.endpoint.failed) > spreadRest
}

// away tells whether an endpoint is another zone's, whose instances use it.
func (m *Machine) away(e *tracked) bool {
	return e.Zone != m.cfg.Zone && m.peersByZone[e.Zone] > 0
}

// spreads tells whether so many requests go unserved that most endpoints are to be used.
func (s *service) spreads(now time.Time) bool {
	share, n := s.unservedShare(now)
	return n >= spreadMin && share > spreadFrom
}

// inUse returns the share of the endpoints that have been used lately. One that has just
// failed counts neither way: the users do not take it for sound.
func (s *service) inUse(now time.Time) float64 {
	used, all := 0, 0
	for _, e := range s.endpoints {
		if e.Draining || now.Sub(e.failed) <= spreadRest {
			continue
		}
		all++
		if now.Sub(e.used) < spreadWithin {
			used++
		}
	}
	return float64(used) / float64(max(all, 1))
}

// usable tells whether a request may go to an endpoint at all.
func (m *Machine) usable(now time.Time, e *tracked, a *Request) bool {
	return !e.Draining && !now.Before(e.reach.until) && !slices.Contains(a.Tried, e.ID)
}

// weigh returns what an endpoint is worth to a request. Costs and preferences are parts of
// the expected credit: however crowded, a sound endpoint goes before one that fails.
func (m *Machine) weigh(now time.Time, s *service, e *tracked, a *Request) choice {
	c := choice{endpoint: e, chance: e.estimate.At(m.cfg.HealthModel, now)}
	work := e.took.or(s.usual())
	if now.Before(e.WarmUpEnd) {
		work *= coldFactor
	}
	wait := queueing(e, work)
	c.finish = work + wait
	preference := 1 - crowdCost*float64(e.inFlight)/float64(e.Slots) - waitCost*wait.Seconds()/work.Seconds()
	if c.chance < unprovenChance && !a.Idempotent {
		preference -= unprovenCost * float64(e.inFlight)
	}
	c.worth = m.servedChance(c.chance, a) * credit(a, now, c.finish) * max(preference, leastPreference)
	c.worth -= a.CrossZoneCost * m.crosses(e, c.chance, a)
	if e.used.IsZero() && now.After(e.WarmUpEnd) && now.Sub(e.joined) > time.Second {
		c.worth += unusedBonus
	}
	c.worth += jitter * rand.New(m.random).Float64()
	return c
}

// servedChance returns the chance that a request is served in the end: an idempotent one
// whose first try fails, mostly at once, is sent elsewhere.
func (m *Machine) servedChance(chance float64, a *Request) float64 {
	if !a.repeatable {
		return chance
	}
	return chance + (1-chance)*secondChance
}

// crosses returns the chance that a request's answer comes from another zone: of an endpoint
// there, or of a second try, which may go anywhere.
func (m *Machine) crosses(e *tracked, chance float64, a *Request) float64 {
	if e.Zone != m.cfg.Zone {
		return chance
	}
	if !a.repeatable {
		return 0
	}
	return (1 - chance) * secondChance
}

// queueing returns how long a request waits for a slot.
func queueing(e *tracked, work time.Duration) time.Duration {
	ahead := e.inFlight - e.Slots + 1
	if ahead <= 0 {
		return 0
	}
	return work * time.Duration(ahead) / time.Duration(e.Slots)
}

// credit returns the part of a request's credit that an answer after about finish earns.
func credit(a *Request, now time.Time, finish time.Duration) float64 {
	onTime := likelyBy(a.Objective.Sub(now), finish)
	served := likelyBy(a.Deadline.Sub(now), finish)
	return lateCredit*served + (1-lateCredit)*min(onTime, served)
}

// hopeless is the part of the expected time that an answer must have to be likely at all.
const hopeless = 0.6

// likelyBy returns about how likely an answer that takes finish on average comes within a
// time. Times of work spread by about half, so it falls from 1 at 1.8 times the average to 0 at 0.6.
func likelyBy(within, finish time.Duration) float64 {
	const certain = 1.8
	ratio := float64(within) / float64(max(finish, time.Millisecond))
	return min(max((ratio-hopeless)/(certain-hopeless), 0), 1)
}
