package health

import (
	"fmt"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// evidenceHistory is the number of sent Evidence messages whose time a carrier keeps.
const evidenceHistory = 64

// sentEvidence records when and to whom a carrier sent one Evidence message.
type sentEvidence struct {
	sequence uint64
	to       fleet.Ref
	at       time.Time
}

// heldDecision is the newest decision of one evaluator.
type heldDecision struct {
	sequence uint64
	until    time.Time
	received time.Time
	removals []Removal
}

// Carrier reports one instance's attempts on one service and applies the evaluator's decisions.
type Carrier struct {
	self       fleet.Instance
	cfg        Config
	params     Parameters
	assignment Assignment
	upstreams  []fleet.Upstream
	byKey      map[EndpointKey]int

	voteFrom   time.Time // A vote of an earlier incarnation of this instance may be valid until then.
	votedFor   fleet.Ref
	votedUntil time.Time

	sequence uint64
	ack      uint64 // Number of the newest decision of the assigned evaluator.
	sent     [evidenceHistory]sentEvidence
	lastSent time.Time

	requests  collector
	trials    collector
	decisions map[fleet.Ref]heldDecision

	// Dropped counts the decisions that Deliver rejected.
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

// Configure sets the service's parameters, its assignment, and its endpoints as the platform lists them.
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

// Observe counts one attempt. Attempts on endpoints that are not listed are ignored.
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

// sendInterval returns the time between two messages, which depends on what there is to report.
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

// vote renews the carrier's vote for an evaluator. It returns false while a vote for another
// evaluator, or of an earlier incarnation, may be valid.
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

// Deliver handles a decision. A rejected one returns an error that wraps ErrDecisionDropped.
func (c *Carrier) Deliver(now time.Time, from fleet.Ref, d *Decision) error {
	sent := c.sent[d.Sequence%evidenceHistory]
	if d.Sequence == 0 || sent.sequence != d.Sequence || sent.to != from {
		return c.drop(from, d, "it answers no evidence recently sent to this evaluator")
	}
	until := sent.at.Add(c.cfg.Lease)
	if !now.Before(until) {
		return c.drop(from, d, "its lease has expired")
	}
	if held, ok := c.decisions[from]; ok && held.sequence >= d.Sequence {
		return c.drop(from, d, fmt.Sprintf("the decision for sequence %d is newer", held.sequence))
	}
	c.decisions[from] = heldDecision{sequence: d.Sequence, until: until, received: now, removals: d.Removals}
	if from == c.assignment.Evaluator {
		c.ack = d.Number
	}
	return nil
}

func (c *Carrier) drop(from fleet.Ref, d *Decision, reason string) error {
	c.Dropped++
	return fmt.Errorf("%w: sequence %d from %s for service %q: %s", ErrDecisionDropped, d.Sequence, from, c.params.Service, reason)
}

func (c *Carrier) dropExpired(now time.Time) {
	for evaluator, held := range c.decisions {
		if !now.Before(held.until) {
			delete(c.decisions, evaluator)
		}
	}
}
