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
	goodWorth = 0.55
	// betterBy is how much more than at home an endpoint elsewhere must be worth.
	betterBy = 0.1
	// endingMargin is how long after its request's deadline a grant is counted out untold.
	endingMargin = 500 * time.Millisecond
	// unreached is the end of a request whose asker could not reach the endpoint.
	unreached dispatch.EventKind = 255
)

// desk is what an instance knows as a broker: the endpoints of its zone, and what it has
// granted there. It is owned by the control loop.
type desk struct {
	machine *dispatch.Machine
	ledger  *broker.GrantTable
	zones   []string // With instances; endpoints of other zones are shared out over them.
}

// newDesk returns the desk of an instance that begins to broker. The retry budget is shared
// out over the zones.
func (c *control) newDesk(now time.Time) *desk {
	cfg := c.dispatchConfig()
	cfg.NoReports = true
	cfg.RetryBound.Extra /= float64(len(c.zones()))
	return &desk{machine: dispatch.New(cfg, now, rand.NewPCG(rand.Uint64(), rand.Uint64())), ledger: broker.NewGrantTable()}
}

// zones returns the availability zones that have instances, in order.
func (c *control) zones() []string {
	zones := []string{c.settings.Instance.Zone}
	for _, e := range c.members.list {
		if !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// openDesk returns this instance's desk; the first question opens it.
func (c *control) openDesk(now time.Time) *desk {
	if c.desk == nil {
		c.desk = c.newDesk(now)
		c.applyDesk(now)
	}
	return c.desk
}

// applyDesk tells the desk which endpoints are its own.
func (c *control) applyDesk(now time.Time) {
	if c.desk == nil || c.config == nil {
		return
	}
	c.desk.zones = c.zones()
	own := c.settings.Instance.Zone
	var list []dispatch.Endpoint
	for _, e := range c.registry.endpoints(c.config) {
		if broker.BrokerZone(e.Zone, c.desk.zones) == own {
			list = append(list, e)
		}
	}
	c.desk.machine.SetEndpoints(now, list)
}

// answer places another instance's request, or this one's own.
func (c *control) answer(now time.Time, q question) {
	d := c.openDesk(now)
	ticket := broker.GrantID{Requester: uint64(q.From), Seq: q.Seq}
	if _, twice := d.ledger.Lookup(ticket); twice {
		return
	}
	a := q.ask(now)
	switch {
	case q.Hops == hopHome && !a.Hedge && len(d.zones) > 1:
		a.MinScore = goodWorth
	case q.Hops == hopAway:
		a.MinScore = fromPerMille(q.Best) + betterBy
	}
	grant, rejection := d.machine.Acquire(now, a)
	if rejection != nil {
		c.decline(now, q, rejection)
		return
	}
	d.ledger.Add(ticket, grant.Endpoint.ID, a.Deadline.Add(endingMargin))
	c.sendReply(now, reply{
		Broker: c.peer, To: q.From, Seq: q.Seq, Endpoint: grant.Endpoint.ID, Chance: toPerMille(grant.Chance), InFlight: grant.InFlight, Usual: int(grant.BaselineLatency.Milliseconds()),
	})
}

// decline passes a question on that has no good endpoint here, or answers why it gets none.
func (c *control) decline(now time.Time, q question, r *dispatch.Rejection) {
	elsewhere := r.Reason == dispatch.ScoreTooLow || r.Reason == dispatch.NoEndpoint || r.Reason == dispatch.Overloaded
	switch {
	case q.Hops == hopHome && elsewhere && q.Flags&flagHedge == 0:
		q.Home, q.Best = c.peer, toPerMille(max(r.BestScore, 0))
		if away, ok := c.awayBroker(now, q.Service); ok {
			q.Hops = hopAway
			c.ask(now, away.Incarnation, q)
			return
		}
		if r.Reason == dispatch.ScoreTooLow {
			q.Hops = hopAgain
			c.answer(now, q)
			return
		}
	case q.Hops == hopAway && elsewhere && q.Best > 0:
		q.Hops = hopAgain
		c.ask(now, uint64(q.Home), q)
		return
	}
	reason := r.Reason
	if reason == dispatch.ScoreTooLow {
		reason = dispatch.Overloaded
	}
	c.sendReply(now, reply{
		Broker: c.peer, To: q.From, Seq: q.Seq, Reason: reason, RetryAfter: int(max(r.RetryAfter, forwardedRetryAfter).Milliseconds()), Expected: int(r.ExpectedLatency.Milliseconds()),
	})
}

// forwardedRetryAfter is the least time after which a request that found no endpoint in two
// zones may come back.
const forwardedRetryAfter = 100 * time.Millisecond

// awayBroker returns a service's broker in another zone, drawn by chance.
func (c *control) awayBroker(now time.Time, service string) (broker.Instance, bool) {
	var zones []string
	for zone, keepers := range c.foreign {
		if len(keepers) > 0 {
			zones = append(zones, zone)
		}
	}
	if len(zones) == 0 {
		return broker.Instance{}, false
	}
	return c.placing.suspects.Pick(now, broker.Rank(service, c.foreign[zones[rand.IntN(len(zones))]]))
}

func (c *control) sendReply(now time.Time, r reply) {
	if r.To == c.peer {
		c.hearReply(now, r)
		return
	}
	c.sendTo(r.To, brokerReply, r)
}

// hearEnding takes in what became of a grant.
func (c *control) hearEnding(now time.Time, e ending) {
	if c.desk == nil {
		return
	}
	ticket := broker.GrantID{Requester: uint64(e.From), Seq: e.Seq}
	if e.Kind == dispatch.Overdue {
		if id, ok := c.desk.ledger.Lookup(ticket); ok {
			c.desk.machine.Overdue(now, id)
		}
		return
	}
	id, ok := c.desk.ledger.Remove(ticket)
	switch {
	case !ok:
	case e.Kind == unreached:
		c.desk.machine.RemoteSendFailed(now, id)
	default:
		c.desk.machine.Ended(now, id, e.Kind, time.Duration(e.Took)*time.Millisecond)
	}
}

// tickDesk counts out the grants that are over, and takes in which zones have instances.
func (c *control) tickDesk(now time.Time) {
	if c.desk == nil {
		return
	}
	for _, id := range c.desk.ledger.Expire(now) {
		c.desk.machine.Ended(now, id, dispatch.EndedUnknown, 0)
	}
	if !slices.Equal(c.desk.zones, c.zones()) {
		c.applyDesk(now)
	}
}
