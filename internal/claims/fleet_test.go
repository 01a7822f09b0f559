package claims

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/control"
	"github.com/damaskcove/damaskcove/internal/exchange"
	"github.com/damaskcove/damaskcove/internal/relay"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// hopTime is the one-way latency between two instances.
const hopTime = time.Millisecond

// testFleet is a home, a witness and a third instance. Each direction of a link can be cut.
type testFleet struct {
	t     testing.TB
	hop   time.Duration
	mu    sync.Mutex
	nodes map[fleet.Ref]*testNode
	cut   map[[2]fleet.InstanceID]bool // From, to.
	down  map[fleet.InstanceID]bool    // No link to it: a call is not sent.
	runs  []string                     // Bodies executed, in order.
	run   func(ctx context.Context, r exchange.Request) exchange.Answer
}

// testNode is one instance; it is its own sender and relay.
type testNode struct {
	f      *testFleet
	ref    fleet.Ref
	loop   *control.Loop
	claims *Claims
	end    context.CancelFunc
	runs   int // Requests executed here.
}

var (
	home     = fleet.Ref{ID: "home", Incarnation: 1}
	witness  = fleet.Ref{ID: "witness", Incarnation: 1}
	third    = fleet.Ref{ID: "third", Incarnation: 1}
	fleetKey = claim.SigningKey{ID: 1, Secret: []byte("0123456789abcdef")}
)

// inFleet runs a test on a new fleet in a synctest bubble, which has a fake clock.
func inFleet(t *testing.T, limits claim.Limits, test func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hopTime, limits)
		test(f)
		time.Sleep(time.Minute) // Past every deadline.
		for _, n := range f.nodes {
			n.end()
		}
		synctest.Wait()
	})
}

func newFleet(t testing.TB, hop time.Duration, limits claim.Limits) *testFleet {
	f := &testFleet{
		t:     t,
		hop:   hop,
		nodes: make(map[fleet.Ref]*testNode),
		cut:   make(map[[2]fleet.InstanceID]bool),
		down:  make(map[fleet.InstanceID]bool),
	}
	f.run = func(_ context.Context, r exchange.Request) exchange.Answer {
		return exchange.Answer{Status: 201, Body: append([]byte("ran "), r.Body...), Code: result.CodeAnswered, Execution: result.Ran}
	}
	for _, ref := range []fleet.Ref{home, witness, third} {
		f.start(ref, limits)
	}
	return f
}

func newKeyring(t testing.TB, keys ...claim.SigningKey) *claim.Keyring {
	t.Helper()
	r, err := claim.NewKeyring(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func (f *testFleet) start(ref fleet.Ref, limits claim.Limits) {
	n := &testNode{f: f, ref: ref}
	n.loop = control.NewLoop(func(from fleet.Ref, kind wire.Kind, err error) {
		f.t.Errorf("%s rejects message of kind %d from %s: %v", ref, kind, from, err)
	})
	n.claims = New(Options{
		Fleet: "f", Self: fleet.Instance{Ref: ref}, Loop: n.loop, Sender: n, Relay: n,
		Executor: n, Keys: newKeyring(f.t, fleetKey), Limits: limits,
		Log: slog.New(slog.NewJSONHandler(io.Discard, nil)),
	})
	n.loop.Add(n.claims)
	ctx, cancel := context.WithCancel(context.Background())
	n.end = cancel
	f.nodes[ref] = n
	go n.loop.Run(ctx)
}

func (f *testFleet) set(m map[fleet.InstanceID]bool, id fleet.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m[id] = true
}

func (f *testFleet) setCut(from, to fleet.Ref, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]fleet.InstanceID{from.ID, to.ID}] = cut
}

// kill ends an instance and takes down its links.
func (f *testFleet) kill(ref fleet.Ref) {
	f.set(f.down, ref.ID)
	f.nodes[ref].end()
}

// delivers reports whether a message from one instance would reach another.
func (f *testFleet) delivers(from, to fleet.Ref) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[to] != nil && !f.down[to.ID] && !f.down[from.ID] && !f.cut[[2]fleet.InstanceID{from.ID, to.ID}]
}

// Send implements control.Sender.
func (n *testNode) Send(to fleet.Ref, kind wire.Kind, body any) {
	data, err := wire.Encode(kind, body)
	if err != nil {
		n.f.t.Errorf("encode: %v", err)
	}
	go func() {
		time.Sleep(n.f.hop)
		e, err := wire.Decode(data)
		if err != nil {
			n.f.t.Errorf("decode: %v", err)
		}
		if n.f.delivers(n.ref, to) {
			n.f.nodes[to].loop.Deliver(n.ref, e)
		}
	}()
}

// Reachable implements relay.Caller.
func (n *testNode) Reachable(to fleet.Ref) bool {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.f.nodes[to] != nil && !n.f.down[to.ID]
}

// Call implements relay.Caller.
func (n *testNode) Call(ctx context.Context, to fleet.Ref, role claim.Role, r exchange.Request) (exchange.Answer, error) {
	if !n.Reachable(to) {
		return exchange.Answer{}, fmt.Errorf("%w: %s", relay.ErrUnreachable, to)
	}
	reply := make(chan exchange.Answer, 1)
	go func() {
		time.Sleep(n.f.hop)
		if !n.f.delivers(n.ref, to) {
			return
		}
		there, cancel := context.WithDeadline(context.Background(), r.Deadline)
		defer cancel()
		a := n.f.nodes[to].claims.HandleRelayed(there, n.ref, role, r)
		if n.f.delivers(to, n.ref) {
			reply <- a
		}
	}()
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		return exchange.Answer{}, fmt.Errorf("%w: %s", relay.ErrNoReply, to)
	}
}

// Execute implements Executor.
func (n *testNode) Execute(ctx context.Context, r exchange.Request) exchange.Answer {
	n.f.mu.Lock()
	n.f.runs = append(n.f.runs, string(r.Body))
	n.runs++
	run := n.f.run
	n.f.mu.Unlock()
	return run(ctx, r)
}

// setExecution replaces the function that executes requests.
func (f *testFleet) setExecution(run func(ctx context.Context, r exchange.Request) exchange.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.run = run
}

// delayExecution makes each execution take d longer.
func (f *testFleet) delayExecution(d time.Duration) {
	run := f.run
	f.setExecution(func(ctx context.Context, r exchange.Request) exchange.Answer {
		time.Sleep(d)
		return run(ctx, r)
	})
}

// request returns an order whose ticket is valid for ten minutes.
func (f *testFleet) request(unique string) exchange.Request {
	ticket := claim.Ticket{Home: home, Witness: witness, Service: "drums", Account: "kerri", Expires: time.Now().Add(10 * time.Minute)}
	return exchange.Request{
		Service: "drums", Account: "kerri", Method: "POST", URI: "/orders", Body: []byte(unique),
		Key: f.nodes[third].claims.Issue(ticket) + "." + unique, Deadline: time.Now().Add(4 * time.Second),
	}
}

func (f *testFleet) do(at fleet.Ref, r exchange.Request) exchange.Answer {
	r.Deadline = time.Now().Add(4 * time.Second)
	return f.nodes[at].claims.Do(context.Background(), r)
}

func (f *testFleet) lookup(at fleet.Ref, r exchange.Request) exchange.Answer {
	return f.nodes[at].claims.Lookup(context.Background(), r.Key)
}

func (f *testFleet) expect(what string, a exchange.Answer, code result.Code, execution result.Execution) {
	f.t.Helper()
	if a.Code != code || a.Execution != execution {
		f.t.Errorf("%s: code %d, execution %s, expected %d, %s; body %q", what, a.Code, a.Execution, code, execution, a.Body)
	}
}

func (f *testFleet) expectRunsAt(ref fleet.Ref, n int) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if got := f.nodes[ref].runs; got != n {
		f.t.Errorf("executed %d requests at %s, expected %d", got, ref, n)
	}
}

func (f *testFleet) expectRuns(n int) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.runs) != n {
		f.t.Errorf("executed %q, expected %d runs", f.runs, n)
	}
}
