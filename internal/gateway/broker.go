package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/broker"
	"github.com/damaskcove/damaskcove/coord/dispatch"
)

const (
	// goodWorth is the worth from which an endpoint of the own zone is taken without a look at
	// other zones.
	localMinScore = 0.55
	// betterBy is how much more than at home an endpoint elsewhere must be worth.
	remoteScoreMargin = 0.1
	// endingMargin is how long after its request's deadline a grant is counted out untold.
	grantExpiryMargin = 500 * time.Millisecond
	// unreached is the end of a request whose asker could not reach the endpoint.
	endSendFailed dispatch.EventKind = 255
)

// desk is what an instance knows as a broker: the endpoints of its zone, and what it has
// granted there. It is owned by the control loop.
type brokerState struct {
	machine *dispatch.Machine
	grants  *broker.GrantTable
	zones   []string // With instances; endpoints of other zones are shared out over them.
}

// newDesk returns the desk of an instance that begins to broker. The retry budget is shared
// out over the zones.
func (c *control) newBroker(now time.Time) *brokerState {
	cfg := c.dispatchConfig()
	cfg.NoReports = true
	cfg.RetryBound.Extra /= float64(len(c.zones()))
	return &brokerState{machine: dispatch.New(cfg, now, rand.NewPCG(rand.Uint64(), rand.Uint64())), grants: broker.NewGrantTable()}
}

// zones returns the availability zones that have instances, in order.
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

// openDesk returns this instance's desk; the first question opens it.
func (c *control) ensureBroker(now time.Time) *brokerState {
	if c.broker == nil {
		c.broker = c.newBroker(now)
		c.applyBrokerEndpoints(now)
	}
	return c.broker
}

// applyDesk tells the desk which endpoints are its own.
func (c *control) applyBrokerEndpoints(now time.Time) {
	if c.broker == nil || c.config == nil {
		return
	}
	c.broker.zones = c.zones()
	own := c.settings.Instance.Zone
	var list []dispatch.Endpoint
	for _, e := range c.registry.endpoints(c.config) {
		if broker.BrokerZone(e.Zone, c.broker.zones) == own {
			list = append(list, e)
		}
	}
	c.broker.machine.SetEndpoints(now, list)
}

// answer places another instance's request, or this one's own.
func (c *control) handlePlacementRequest(now time.Time, msg placementRequest) {
	state := c.ensureBroker(now)
	grantID := broker.GrantID{Requester: uint64(msg.From), Seq: msg.Seq}
	if _, duplicate := state.grants.Lookup(grantID); duplicate {
		return
	}
	req := msg.request(now)
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
		Broker: c.peer, To: msg.From, Seq: msg.Seq, Endpoint: grant.Endpoint.ID, Chance: toPerMille(grant.Chance), InFlight: grant.InFlight, BaselineLatency: int(grant.BaselineLatency.Milliseconds()),
	})
}

// decline passes a question on that has no good endpoint here, or answers why it gets none.
func (c *control) declineOrForward(now time.Time, msg placementRequest, r *dispatch.Rejection) {
	tryRemote := r.Reason == dispatch.ScoreTooLow || r.Reason == dispatch.NoEndpoint || r.Reason == dispatch.Overloaded
	switch {
	case msg.Hops == hopLocal && tryRemote && msg.Flags&flagHedge == 0:
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
	case msg.Hops == hopRemote && tryRemote && msg.BestScore > 0:
		msg.Hops = hopReturned
		c.sendPlacementRequest(now, uint64(msg.HomeBroker), msg)
		return
	}
	reason := r.Reason
	if reason == dispatch.ScoreTooLow {
		reason = dispatch.Overloaded
	}
	c.sendReply(now, placementReply{
		Broker: c.peer, To: msg.From, Seq: msg.Seq, Reason: reason, RetryAfter: int(max(r.RetryAfter, minRetryAfter).Milliseconds()), ExpectedLatency: int(r.ExpectedLatency.Milliseconds()),
	})
}

// forwardedRetryAfter is the least time after which a request that found no endpoint in two
// zones may come back.
const minRetryAfter = 100 * time.Millisecond

// awayBroker returns a service's broker in another zone, drawn by chance.
func (c *control) pickRemoteBroker(now time.Time, service string) (broker.Instance, bool) {
	var zones []string
	for zone, coordinators := range c.remoteCoordinators {
		if len(coordinators) > 0 {
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

// hearEnding takes in what became of a grant.
func (c *control) handleGrantEnd(now time.Time, e grantEnd) {
	if c.broker == nil {
		return
	}
	grantID := broker.GrantID{Requester: uint64(e.From), Seq: e.Seq}
	if e.Kind == dispatch.Overdue {
		if id, ok := c.broker.grants.Lookup(grantID); ok {
			c.broker.machine.Overdue(now, id)
		}
		return
	}
	id, ok := c.broker.grants.Remove(grantID)
	switch {
	case !ok:
	case e.Kind == endSendFailed:
		c.broker.machine.RemoteSendFailed(now, id)
	default:
		c.broker.machine.Ended(now, id, e.Kind, time.Duration(e.LatencyMillis)*time.Millisecond)
	}
}

// tickDesk counts out the grants that are over, and takes in which zones have instances.
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
