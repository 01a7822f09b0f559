package gateway

import (
	"net/http"
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
