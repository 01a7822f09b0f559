package health

import (
	"fmt"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// sentHistory is the number of sent messages whose time a carrier remembers.
const evidenceHistory = 64

// sentEvidence is when and to whom a carrier sent one message.
type sentEvidence struct {
	sequence uint64
	to       fleet.Ref
	at       time.Time
}

// heldVerdict is the newest verdict of one judge.
type heldDecision struct {
	sequence uint64
	until    time.Time
	received time.Time
	removals []Removal
}

// Carrier is one instance's part in the health of one service: it reports its attempts and obeys verdicts.
type Carrier struct {
	self       fleet.Instance
	cfg        Config
	params     Parameters
	assignment Assignment
	upstreams  []fleet.Upstream
	byKey      map[EndpointKey]int

	voteFrom   time.Time // A loan of an earlier life of this instance may run until then.
	votedFor   fleet.Ref
	votedUntil time.Time

	sequence uint64
	ack      uint64 // Of the judge of assignment.
	sent     [evidenceHistory]sentEvidence
	lastSent time.Time

	requests  collector
	trials    collector
	decisions map[fleet.Ref]heldDecision

	// Dropped counts the verdicts that Deliver refused.
	Dropped uint64
}

// NewCarrier returns the carrier of one service at an instance.
func NewCarrier(self fleet.Instance, cfg Config) *Carrier {
	return &Carrier{
		self:      self,
		cfg:       cfg,
		requests:  newCollector(),
		trials:    newCollector(),
		decisions: make(map[fleet.Ref]heldDecision),
	}
}

// Configure sets the service's parameters, who judges it, and its endpoints as the platform lists them.
func (c *Carrier) Configure(now time.Time, p Parameters, a Assignment, upstreams []fleet.Upstream) {
	if c.voteFrom.IsZero() {
		c.voteFrom = now.Add(c.cfg.VoteLease + c.cfg.DriftMargin)
	}
	if a.Evaluator != c.assignment.Evaluator {
		c.ack = 0
	}
	c.params = p
	c.assignment = a
	c.upstreams = upstreams
	c.byKey = make(map[EndpointKey]int, len(upstreams))
	for i, u := range upstreams {
		c.byKey[KeyOf(u.Endpoint)] = i
	}
}

// Observe takes one attempt.
func (c *Carrier) Observe(_ time.Time, a Attempt) {
	key := KeyOf(a.Endpoint)
	if _, ok := c.byKey[key]; !ok {
		return
	}
	if a.Trial {
		c.trials.add(key, a)
		return
	}
	c.requests.add(key, a)
}

// Tick returns the evidence that is due.
func (c *Carrier) Tick(now time.Time) []Send {
	c.dropExpired(now)
	to := c.assignment.Evaluator
	if to.IsZero() || !c.due(now) {
		return nil
	}
	e := &Evidence{
		Sequence: c.recordSend(now, to),
		Ack:      c.ack,
		Vote:     c.vote(now, to),
		Revision: c.params.Revision,
		Reports:  c.requests.take(),
		Trials:   c.trials.take(),
	}
	return []Send{{To: to, Evidence: e}}
}

func (c *Carrier) due(now time.Time) bool {
	return c.lastSent.IsZero() || now.Sub(c.lastSent) >= c.sendInterval()
}

// wait returns the time between two messages for what there is to report.
func (c *Carrier) sendInterval() time.Duration {
	switch {
	case c.requests.failed:
		return c.cfg.UrgentInterval
	case !c.requests.empty() || !c.trials.empty():
		return c.cfg.Interval
	default:
		return c.cfg.KeepAlive
	}
}

func (c *Carrier) recordSend(now time.Time, to fleet.Ref) uint64 {
	c.sequence++
	c.lastSent = now
	c.sent[c.sequence%evidenceHistory] = sentEvidence{sequence: c.sequence, to: to, at: now}
	return c.sequence
}

// lend lends the carrier to a judge unless another one may still rely on it.
func (c *Carrier) vote(now time.Time, to fleet.Ref) bool {
	if now.Before(c.voteFrom) {
		return false
	}
	if c.votedFor != to && now.Before(c.votedUntil) {
		return false
	}
	c.votedFor = to
	c.votedUntil = now.Add(c.cfg.VoteLease)
	return true
}

// Deliver takes a verdict. It returns ErrVerdictDropped.
func (c *Carrier) Deliver(now time.Time, from fleet.Ref, v *Decision) error {
	sent := c.sent[v.Sequence%evidenceHistory]
	if v.Sequence == 0 || sent.sequence != v.Sequence || sent.to != from {
		return c.drop(from, v, "it answers nothing that was sent there lately")
	}
	until := sent.at.Add(c.cfg.Lease)
	if !now.Before(until) {
		return c.drop(from, v, "its lease has lapsed")
	}
	if held, ok := c.decisions[from]; ok && held.sequence >= v.Sequence {
		return c.drop(from, v, fmt.Sprintf("verdict %d is newer", held.sequence))
	}
	c.decisions[from] = heldDecision{sequence: v.Sequence, until: until, received: now, removals: v.Removals}
	if from == c.assignment.Evaluator {
		c.ack = v.Number
	}
	return nil
}

func (c *Carrier) drop(from fleet.Ref, v *Decision, reason string) error {
	c.Dropped++
	return fmt.Errorf("%w: sequence %d from %s for service %q: %s", ErrDecisionDropped, v.Sequence, from, c.params.Service, reason)
}

func (c *Carrier) dropExpired(now time.Time) {
	for evaluator, held := range c.decisions {
		if !now.Before(held.until) {
			delete(c.decisions, evaluator)
		}
	}
}
