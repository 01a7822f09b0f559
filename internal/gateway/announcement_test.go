package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/platform/standin"
)

// Guards against requests to an upstream after an answer has said that it is leaving, whatever the store says of
// the upstream, or whether it says anything.
func TestAnnouncedLeavingIsObeyed(t *testing.T) {
	for name, follow := range map[string]func(fleet *testFleet, in *instance, u *upstream){
		"the store goes on listing it": func(*testFleet, *instance, *upstream) {},
		"the store is silent":          func(fleet *testFleet, _ *instance, _ *upstream) { fleet.store.SetFault(standin.Silent) },
		"the store is unavailable":     func(fleet *testFleet, _ *instance, _ *upstream) { fleet.store.SetFault(standin.Unavailable) },
		"its registration is new":      func(fleet *testFleet, _ *instance, u *upstream) { fleet.register(u, "orders", "ready") },
		"its registration lapses and returns": func(fleet *testFleet, in *instance, u *upstream) {
			fleet.store.Delete("servers/" + u.id)
			eventually(t, "the upstream is removed", func() bool { return in.chance(u) == 0 })
			fleet.register(u, "orders", "ready")
		},
		"it lapses and returns, and all keys are read anew": func(fleet *testFleet, in *instance, u *upstream) {
			fleet.store.Delete("servers/" + u.id)
			eventually(t, "the upstream is removed", func() bool { return in.chance(u) == 0 })
			fleet.register(u, "orders", "ready")
			fleet.store.Compact()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newTestFleet(t)
			in := fleet.startInstance("one", "a")
			fleet.configure("h.example", "orders")
			leaves, stays := fleet.startUpstream("i-leaves", "orders"), fleet.startUpstream("i-stays", "orders")
			eventually(t, "both are used", func() bool {
				_, _, _ = in.send(t, "h.example", "/x")
				return leaves.requests.Load() > 0 && stays.requests.Load() > 0
			})
			leaves.leaving.Store(true)
			eventually(t, "an answer announces the leaving", func() bool {
				_, body, _ := in.send(t, "h.example", "/x")
				return body == leaves.id
			})
			follow(fleet, in, leaves)
			time.Sleep(in.gateway.current().Promises.DrainWithin)
			before := leaves.requests.Load()
			for range 40 {
				if status, body, id := in.send(t, "h.example", "/x"); status != http.StatusOK {
					t.Errorf("request %s: status %d, %s", id, status, body)
				}
			}
			if late := leaves.requests.Load() - before; late > 0 {
				t.Errorf("%d of 40 requests reached the upstream later than promises.drain_within after its announcement", late)
			}
		})
	}
}

// chance returns the chance that an instance gives an upstream; 0 if it does not know it.
func (in *instance) chance(u *upstream) float64 {
	return inControl(in, func(c *control) float64 { return c.machine.Chance(time.Now(), endpointID(u.id)) })
}

// An upstream that has started again under its id is used again, and so is the next upstream at its address.
func TestAnnouncedLeavingEndsWithTheIncarnation(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	fleet.configure("h.example", "orders")
	leaves := fleet.startUpstream("i-leaves", "orders")
	leaves.leaving.Store(true)
	eventually(t, "an answer announces the leaving", func() bool { _, body, _ := in.send(t, "h.example", "/x"); return body == leaves.id })
	if status, body, _ := in.send(t, "h.example", "/x"); status != http.StatusServiceUnavailable || !strings.Contains(body, "1 endpoints of the service are leaving") {
		t.Errorf("while the only upstream leaves: status %d, %s", status, body)
	}
	leaves.leaving.Store(false)
	time.Sleep(time.Millisecond) // A start is told in milliseconds.
	leaves.born = time.Now().UnixMilli()
	fleet.register(leaves, "orders", "ready")
	eventually(t, "its next start is used", func() bool { _, body, _ := in.send(t, "h.example", "/x"); return body == leaves.id })
	leaves.leaving.Store(true)
	eventually(t, "it announces its leaving again", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status != http.StatusOK })
	fleet.store.Delete("servers/" + leaves.id)
	next := fleet.startUpstreamAt("i-next", "orders", leaves)
	eventually(t, "the next upstream at the address is used", func() bool { _, body, _ := in.send(t, "h.example", "/x"); return body == next.id })
	for _, line := range []string{"upstream announced that it is leaving", "upstream that was leaving has started again"} {
		if !strings.Contains(in.logs.String(), line) {
			t.Errorf("the log lacks %q", line)
		}
	}
}

// Instances that have had no answer from an upstream that is leaving hear of it from another one, also through a
// broker, and the one that has had such an answer does not let a broker send it there.
func TestOtherInstancesHearOfAnnouncedLeaving(t *testing.T) {
	for name, brokersFrom := range map[string]int{"reports": 150, "brokers": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newTestFleet(t)
			fleet.brokersFrom = brokersFrom
			var all []*instance
			for _, id := range []string{"one", "two", "three"} {
				all = append(all, fleet.startInstance(id, "a"))
			}
			fleet.configure("h.example", "orders")
			leaves, stays := fleet.startUpstream("i-leaves", "orders"), fleet.startUpstream("i-stays", "orders")
			for _, in := range all {
				eventually(t, "all know each other and both upstreams", func() bool {
					_, _, _ = in.send(t, "h.example", "/x")
					return leaves.requests.Load() > 0 && stays.requests.Load() > 0 && len(in.gateway.control.snapshot.Load().alive) == len(all)-1
				})
			}
			fleet.store.SetFault(standin.Silent)
			leaves.leaving.Store(true)
			eventually(t, "an answer announces the leaving", func() bool {
				_, body, _ := all[0].send(t, "h.example", "/x")
				return body == leaves.id
			})
			quiet := func() bool {
				before := leaves.requests.Load()
				for range 8 {
					for _, in := range all {
						_, _, _ = in.send(t, "h.example", "/x")
					}
				}
				return leaves.requests.Load() == before
			}
			eventually(t, "no instance uses the upstream", quiet)
			if !quiet() {
				t.Error("an instance uses the upstream again")
			}
		})
	}
}

// Guards against requests to an upstream that has turned this instance away for a time, also by a broker's choice.
func TestHoldOffIsObeyed(t *testing.T) {
	for name, brokersFrom := range map[string]int{"reports": 150, "brokers": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newTestFleet(t)
			fleet.brokersFrom = brokersFrom
			in, other := fleet.startInstance("one", "a"), fleet.startInstance("two", "a")
			fleet.configure("h.example", "orders")
			busy, free := fleet.startUpstream("i-busy", "orders"), fleet.startUpstream("i-free", "orders")
			eventually(t, "both upstreams are used", func() bool {
				_, _, _ = in.send(t, "h.example", "/x")
				return busy.requests.Load() > 0 && free.requests.Load() > 0 && len(other.gateway.control.snapshot.Load().alive) == 1
			})
			const holdOff = 3 * time.Second
			busy.holdOff.Store(int64(holdOff.Seconds()))
			before, asked := busy.requests.Load(), time.Time{}
			eventually(t, "it turns a request away", func() bool {
				asked = time.Now()
				status, _, id := in.send(t, "h.example", "/x")
				if status != http.StatusOK {
					t.Errorf("request %s: status %d", id, status)
				}
				return busy.requests.Load() > before
			})
			before = busy.requests.Load()
			for time.Since(asked) < holdOff/2 {
				_, _, _ = in.send(t, "h.example", "/x")
			}
			if n := busy.requests.Load() - before; n > 0 && time.Since(asked) < holdOff {
				t.Errorf("%d requests reach it meanwhile", n)
			}
			busy.holdOff.Store(0)
			eventually(t, "it is used again", func() bool { _, body, _ := in.send(t, "h.example", "/x"); return body == busy.id })
		})
	}
}

// While all upstreams of a service hold off, a request that can wait is served by the first to return, and another
// is rejected at once, with its cause and when to come back.
func TestServiceThatHoldsOff(t *testing.T) {
	for name, brokersFrom := range map[string]int{"reports": 150, "brokers": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newTestFleet(t)
			fleet.brokersFrom = brokersFrom
			in := fleet.startInstance("one", "a")
			fleet.configure("h.example", "orders")
			only := fleet.startUpstream("i-only", "orders")
			eventually(t, "served", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status == http.StatusOK })
			only.holdOff.Store(1)
			if status, body, _ := in.send(t, "h.example", "/x"); status != http.StatusServiceUnavailable || !strings.Contains(body, "hold off") {
				t.Errorf("the request that is turned away: status %d, %s", status, body)
			}
			only.holdOff.Store(0)
			time.Sleep(600 * time.Millisecond) // The objective is 1 s; too early, it would be rejected.
			if status, _, _ := in.send(t, "h.example", "/x"); status != http.StatusOK {
				t.Errorf("a request that can wait: status %d", status)
			}
			only.holdOff.Store(30)
			_, _, _ = in.send(t, "h.example", "/x")
			began := time.Now()
			if status, body, _ := in.send(t, "h.example", "/x"); status != http.StatusServiceUnavailable || !strings.Contains(body, "1 endpoints hold off") {
				t.Errorf("a request that cannot wait: status %d, %s", status, body)
			}
			if took := time.Since(began); took > 4*time.Second { // The caller's deadline is 5 s, the hold-off 30 s.
				t.Errorf("rejected after %s", took)
			}
		})
	}
}
