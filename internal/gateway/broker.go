package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/broker"
	"github.com/damaskcove/damaskcove/coord/dispatch"
)

const (
	// localMinScore is the score from which an endpoint of the own zone is used without trying
	// other zones.
	localMinScore = 0.55
	// remoteScoreMargin is how much an endpoint of another zone must score above the best local one.
	remoteScoreMargin = 0.1
	// grantExpiryMargin is how long after its request's deadline a grant without a reported end expires.
	grantExpiryMargin = 500 * time.Millisecond
	// endSendFailed is the end of a request that its requester could not send to the endpoint.
	endSendFailed dispatch.EventKind = 255
)

// brokerState is an instance's state as a broker: the endpoints of its zone and the grants on
// them. It is owned by the control loop.
type brokerState struct {
	machine *dispatch.Machine
	grants  *broker.GrantTable
	zones   []string // Zones with instances. Endpoints in zones without any are divided among them.

	endpointZones map[string][]string // Other zones whose brokers have endpoints that are not draining, by service.
}

// newBroker returns an empty broker state. The additional retries of the budget are divided among
// the zones, as each has its own broker.
func (c *control) newBroker(now time.Time) *brokerState {
	cfg := c.dispatchConfig()
	cfg.NoReports = true
	cfg.RetryBound.Extra /= float64(len(c.zones()))
	return &brokerState{machine: dispatch.New(cfg, now, rand.NewPCG(rand.Uint64(), rand.Uint64())), grants: broker.NewGrantTable()}
}

// zones returns the availability zones that have instances, sorted.
func (c *control) zones() []string {
	zones := []string{c.settings.Instance.Zone}
	for _, e := range c.members.byKey {
		if !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// ensureBroker returns this instance's broker state, and creates it for the first request.
func (c *control) ensureBroker(now time.Time) *brokerState {
	if c.broker == nil {
		c.broker = c.newBroker(now)
		c.applyBrokerEndpoints(now)
	}
	return c.broker
}

// applyBrokerEndpoints sets the endpoints that this instance places requests on as a broker.
func (c *control) applyBrokerEndpoints(now time.Time) {
	if c.broker == nil || c.config == nil {
		return
	}
	c.broker.zones = c.zones()
	own := c.settings.Instance.Zone
	c.broker.endpointZones = make(map[string][]string)
	var list []dispatch.Endpoint
	for _, e := range c.registry.endpoints(c.config) {
		zone := broker.BrokerZone(e.Zone, c.broker.zones)
		zones := c.broker.endpointZones[e.Service]
		switch {
		case zone == own:
			list = append(list, e)
		case !e.Draining && !slices.Contains(zones, zone):
			c.broker.endpointZones[e.Service] = append(zones, zone)
		}
	}
	c.broker.machine.SetEndpoints(now, list)
}

// handlePlacementRequest places a request of another instance, or of this one.
func (c *control) handlePlacementRequest(now time.Time, msg placementRequest) {
	state := c.ensureBroker(now)
	grantID := broker.GrantID{Requester: uint64(msg.From), Seq: msg.Seq}
	if _, duplicate := state.grants.Lookup(grantID); duplicate {
		return
	}
	req := msg.request(now)
	ranked := broker.Rank(msg.Service, c.coordinators)
	req.Substitute = len(ranked) > 0 && dispatch.PeerID(ranked[0].Incarnation) != c.peer
	switch {
	case msg.Hops == hopLocal && !req.Hedge && len(state.zones) > 1:
		req.MinScore = localMinScore
	case msg.Hops == hopRemote:
		req.MinScore = fromPerMille(msg.BestScore) + remoteScoreMargin
	}
	grant, rejection := state.machine.Acquire(now, req)
	if rejection != nil {
		c.declineOrForward(now, msg, rejection)
		return
	}
	state.grants.Add(grantID, grant.Endpoint.ID, req.Deadline.Add(grantExpiryMargin))
	c.sendReply(now, placementReply{
		Broker: c.peer, To: msg.From, Seq: msg.Seq, Endpoint: grant.Endpoint.ID, HasLimit: grant.Limited, Chance: toPerMille(grant.Chance), InFlight: grant.InFlight, BaselineLatency: int(grant.BaselineLatency.Milliseconds()),
	})
}

// declineOrForward forwards a request without a good endpoint here to a broker of another zone or
// back to its home broker, or replies why it gets no endpoint.
func (c *control) declineOrForward(now time.Time, msg placementRequest, r *dispatch.Rejection) {
	tryOtherZone := r.Reason == dispatch.ScoreTooLow || r.Reason == dispatch.NoEndpoint || r.Reason == dispatch.Overloaded
	switch {
	case msg.Hops == hopLocal && tryOtherZone && msg.Flags&flagHedge == 0:
		msg.HomeBroker, msg.BestScore = c.peer, toPerMille(max(r.BestScore, 0))
		if remote, ok := c.pickRemoteBroker(now, msg.Service); ok {
			msg.Hops = hopRemote
			c.sendPlacementRequest(now, remote.Incarnation, msg)
			return
		}
		if r.Reason == dispatch.ScoreTooLow {
			msg.Hops = hopReturned
			c.handlePlacementRequest(now, msg)
			return
		}
	case msg.Hops == hopRemote && tryOtherZone && msg.BestScore > 0:
		msg.Hops = hopReturned
		c.sendPlacementRequest(now, uint64(msg.HomeBroker), msg)
		return
	}
	reason := r.Reason
	if reason == dispatch.ScoreTooLow {
		reason = dispatch.Overloaded
	}
	c.sendReply(now, placementReply{
		Broker: c.peer, To: msg.From, Seq: msg.Seq, Reason: reason, Limited: r.Limited, Wait: int(r.Wait.Milliseconds()),
		RetryAfter: int(max(r.RetryAfter, minRetryAfter).Milliseconds()), ExpectedLatency: int(r.ExpectedLatency.Milliseconds()),
	})
}

// minRetryAfter is the shortest Retry-After for a request that was rejected by a broker: it may
// have been tried in two zones.
const minRetryAfter = 100 * time.Millisecond

// pickRemoteBroker returns a service's broker in a random other zone that has endpoints of it. ok is false if there is
// no such zone, or none of its coordinators answers.
func (c *control) pickRemoteBroker(now time.Time, service string) (broker.Instance, bool) {
	var zones []string
	for _, zone := range c.broker.endpointZones[service] {
		if len(c.remoteCoordinators[zone]) > 0 {
			zones = append(zones, zone)
		}
	}
	if len(zones) == 0 {
		return broker.Instance{}, false
	}
	return c.placement.suspects.Pick(now, broker.Rank(service, c.remoteCoordinators[zones[rand.IntN(len(zones))]]))
}

func (c *control) sendReply(now time.Time, r placementReply) {
	if r.To == c.peer {
		c.handlePlacementReply(now, r)
		return
	}
	c.sendTo(r.To, datagramPlacementReply, r)
}

// handleGrantEnd records how a granted request ended, that it is overdue, or what its endpoint has announced.
func (c *control) handleGrantEnd(now time.Time, e grantEnd) {
	if c.broker == nil {
		return
	}
	grantID := broker.GrantID{Requester: uint64(e.From), Seq: e.Seq}
	latency := time.Duration(e.Value) * time.Millisecond
	if id, ok := c.broker.grants.Lookup(grantID); ok {
		switch e.Kind { // The grant goes on.
		case dispatch.Overdue:
			c.broker.machine.Overdue(now, id)
			return
		case dispatch.Leaving:
			c.broker.machine.ReportedLeaving(now, id, latency)
			return
		case dispatch.LimitInForce:
			c.broker.machine.ReportedLimit(now, id, fromPerMille(e.Value))
			return
		case dispatch.LimitEnded:
			c.broker.machine.ReportedLimitEnd(now, id, latency)
			return
		}
	}
	id, ok := c.broker.grants.Remove(grantID)
	switch {
	case !ok:
	case e.Kind == endSendFailed:
		c.broker.machine.RemoteSendFailed(now, id)
	default:
		c.broker.machine.Ended(now, id, e.Kind, latency)
	}
}

// tickBroker expires grants, and updates the endpoints when the zones with instances have changed.
func (c *control) tickBroker(now time.Time) {
	if c.broker == nil {
		return
	}
	for _, id := range c.broker.grants.Expire(now) {
		c.broker.machine.Ended(now, id, dispatch.EndedUnknown, 0)
	}
	if !slices.Equal(c.broker.zones, c.zones()) {
		c.applyBrokerEndpoints(now)
	}
}
