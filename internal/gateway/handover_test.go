package gateway

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a restart that costs callers: an instance that starts while others run knows which
// upstreams fail before it has sent a request, and may retry at once.
func TestStartedInstanceKnowsFailingUpstreams(t *testing.T) {
	fleet := newTestFleet(t)
	first := fleet.startInstance("one", "a")
	fleet.configure("h.example", "orders")
	good, bad := fleet.startUpstream("i-good", "orders"), fleet.startUpstream("i-bad", "orders")
	bad.failing.Store(true)
	chance := func(in *instance, id string) float64 {
		got := make(chan float64, 1)
		in.gateway.control.post(func() { got <- in.gateway.control.machine.Chance(time.Now(), endpointID(id)) })
		return <-got
	}
	const tries = 10 // Evidence loses its weight within seconds, which a start may take on a busy machine.
	for try := range tries {
		eventually(t, "the first instance knows", func() bool {
			first.send(t, "h.example", "/x")
			failing := chance(first, bad.id) // 0 while it is not registered.
			return failing > 0 && failing < 0.3 && chance(first, good.id) > 0.8
		})
		before := bad.requests.Load()
		second := fleet.startInstance(fmt.Sprint("second-", try), "b")
		done := func() bool {
			return inControl(second, func(c *control) bool { return !c.handoverUntil.IsZero() && !c.handoverUntil.After(time.Now()) })
		}
		eventually(t, "the handover is over", done)
		knows := chance(second, bad.id) < 0.5 && chance(second, good.id) > 0.6
		if n := bad.requests.Load() - before; n > 0 {
			t.Errorf("%d requests were sent to find it out", n)
		}
		if knows {
			return
		}
		if got := chance(first, bad.id); got < 0.45 {
			t.Fatalf("the first instance gives the failing upstream a chance of %.2f, the second %.2f", got, chance(second, bad.id))
		}
		second.stop()
	}
	t.Errorf("the first instance has forgotten what it knew at each of %d starts", tries)
}
