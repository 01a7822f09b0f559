package relay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/exchange"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// maxRunning bounds the calls of other instances that run here at once.
const maxRunning = 4096

// Links is what the calls need of the peer links.
type Links interface {
	TrySend(to fleet.Ref, kind wire.Kind, body any) bool
	Unreachable(to fleet.Ref) bool
}

// Calls passes requests over the peer links and runs those that others pass on.
type Calls struct {
	links   Links
	handler Handler
	next    atomic.Uint64
	running atomic.Int64
	wait    conc.WaitGroup

	mu      sync.Mutex
	pending map[uint64]waiting
}

// waiting is a call without its reply.
type waiting struct {
	to    fleet.Ref
	reply chan exchange.Answer
}

var _ Caller = (*Calls)(nil)

// NewCalls returns calls over links. handler runs what others pass on.
func NewCalls(links Links, handler Handler) *Calls {
	return &Calls{links: links, handler: handler, pending: make(map[uint64]waiting)}
}

// Call sends a request to one life of an instance and waits for its answer until ctx ends.
func (c *Calls) Call(ctx context.Context, to fleet.Ref, role claim.Role, r exchange.Request) (exchange.Answer, error) {
	if c.links.Unreachable(to) {
		return exchange.Answer{}, fmt.Errorf("%w: %s", ErrUnreachable, to)
	}
	id := c.next.Add(1)
	w := waiting{to: to, reply: make(chan exchange.Answer, 1)}
	c.add(id, w)
	defer c.remove(id)
	r.Remaining = time.Until(r.Deadline)
	if !c.links.TrySend(to, wire.KindRelayRequest, Call{ID: id, Role: role, Request: r}) {
		return exchange.Answer{}, fmt.Errorf("%w: %s", ErrUnreachable, to)
	}
	select {
	case a := <-w.reply:
		return a, nil
	case <-ctx.Done():
		return exchange.Answer{}, fmt.Errorf("%w: %s: %w", ErrNoReply, to, ctx.Err())
	}
}

// Reachable reports whether a way to the instance is believed to work.
func (c *Calls) Reachable(to fleet.Ref) bool {
	return !c.links.Unreachable(to)
}

func (c *Calls) add(id uint64, w waiting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[id] = w
}

func (c *Calls) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// Takes reports whether a kind of message is for Deliver.
func Takes(kind wire.Kind) bool {
	return kind == wire.KindRelayRequest || kind == wire.KindRelayAnswer
}

// Deliver takes a message of another instance. It does not block.
func (c *Calls) Deliver(ctx context.Context, from fleet.Ref, e wire.Envelope) error {
	if e.Kind == wire.KindRelayAnswer {
		return c.deliverReply(from, e)
	}
	return c.deliverCall(ctx, from, e)
}

// deliverReply hands a reply to the call that waits for it. One that is late, doubled
// or from another instance than the one asked is dropped.
func (c *Calls) deliverReply(from fleet.Ref, e wire.Envelope) error {
	var reply Reply
	if err := wire.DecodeBody(e, &reply); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.pending[reply.ID]
	if !ok || w.to != from {
		return nil
	}
	delete(c.pending, reply.ID)
	w.reply <- reply.Answer
	return nil
}

func (c *Calls) deliverCall(ctx context.Context, from fleet.Ref, e wire.Envelope) error {
	var call Call
	if err := wire.DecodeBody(e, &call); err != nil {
		return err
	}
	if c.running.Add(1) > maxRunning {
		c.running.Add(-1)
		return fmt.Errorf("call %d of instance %s dropped: %d calls run, bound %d", call.ID, from, maxRunning, maxRunning)
	}
	c.wait.Go(func() {
		defer c.running.Add(-1)
		c.run(ctx, from, call)
	})
	return nil
}

func (c *Calls) run(ctx context.Context, from fleet.Ref, call Call) {
	call.Request.Deadline = time.Now().Add(call.Request.Remaining)
	ctx, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	answer := c.handler.Relayed(ctx, from, call.Role, call.Request)
	c.links.TrySend(from, wire.KindRelayAnswer, Reply{ID: call.ID, Answer: answer})
}

// Running returns how many calls of other instances run here.
func (c *Calls) Running() int {
	return int(c.running.Load())
}

// Wait returns when no call of another instance runs here.
func (c *Calls) Wait() {
	c.wait.Wait()
}
