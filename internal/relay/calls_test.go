package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/exchange"
	"github.com/damaskcove/damaskcove/internal/wire"
)

var (
	caller = fleet.Ref{ID: "caller", Incarnation: 1}
	callee = fleet.Ref{ID: "callee", Incarnation: 1}
	other  = fleet.Ref{ID: "other", Incarnation: 1}
)

// fakeLinks encodes and decodes each message and passes the envelope to deliver.
type fakeLinks struct {
	t           *testing.T
	unreachable bool
	full        bool
	deliver     func(to fleet.Ref, e wire.Envelope)
}

func (l *fakeLinks) Unreachable(fleet.Ref) bool { return l.unreachable }

func (l *fakeLinks) TrySend(to fleet.Ref, kind wire.Kind, body any) bool {
	if l.full {
		return false
	}
	data, err := wire.Encode(kind, body)
	if err != nil {
		l.t.Error(err)
		return false
	}
	e, err := wire.Decode(data)
	if err != nil {
		l.t.Error(err)
		return false
	}
	go l.deliver(to, e)
	return true
}

// echoHandler answers with the role as status and the caller's ID and the request's body as body.
type echoHandler struct{}

func (echoHandler) HandleRelayed(_ context.Context, from fleet.Ref, role claim.Role, r exchange.Request) exchange.Answer {
	return exchange.Answer{Status: int(role), Body: append([]byte(from.ID+":"), r.Body...)}
}

func deliver(t *testing.T, c *Calls, from fleet.Ref, e wire.Envelope) {
	if err := c.Deliver(context.Background(), from, e); err != nil {
		t.Error(err)
	}
}

func newRequest() (exchange.Request, context.Context, context.CancelFunc) {
	r := exchange.Request{Body: []byte("order"), Deadline: time.Now().Add(time.Minute)}
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	return r, ctx, cancel
}

func TestCallReturnsTheCalleesAnswer(t *testing.T) {
	callerLinks, calleeLinks := &fakeLinks{t: t}, &fakeLinks{t: t}
	client, server := NewCalls(callerLinks, echoHandler{}), NewCalls(calleeLinks, echoHandler{})
	callerLinks.deliver = func(_ fleet.Ref, e wire.Envelope) { deliver(t, server, caller, e) }
	calleeLinks.deliver = func(_ fleet.Ref, e wire.Envelope) { deliver(t, client, callee, e) }
	r, ctx, cancel := newRequest()
	defer cancel()
	a, err := client.Call(ctx, callee, claim.RoleWitness, r)
	if err != nil || string(a.Body) != "caller:order" || a.Status != int(claim.RoleWitness) {
		t.Errorf("answer %d %q: %v", a.Status, a.Body, err)
	}
	server.Wait()
	if server.Running() != 0 {
		t.Errorf("%d calls still running after Wait", server.Running())
	}
}

func TestReplyFromAnotherInstanceIsDropped(t *testing.T) {
	links := &fakeLinks{t: t}
	c := NewCalls(links, echoHandler{})
	links.deliver = func(_ fleet.Ref, e wire.Envelope) {
		var call Call
		if err := wire.DecodeBody(e, &call); err != nil {
			t.Error(err)
		}
		for _, from := range []fleet.Ref{other, {ID: callee.ID, Incarnation: 2}, callee, callee} {
			data, err := wire.Encode(wire.KindRelayAnswer, Reply{ID: call.ID, Answer: exchange.Answer{Body: []byte(from.String())}})
			if err != nil {
				t.Error(err)
			}
			reply, err := wire.Decode(data)
			if err != nil {
				t.Error(err)
			}
			deliver(t, c, from, reply)
		}
	}
	r, ctx, cancel := newRequest()
	defer cancel()
	a, err := c.Call(ctx, callee, claim.RoleHome, r)
	if err != nil || string(a.Body) != callee.String() {
		t.Errorf("answer %q: %v, want that of %s", a.Body, err, callee)
	}
}

func TestErrorsDistinguishWhetherTheRequestWasSent(t *testing.T) {
	r, ctx, cancel := newRequest()
	defer cancel()
	for _, links := range []*fakeLinks{{t: t, unreachable: true}, {t: t, full: true}} {
		if _, err := NewCalls(links, echoHandler{}).Call(ctx, callee, claim.RoleHome, r); !errors.Is(err, ErrUnreachable) {
			t.Errorf("unreachable %v, full %v: got %v, want %v", links.unreachable, links.full, err, ErrUnreachable)
		}
	}
	lost := &fakeLinks{t: t, deliver: func(fleet.Ref, wire.Envelope) {}}
	canceled, cancelNow := context.WithCancel(ctx)
	cancelNow()
	if _, err := NewCalls(lost, echoHandler{}).Call(canceled, callee, claim.RoleHome, r); !errors.Is(err, ErrNoReply) {
		t.Errorf("lost: got %v, want %v", err, ErrNoReply)
	}
}

func TestMalformedCallIsAnError(t *testing.T) {
	c := NewCalls(&fakeLinks{t: t}, echoHandler{})
	e := wire.Envelope{Version: wire.Version, Kind: wire.KindRelayRequest, Body: []byte{0x01}}
	if err := c.Deliver(context.Background(), caller, e); !errors.Is(err, wire.ErrMalformed) {
		t.Errorf("got %v, want %v", err, wire.ErrMalformed)
	}
}
