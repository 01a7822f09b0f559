package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/dispatch"
)

// startBrokeredFleet starts a fleet in which brokers place the requests: one instance for each letter
// of zones, which names its zone.
func startBrokeredFleet(t *testing.T, zones string) (*testFleet, []*instance) {
	t.Helper()
	fleet := newTestFleet(t)
	fleet.brokersFrom = len(zones)
	fleet.configure("h.example", "orders")
	var all []*instance
	for k, zone := range zones {
		id := fmt.Sprintf("edge-%c-%d", zone, k)
		all = append(all, fleet.startInstance(id, string(zone)))
	}
	for _, in := range all {
		eventually(t, "every instance knows the others", func() bool {
			known := make(chan bool, 1)
			in.gateway.control.post(func() {
				known <- in.gateway.control.brokered() && len(in.gateway.control.members.byKey) == len(zones)-1
			})
			return <-known
		})
	}
	return fleet, all
}

// inControl runs a function on an instance's control loop.
func inControl[T any](in *instance, f func(c *control) T) T {
	got := make(chan T, 1)
	in.gateway.control.post(func() { got <- f(in.gateway.control) })
	return <-got
}

func TestServiceHasOneBroker(t *testing.T) {
	fleet, all := startBrokeredFleet(t, "aaaa")
	u := fleet.startUpstream("i-1", "orders")
	for _, in := range all {
		eventually(t, "served", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status == http.StatusOK })
	}
	brokers, served := 0, u.requests.Load()
	for _, in := range all {
		if inControl(in, func(c *control) bool { return c.broker != nil }) {
			brokers++
		}
	}
	if brokers != 1 {
		t.Errorf("%d instances broker one service", brokers)
	}
	if served < int64(len(all)) {
		t.Errorf("%d requests", served)
	}
	for _, in := range all {
		eventually(t, "all grants have ended", func() bool {
			return inControl(in, func(c *control) bool {
				return (c.broker == nil || c.broker.grants.Len() == 0) && len(c.placement.grantedBy) == 0 && len(c.placement.pending) == 0
			})
		})
	}
}

// Guards against requests that fail or hang when their service's broker dies.
func TestRequestsSucceedWhenBrokerDies(t *testing.T) {
	fleet, all := startBrokeredFleet(t, "aaaa")
	fleet.startUpstream("i-1", "orders")
	for _, in := range all {
		eventually(t, "served", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status == http.StatusOK })
	}
	var others []*instance
	for _, in := range all {
		if !inControl(in, func(c *control) bool { return c.broker != nil }) {
			others = append(others, in)
			continue
		}
		release := make(chan struct{})
		t.Cleanup(func() { close(release) })
		in.gateway.control.post(func() { <-release }) // Blocks its control loop, so that it no longer responds.
	}
	if len(others) != len(all)-1 {
		t.Fatalf("%d brokers, want 1", len(all)-len(others))
	}
	for range 5 {
		for _, in := range others {
			if status, _, id := in.send(t, "h.example", "/x"); status != http.StatusOK {
				t.Errorf("request %s: status %d", id, status)
			}
		}
	}
}

// Guards against rejecting the requests of a zone whose endpoints fail or drain while another zone
// has capacity.
func TestZoneWithoutEndpointsUsesAnotherZone(t *testing.T) {
	fleet, all := startBrokeredFleet(t, "aaabbb")
	u := fleet.startUpstream("i-1", "orders") // Of zone a.
	for _, in := range all {
		eventually(t, "served", func() bool {
			status, body, _ := in.send(t, "h.example", "/x")
			return status == http.StatusOK && body == u.id
		})
	}
	timeouts := func() (n int64) {
		for _, in := range all {
			n += in.gateway.control.brokerTimeouts.Load()
		}
		return n
	}
	before := timeouts()
	for _, in := range all[3:] {
		if status, _, id := in.send(t, "h.example", "/x"); status != http.StatusOK {
			t.Errorf("request %s of zone b: status %d", id, status)
		}
	}
	if now := timeouts(); now != before {
		t.Errorf("%d placement requests timed out", now-before)
	}
}

// Guards against requests that hang or run twice while every endpoint is full or failing: each
// placement request gets a reply, and a request that is not idempotent is sent at most
// once.
func TestEveryPlacementRequestIsAnswered(t *testing.T) {
	fleet, all := startBrokeredFleet(t, "aaabbb")
	good, bad := fleet.startUpstream("i-good", "orders"), fleet.startUpstream("i-bad", "orders")
	bad.failing.Store(true)
	eventually(t, "served", func() bool { status, _, _ := all[0].send(t, "h.example", "/x"); return status == http.StatusOK })
	before := good.requests.Load() + bad.requests.Load()
	const each = 20
	var done sync.WaitGroup
	for _, in := range all {
		for range each {
			done.Add(1)
			go func() {
				defer done.Done()
				status, _, id := in.send(t, "h.example", "/x")
				if !slices.Contains([]int{http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable}, status) {
					t.Errorf("request %s: status %d", id, status)
				}
			}()
		}
	}
	done.Wait()
	if ran := good.requests.Load() + bad.requests.Load() - before; ran > int64(each*len(all)) {
		t.Errorf("%d requests ran %d times", each*len(all), ran)
	}
}

// Instances that aren't coordinators get no heartbeats from the others: they must learn from a
// coordinator's report which instance is silent.
func TestCoordinatorsReportSilentInstances(t *testing.T) {
	_, all := startBrokeredFleet(t, "aaaaab")
	last := all[4]
	if inControl(last, func(c *control) bool { return c.isCoordinator() }) {
		t.Fatal("more than three coordinators")
	}
	eventually(t, "all are alive", func() bool { return len(last.gateway.control.snapshot.Load().alive) == len(all)-1 })
	stopped := all[3]
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	stopped.gateway.control.post(func() { <-release })
	eventually(t, "the silent instance is not alive", func() bool {
		return !slices.ContainsFunc(last.gateway.control.snapshot.Load().alive, func(e *memberRecord) bool { return e.Peer == stopped.gateway.control.peer })
	})
	if got := len(last.gateway.control.snapshot.Load().alive); got != len(all)-2 {
		t.Errorf("%d instances are alive", got)
	}
}

// Guards against applying a reply to the wrong request: it may arrive twice, or after a restart of the
// requester, which also restarts its sequence numbers, or name an endpoint of another service.
func TestForeignPlacementReplyIsIgnored(t *testing.T) {
	fleet, all := startBrokeredFleet(t, "aaa")
	fleet.startUpstream("i-1", "orders")
	in := all[0]
	eventually(t, "served", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status == http.StatusOK })
	now := time.Now()
	for name, tc := range map[string]struct {
		service string
		to      func(c *control) dispatch.PeerID
		answers bool // The reply is applied, so the request gets its endpoint.
	}{
		"its own":                  {"orders", func(c *control) dispatch.PeerID { return c.peer }, true},
		"an earlier incarnation's": {"orders", func(c *control) dispatch.PeerID { return c.peer + 1 }, false},
		"another service":          {"others", func(c *control) dispatch.PeerID { return c.peer }, false},
	} {
		result := make(chan acquireResult, 1)
		granted := inControl(in, func(c *control) int {
			c.placement.seq++
			request := dispatch.Request{Service: tc.service, Objective: now.Add(time.Second), Deadline: now.Add(time.Second)}
			c.placement.pending[c.placement.seq] = &pendingPlacement{request: request, result: result, timer: time.NewTimer(time.Hour)}
			r := placementReply{Broker: 99, To: tc.to(c), Seq: c.placement.seq, Endpoint: endpointID("i-1")}
			c.handlePlacementReply(now, r)
			before := len(c.placement.grantedBy)
			c.handlePlacementReply(now, r) // Duplicate.
			if len(c.placement.grantedBy) != before {
				t.Errorf("%s: the duplicate reply is applied", name)
			}
			delete(c.placement.grantedBy, c.placement.seq)
			delete(c.placement.pending, c.placement.seq)
			return before
		})
		if (granted > 0) != tc.answers {
			t.Errorf("%s: %d grants", name, granted)
		}
	}
}

func TestPlacementRequestRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	req := dispatch.Request{
		Service: "orders", Idempotent: true, Hedge: true, Objective: now.Add(-time.Second), Deadline: now.Add(2 * time.Second),
		Tried: []dispatch.EndpointID{1, 1 << 31}, CrossZoneCost: 0.125,
	}
	data, err := encodeKind(datagramPlacementRequest, newPlacementRequest(7, 9, now, req))
	if err != nil {
		t.Fatal(err)
	}
	msg, err := decodeKind[placementRequest](data[1:])
	if err != nil {
		t.Fatal(err)
	}
	if got := msg.request(now); fmt.Sprint(got) != fmt.Sprint(req) || msg.From != 7 || msg.Seq != 9 {
		t.Errorf("got %+v, want %+v", got, req)
	}
	var many []dispatch.EndpointID
	for k := range 4 * maxTried {
		many = append(many, dispatch.EndpointID(1<<31+k))
	}
	req.Tried = many
	req.Service = strings.Repeat("long", 50)
	if data, err = encodeKind(datagramPlacementRequest, newPlacementRequest(1<<63, 1<<63, now, req)); err != nil || len(data) > maxDatagramBytes {
		t.Errorf("%d bytes, %v", len(data), err)
	}
}

// Guards against sending a request once more to an endpoint that has refused it: a copy of that refusal
// would pass for the answer. A placementRequest has room for some of the tried endpoints only.
func TestTriedEndpointIsNotGrantedAgain(t *testing.T) {
	fleet, all := startBrokeredFleet(t, "aaaa")
	fleet.startUpstream("i-1", "orders")
	in := all[0]
	eventually(t, "served", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status == http.StatusOK })
	req := dispatch.Request{Service: "orders", Deadline: time.Now().Add(waitTimeout), Objective: time.Now().Add(waitTimeout)}
	for k := range maxTried {
		req.Tried = append(req.Tried, endpointID(fmt.Sprint("i-dead-", k)))
	}
	for _, tried := range []bool{true, false} {
		if tried {
			req.Tried = append(req.Tried, endpointID("i-1"))
		} else {
			req.Tried = req.Tried[:maxTried]
		}
		result := make(chan acquireResult, 1)
		in.gateway.control.post(func() { in.gateway.control.place(time.Now(), req, result) })
		if got := <-result; (got.rejection != nil) != tried {
			t.Errorf("tried %v: %+v", tried, got)
		}
	}
}
