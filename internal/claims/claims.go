package claims

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/control"
	"github.com/damaskcove/damaskcove/internal/exchange"
	"github.com/damaskcove/damaskcove/internal/relay"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// Executor sends requests to upstreams.
type Executor interface {
	// Execute makes one attempt at an upstream. The answer's Execution is NotRun only if no byte
	// was sent or the upstream refused the request before starting it.
	Execute(ctx context.Context, r exchange.Request) exchange.Answer
}

// Options configure Claims. All fields but Limits, Log and MayStart are required.
type Options struct {
	Fleet    string
	Self     fleet.Instance
	Loop     *control.Loop
	Sender   control.Sender
	Relay    relay.Caller
	Executor Executor
	Keys     *claim.Keyring
	Limits   claim.Limits // Zero fields take their defaults.
	Log      *slog.Logger // slog.Default when nil.
	// MayStart reports whether a new key whose request has a deadline may be accepted; nil: always. A key that is
	// refused can still run at the other instance of its ticket.
	MayStart func(now, deadline time.Time) bool
}

// Claims is the control.Component that runs keyed requests.
type Claims struct {
	fleet         string
	self          fleet.Ref
	loop          *control.Loop
	sender        control.Sender
	relay         relay.Caller
	executor      Executor
	keys          atomic.Pointer[claim.Keyring]
	log           *slog.Logger
	executions    conc.WaitGroup
	answersByCode *expvar.Map
	table         atomic.Pointer[TableSize]
	stopped       chan struct{} // Closed when a planned stop has handed over all outcomes.

	// Owned by the control goroutine.
	machine  *claim.Machine
	mayStart func(now, deadline time.Time) bool
	pending  map[claim.Key]*pendingRequest
	lookups  map[uint64]*pendingLookup
	lookupID uint64
	drained  bool // stopped is closed.
}

// TableSize is the size of the table of keys.
type TableSize struct {
	Keys  int
	Bytes int // Estimated by the table.
}

// New returns the Claims of one incarnation of an instance. The caller adds it to the loop.
func New(o Options) *Claims {
	c := &Claims{
		fleet:         o.Fleet,
		self:          o.Self.Ref,
		loop:          o.Loop,
		sender:        o.Sender,
		relay:         o.Relay,
		executor:      o.Executor,
		log:           o.Log,
		answersByCode: new(expvar.Map).Init(),
		stopped:       make(chan struct{}),
		machine:       claim.NewMachine(o.Self.Ref, o.Limits),
		pending:       make(map[claim.Key]*pendingRequest),
		lookups:       make(map[uint64]*pendingLookup),
		mayStart:      func(time.Time, time.Time) bool { return true },
	}
	if o.MayStart != nil {
		c.mayStart = o.MayStart
	}
	if c.log == nil {
		c.log = slog.Default()
	}
	c.keys.Store(o.Keys)
	c.table.Store(&TableSize{})
	return c
}

// SetKeys replaces the keyring.
func (c *Claims) SetKeys(keys *claim.Keyring) {
	c.keys.Store(keys)
}

// Issue signs a ticket for this fleet and returns its text, or "" if the ticket names no home
// or the same instance as home and witness.
func (c *Claims) Issue(t claim.Ticket) string {
	t.Fleet = c.fleet
	text, err := c.keys.Load().Sign(t)
	if err != nil {
		c.log.Error("ticket not signed", "home", t.Home.String(), "witness", t.Witness.String(), "error", err)
		return ""
	}
	return text
}

// Vars returns this instance's counts of answers by the name of their code. The expvar
// "claim_answers" has those of the whole process.
func (c *Claims) Vars() *expvar.Map {
	return c.answersByCode
}

// Table returns the size of the table of keys as of the last tick.
func (c *Claims) Table() TableSize {
	return *c.table.Load()
}

// Kinds implements control.Component.
func (c *Claims) Kinds() []wire.Kind {
	return []wire.Kind{wire.KindClaim, wire.KindOutcomeLookup, wire.KindOutcomeReply}
}

// Deliver implements control.Component.
func (c *Claims) Deliver(now time.Time, from fleet.Ref, e wire.Envelope) error {
	switch e.Kind {
	case wire.KindClaim:
		return c.deliverClaim(now, from, e)
	case wire.KindOutcomeLookup:
		return c.deliverLookup(now, from, e)
	case wire.KindOutcomeReply:
		return c.deliverReply(e)
	default:
		return fmt.Errorf("%w: kind %d is not handled by claims", wire.ErrMalformed, e.Kind)
	}
}

func (c *Claims) deliverClaim(now time.Time, from fleet.Ref, e wire.Envelope) error {
	var msg claim.Message
	if err := wire.DecodeBody(e, &msg); err != nil {
		return err
	}
	if !c.machine.Contains(msg.Key) {
		ticket, err := c.keys.Load().Open(msg.Key.Ticket)
		if err != nil {
			return fmt.Errorf("claim message %d from %s: %w", msg.Kind, from, err)
		}
		msg.Ticket = ticket
	}
	c.apply(c.machine.Deliver(now, from, msg))
	return nil
}

// Tick implements control.Component.
func (c *Claims) Tick(now time.Time) {
	c.apply(c.machine.Tick(now))
	c.resendLookups(now)
	c.table.Store(&TableSize{Keys: c.machine.Len(), Bytes: c.machine.Bytes()})
	if !c.drained && c.machine.Drained() {
		c.drained = true
		close(c.stopped)
	}
}

// Stop begins a planned stop: no new key is accepted, and outcomes that other instances lack
// are handed over to them. It returns nil once all are handed over, or ctx's error.
func (c *Claims) Stop(ctx context.Context) error {
	posted := c.loop.Post(func(now time.Time) { c.apply(c.machine.Stop(now)) })
	if !posted {
		return fmt.Errorf("stop claims of %s: control loop has ended", c.self)
	}
	select {
	case <-c.stopped:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("stop claims of %s, %d keys held: %w", c.self, c.Table().Keys, ctx.Err())
	}
}
