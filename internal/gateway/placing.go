package gateway

import (
	"net/netip"
	"time"

	"github.com/damaskcove/damaskcove/coord/broker"
	"github.com/damaskcove/damaskcove/coord/dispatch"
)

// askTimeout is how long a broker may take to answer: many times the way within a zone, and
// as long as a small instance's processor may be away.
const askTimeout = 60 * time.Millisecond

// placing is this instance's part in requests that a broker places. It is owned by the
// control loop.
type placing struct {
	suspects broker.Suspects
	seq      uint64
	open     map[uint64]*pending        // Questions without an answer.
	granted  map[uint64]broker.Instance // Brokers by ticket, until the request has ended.
}

// pending is a question that waits for its answer.
type pending struct {
	ask    dispatch.Request
	to     broker.Instance
	answer chan<- acquired
	timer  *time.Timer
}

func newPlacing() placing {
	return placing{open: make(map[uint64]*pending), granted: make(map[uint64]broker.Instance)}
}

// place has a request placed: by its service's broker, or by this instance itself where it
// knows of none that answers.
func (c *control) place(now time.Time, a dispatch.Request, answer chan<- acquired) {
	a.CrossZoneCost = c.machine.CrossZoneCost(a.SizeClass, a.LargeResponse)
	to, ok := c.placing.suspects.Pick(now, broker.Rank(a.Service, c.keepers))
	if !ok {
		c.placeHere(now, a, answer)
		return
	}
	c.placing.seq++
	seq := c.placing.seq
	beyond := c.machine.UnreachableEndpoints(now, a.Service, triedMost)
	q := questionOf(c.peer, seq, now, a)
	q.Tried = append(q.Tried[:len(q.Tried):len(q.Tried)], beyond...)
	p := &pending{ask: a, to: to, answer: answer}
	p.timer = time.AfterFunc(askTimeout, func() { c.post(func() { c.unanswered(time.Now(), seq) }) })
	c.placing.open[seq] = p
	c.ask(now, to.Incarnation, q)
}

// placeHere has this instance place a request by what it has seen itself.
func (c *control) placeHere(now time.Time, a dispatch.Request, answer chan<- acquired) {
	grant, rejection := c.machine.Acquire(now, a)
	answer <- acquired{grant: grant, rejection: rejection}
}

// ask takes a question to a broker.
func (c *control) ask(now time.Time, to uint64, q question) {
	if dispatch.PeerID(to) == c.peer {
		c.answer(now, q)
		return
	}
	c.sendTo(dispatch.PeerID(to), brokerQuestion, q)
}

// sendTo sends a message to one instance. A loss is mended by timeouts.
func (c *control) sendTo(to dispatch.PeerID, kind byte, m any) {
	e := c.members.lives[to]
	if e == nil {
		return
	}
	data, err := encodeKind(kind, m)
	if err != nil {
		c.log.Error("message not sent", "error", err.Error())
		return
	}
	c.socket.send(data, []netip.AddrPort{e.Peers})
}

// unanswered goes on with a question whose broker is silent.
func (c *control) unanswered(now time.Time, seq uint64) {
	p := c.placing.open[seq]
	if p == nil {
		return
	}
	delete(c.placing.open, seq)
	c.placing.suspects.Add(now, p.to.Incarnation)
	c.brokerSilent.Add(1)
	c.placeHere(now, p.ask, p.answer)
}

// hearReply takes in a broker's answer.
func (c *control) hearReply(now time.Time, r reply) {
	if r.To != c.peer {
		return // It answers a question of a former life.
	}
	p := c.placing.open[r.Seq]
	from := broker.Instance{Incarnation: uint64(r.Broker)}
	if p == nil {
		if _, twice := c.placing.granted[r.Seq]; r.Reason == 0 && !twice {
			c.tellEnding(now, from, r.Seq, dispatch.EndedUnknown, 0) // It came too late.
		}
		return
	}
	delete(c.placing.open, r.Seq)
	p.timer.Stop()
	if r.Reason != 0 {
		p.answer <- acquired{rejection: &dispatch.Rejection{
			Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfter) * time.Millisecond,
			ExpectedLatency: time.Duration(r.Expected) * time.Millisecond, TimeLeft: p.ask.Deadline.Sub(now),
		}}
		return
	}
	endpoint, ok := c.machine.Endpoint(r.Endpoint)
	if !ok || endpoint.Service != p.ask.Service {
		c.tellEnding(now, from, r.Seq, dispatch.EndedUnknown, 0)
		c.placeHere(now, p.ask, p.answer)
		return
	}
	c.placing.granted[r.Seq] = from
	p.answer <- acquired{grant: dispatch.Grant{
		Endpoint: endpoint, BrokerSeq: r.Seq, Chance: fromPerMille(r.Chance), InFlight: r.InFlight, BaselineLatency: time.Duration(r.Usual) * time.Millisecond,
	}}
}

// tellEnding tells a broker what became of a grant.
func (c *control) tellEnding(now time.Time, to broker.Instance, seq uint64, kind dispatch.EventKind, took time.Duration) {
	e := ending{From: c.peer, Seq: seq, Kind: kind, Took: int(took.Milliseconds())}
	if dispatch.PeerID(to.Incarnation) == c.peer {
		c.hearEnding(now, e)
		return
	}
	c.sendTo(dispatch.PeerID(to.Incarnation), brokerEnding, e)
}

// ended takes in the end of a granted request.
func (c *control) ended(now time.Time, g dispatch.Grant, kind dispatch.EventKind, took time.Duration) {
	if g.BrokerSeq == 0 {
		c.machine.Ended(now, g.Endpoint.ID, kind, took)
		return
	}
	c.machine.BrokeredEnded(now, g.Endpoint.ID, kind, took)
	c.tellEnding(now, c.placing.granted[g.BrokerSeq], g.BrokerSeq, kind, took)
	delete(c.placing.granted, g.BrokerSeq)
}

// unreachable takes in that a granted request could not be sent.
func (c *control) unreachable(now time.Time, g dispatch.Grant) {
	if g.BrokerSeq == 0 {
		c.machine.SendFailed(now, g.Endpoint.ID)
		return
	}
	c.machine.BrokeredSendFailed(now, g.Endpoint.ID)
	c.tellEnding(now, c.placing.granted[g.BrokerSeq], g.BrokerSeq, unreached, 0)
	delete(c.placing.granted, g.BrokerSeq)
}

// runsLong takes in that a granted request has no answer yet.
func (c *control) runsLong(now time.Time, g dispatch.Grant) {
	if g.BrokerSeq == 0 {
		c.machine.Overdue(now, g.Endpoint.ID)
		return
	}
	if to, ok := c.placing.granted[g.BrokerSeq]; ok {
		c.tellEnding(now, to, g.BrokerSeq, dispatch.Overdue, 0)
	}
}
