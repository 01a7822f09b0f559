package gateway

import (
	"net/netip"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/broker"
	"github.com/damaskcove/damaskcove/coord/dispatch"
)

// brokerTimeout is how long a broker may take to reply: many times the round trip within a zone,
// and as long as a small instance's processor may be descheduled.
const brokerTimeout = 60 * time.Millisecond

// placementClient is this instance's state as a requester of brokers. It is owned by the control
// loop.
type placementClient struct {
	suspects  broker.Suspects
	seq       uint64
	pending   map[uint64]*pendingPlacement // Placement requests without a reply, by sequence number.
	grantedBy map[uint64]broker.Instance   // The granting broker by sequence number, until the request has ended.
}

// pendingPlacement is a placement request that waits for its reply.
type pendingPlacement struct {
	request dispatch.Request
	to      broker.Instance
	result  chan<- acquireResult
	timer   *time.Timer
}

func newPlacementClient() placementClient {
	return placementClient{pending: make(map[uint64]*pendingPlacement), grantedBy: make(map[uint64]broker.Instance)}
}

// place has a request placed by its service's broker, or places it locally if no broker answers.
func (c *control) place(now time.Time, req dispatch.Request, result chan<- acquireResult) {
	req.CrossZoneCost = c.machine.CrossZoneCost(req.SizeClass, req.LargeResponse)
	to, ok := c.placement.suspects.Pick(now, broker.Rank(req.Service, c.coordinators))
	if !ok {
		c.placeLocally(now, req, result)
		return
	}
	c.placement.seq++
	seq := c.placement.seq
	excluded := c.machine.ExcludedEndpoints(now, req.Service, maxTried)
	msg := newPlacementRequest(c.peer, seq, now, req)
	msg.Tried = append(msg.Tried[:len(msg.Tried):len(msg.Tried)], excluded...)
	p := &pendingPlacement{request: req, to: to, result: result}
	p.timer = time.AfterFunc(brokerTimeout, func() { c.post(func() { c.handleBrokerTimeout(time.Now(), seq) }) })
	c.placement.pending[seq] = p
	c.sendPlacementRequest(now, to.Incarnation, msg)
}

// placeLocally places a request by this instance's own observations.
func (c *control) placeLocally(now time.Time, req dispatch.Request, result chan<- acquireResult) {
	grant, rejection := c.machine.Acquire(now, req)
	result <- acquireResult{grant: grant, rejection: rejection}
}

// sendPlacementRequest sends a placement request to a broker.
func (c *control) sendPlacementRequest(now time.Time, to uint64, msg placementRequest) {
	if dispatch.PeerID(to) == c.peer {
		c.handlePlacementRequest(now, msg)
		return
	}
	c.sendTo(dispatch.PeerID(to), datagramPlacementRequest, msg)
}

// sendTo sends a message to one instance. Timeouts cover a lost datagram.
func (c *control) sendTo(to dispatch.PeerID, kind byte, m any) {
	e := c.members.byPeer[to]
	if e == nil {
		return
	}
	data, err := encodeKind(kind, m)
	if err != nil {
		c.log.Error("cannot encode a message to another instance; it is not sent", "error", err.Error())
		return
	}
	c.socket.send(data, []netip.AddrPort{e.PeerAddr})
}

// handleBrokerTimeout places a request locally whose broker hasn't replied in time.
func (c *control) handleBrokerTimeout(now time.Time, seq uint64) {
	p := c.placement.pending[seq]
	if p == nil {
		return
	}
	delete(c.placement.pending, seq)
	c.placement.suspects.Add(now, p.to.Incarnation)
	c.brokerTimeouts.Add(1)
	c.placeLocally(now, p.request, p.result)
}

// handlePlacementReply processes a broker's reply.
func (c *control) handlePlacementReply(now time.Time, r placementReply) {
	if r.To != c.peer {
		return // It replies to a request of an earlier incarnation.
	}
	p := c.placement.pending[r.Seq]
	from := broker.Instance{Incarnation: uint64(r.Broker)}
	if p == nil {
		if _, duplicate := c.placement.grantedBy[r.Seq]; r.Reason == 0 && !duplicate {
			c.sendGrantEnd(now, from, r.Seq, dispatch.EndedUnknown, 0) // Too late: the request was placed locally.
		}
		return
	}
	delete(c.placement.pending, r.Seq)
	p.timer.Stop()
	if r.Reason == dispatch.NoEndpoint {
		// This instance may have left endpoints out that want nothing from it.
		rejection := c.machine.NoEndpoint(now, p.request)
		if r.Limited > 0 {
			rejection.Limited, rejection.LimitEndpoint = r.Limited, ""
			rejection.RetryAfter, rejection.Wait = time.Duration(r.RetryAfter)*time.Millisecond, time.Duration(r.Wait)*time.Millisecond
		}
		p.result <- acquireResult{rejection: rejection}
		return
	}
	if r.Reason != 0 {
		p.result <- acquireResult{rejection: &dispatch.Rejection{
			Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfter) * time.Millisecond,
			ExpectedLatency: time.Duration(r.ExpectedLatency) * time.Millisecond, TimeLeft: p.request.Deadline.Sub(now),
		}}
		return
	}
	endpoint, ok := c.machine.Endpoint(now, r.Endpoint)
	if !ok || endpoint.Service != p.request.Service || slices.Contains(p.request.Tried, r.Endpoint) {
		c.sendGrantEnd(now, from, r.Seq, dispatch.EndedUnknown, 0)
		c.placeLocally(now, p.request, p.result)
		return
	}
	c.placement.grantedBy[r.Seq] = from
	if rate, ok := c.machine.RecentLimit(now, r.Endpoint); ok && !r.HasLimit {
		// The broker has taken over lately and does not know of the limit.
		c.sendGrantReport(now, from, limitReport(c.peer, r.Seq, rate))
		c.sendGrantEnd(now, from, r.Seq, dispatch.EndedUnknown, 0)
		delete(c.placement.grantedBy, r.Seq)
		c.place(now, p.request, p.result)
		return
	}
	p.result <- acquireResult{grant: dispatch.Grant{
		Endpoint: endpoint, Limited: r.HasLimit, BrokerSeq: r.Seq, Chance: fromPerMille(r.Chance), InFlight: r.InFlight, BaselineLatency: time.Duration(r.BaselineLatency) * time.Millisecond,
	}}
}

// sendGrantEnd reports to a broker how a granted request ended, or that it is overdue.
func (c *control) sendGrantEnd(now time.Time, to broker.Instance, seq uint64, kind dispatch.EventKind, took time.Duration) {
	c.sendGrantReport(now, to, grantEnd{From: c.peer, Seq: seq, Kind: kind, Value: int(took.Milliseconds())})
}

func (c *control) sendGrantReport(now time.Time, to broker.Instance, e grantEnd) {
	if dispatch.PeerID(to.Incarnation) == c.peer {
		c.handleGrantEnd(now, e)
		return
	}
	c.sendTo(dispatch.PeerID(to.Incarnation), datagramGrantEnd, e)
}

// handleEnded records the end of a granted request.
func (c *control) handleEnded(now time.Time, g dispatch.Grant, kind dispatch.EventKind, took time.Duration) {
	if g.BrokerSeq == 0 {
		c.machine.Ended(now, g.Endpoint.ID, kind, took)
		return
	}
	c.machine.BrokeredEnded(now, g.Endpoint.ID, kind, took)
	c.sendGrantEnd(now, c.placement.grantedBy[g.BrokerSeq], g.BrokerSeq, kind, took)
	delete(c.placement.grantedBy, g.BrokerSeq)
}

// handleSendFailed records that a granted request could not be sent.
func (c *control) handleSendFailed(now time.Time, g dispatch.Grant) {
	if g.BrokerSeq == 0 {
		c.machine.SendFailed(now, g.Endpoint.ID)
		return
	}
	c.machine.BrokeredSendFailed(now, g.Endpoint.ID)
	c.sendGrantEnd(now, c.placement.grantedBy[g.BrokerSeq], g.BrokerSeq, endSendFailed, 0)
	delete(c.placement.grantedBy, g.BrokerSeq)
}

// handleAnnouncedLeaving records that an endpoint has said in an answer that it is leaving. The broker that
// granted it is told, as the other instances' requests depend on it.
func (c *control) handleAnnouncedLeaving(now time.Time, g dispatch.Grant, sent time.Time) {
	isNew := c.machine.AnnouncedLeaving(now, g.Endpoint, sent)
	if to, ok := c.placement.grantedBy[g.BrokerSeq]; ok && isNew {
		c.sendGrantEnd(now, to, g.BrokerSeq, dispatch.Leaving, now.Sub(sent))
	}
}

// handleLimitNamed records the requests a second that an endpoint has named in an answer. The broker that granted it
// counts the requests.
func (c *control) handleLimitNamed(now time.Time, g dispatch.Grant, sent time.Time, rate float64) {
	c.machine.LimitNamed(now, g.Endpoint, sent, rate)
	if to, ok := c.placement.grantedBy[g.BrokerSeq]; ok {
		c.sendGrantReport(now, to, limitReport(c.peer, g.BrokerSeq, rate))
	}
}

// handleLimitAbsent records that a limited endpoint has named no limit in an answer.
func (c *control) handleLimitAbsent(now time.Time, g dispatch.Grant, sent time.Time) {
	c.machine.LimitAbsent(now, g.Endpoint, sent)
	if to, ok := c.placement.grantedBy[g.BrokerSeq]; ok {
		c.sendGrantEnd(now, to, g.BrokerSeq, dispatch.LimitEnded, now.Sub(sent))
	}
}

// handleOverdue records that a granted request takes longer than expected.
func (c *control) handleOverdue(now time.Time, g dispatch.Grant) {
	if g.BrokerSeq == 0 {
		c.machine.Overdue(now, g.Endpoint.ID)
		return
	}
	if to, ok := c.placement.grantedBy[g.BrokerSeq]; ok {
		c.sendGrantEnd(now, to, g.BrokerSeq, dispatch.Overdue, 0)
	}
}
