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

// maxRunning bounds the calls from other instances that are handled concurrently.
const maxRunning = 4096

// Links are the peer links.
type Links interface {
	// TrySend queues a message for an instance. It returns false if the message was not queued.
	TrySend(to fleet.Ref, kind wire.Kind, body any) bool
	// Unreachable reports whether there is no working link to an instance.
	Unreachable(to fleet.Ref) bool
}

// Calls relays requests over the peer links and handles those that other instances relay.
type Calls struct {
	links    Links
	handler  Handler
	nextID   atomic.Uint64
	running  atomic.Int64
	handlers conc.WaitGroup

	mu      sync.Mutex
	pending map[uint64]pendingCall
}

// pendingCall is a call whose reply has not arrived.
type pendingCall struct {
	to    fleet.Ref
	reply chan exchange.Answer
}

var _ Caller = (*Calls)(nil)

// NewCalls returns Calls over links. handler runs the requests of other instances.
func NewCalls(links Links, handler Handler) *Calls {
	return &Calls{links: links, handler: handler, pending: make(map[uint64]pendingCall)}
}

// Call implements Caller.
func (c *Calls) Call(ctx context.Context, to fleet.Ref, role claim.Role, r exchange.Request) (exchange.Answer, error) {
	if c.links.Unreachable(to) {
		return exchange.Answer{}, fmt.Errorf("%w: %s", ErrUnreachable, to)
	}
	id := c.nextID.Add(1)
	p := pendingCall{to: to, reply: make(chan exchange.Answer, 1)}
	c.add(id, p)
	defer c.remove(id)
	r.Remaining = time.Until(r.Deadline)
	if !c.links.TrySend(to, wire.KindRelayRequest, Call{ID: id, Role: role, Request: r}) {
		return exchange.Answer{}, fmt.Errorf("%w: %s", ErrUnreachable, to)
	}
	select {
	case a := <-p.reply:
		return a, nil
	case <-ctx.Done():
		return exchange.Answer{}, fmt.Errorf("%w: %s: %w", ErrNoReply, to, ctx.Err())
	}
}

// Reachable implements Caller.
func (c *Calls) Reachable(to fleet.Ref) bool {
	return !c.links.Unreachable(to)
}

func (c *Calls) add(id uint64, p pendingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[id] = p
}

func (c *Calls) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// Handles reports whether messages of a kind must be passed to Deliver.
func Handles(kind wire.Kind) bool {
	return kind == wire.KindRelayRequest || kind == wire.KindRelayAnswer
}

// Deliver handles a message from another instance. It does not block: a call runs on its own goroutine.
func (c *Calls) Deliver(ctx context.Context, from fleet.Ref, e wire.Envelope) error {
	if e.Kind == wire.KindRelayAnswer {
		return c.deliverReply(from, e)
	}
	return c.deliverCall(ctx, from, e)
}

// deliverReply passes a reply to the pending call. A reply that is late, a duplicate, or from
// another instance than the one called is dropped.
func (c *Calls) deliverReply(from fleet.Ref, e wire.Envelope) error {
	var reply Reply
	if err := wire.DecodeBody(e, &reply); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pending[reply.ID]
	if !ok || p.to != from {
		return nil
	}
	delete(c.pending, reply.ID)
	p.reply <- reply.Answer
	return nil
}

func (c *Calls) deliverCall(ctx context.Context, from fleet.Ref, e wire.Envelope) error {
	var call Call
	if err := wire.DecodeBody(e, &call); err != nil {
		return err
	}
	if c.running.Add(1) > maxRunning {
		c.running.Add(-1)
		return fmt.Errorf("call %d from instance %s dropped: %d calls are running, the limit is %d", call.ID, from, maxRunning, maxRunning)
	}
	c.handlers.Go(func() {
		defer c.running.Add(-1)
		c.run(ctx, from, call)
	})
	return nil
}

func (c *Calls) run(ctx context.Context, from fleet.Ref, call Call) {
	call.Request.Deadline = time.Now().Add(call.Request.Remaining)
	ctx, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	answer := c.handler.HandleRelayed(ctx, from, call.Role, call.Request)
	c.links.TrySend(from, wire.KindRelayAnswer, Reply{ID: call.ID, Answer: answer})
}

// Running returns the number of calls from other instances that are being handled.
func (c *Calls) Running() int {
	return int(c.running.Load())
}

// Wait blocks until no call from another instance is being handled.
func (c *Calls) Wait() {
	c.handlers.Wait()
}
