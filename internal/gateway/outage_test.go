package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/platform"
)

const (
	// stableWindow is how long after a disruption of the store the promises hold again.
	stableWindow = 3 * time.Second
	// outageTime is longer than the batch delay, so that followers begin a watch during an outage.
	outageTime = time.Second
)

// outageFleet is a fleet whose instances all serve the first configuration, by the upstream "i-1".
type outageFleet struct {
	*testFleet
	upstream *upstream
}

// forOutageFleets runs a test with a single instance, and with two zones of three.
func forOutageFleets(t *testing.T, test func(t *testing.T, fleet *outageFleet)) {
	t.Helper()
	for name, zones := range map[string][]string{"one instance": {"a"}, "two zones": {"a", "b", "a", "b", "a", "b"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := &outageFleet{testFleet: newTestFleet(t)}
			fleet.configure("h.example", "orders")
			fleet.upstream = fleet.startUpstream("i-1", "orders")
			for i, zone := range zones {
				fleet.startInstance(string(rune('p'+i)), zone)
			}
			for _, in := range fleet.instances {
				eventually(t, "served", func() bool {
					status, _, _ := in.send(t, "h.example", "/x")
					return status == http.StatusOK && len(in.gateway.control.snapshot.Load().alive) == len(zones)-1
				})
			}
			eventually(t, "two instances of each zone follow the store", func() bool { return fleet.followers() == min(len(zones), 4) })
			fleet.awaitWatches()
			test(t, fleet)
		})
	}
}

// followers returns the number of instances that report to follow the store.
func (fleet *outageFleet) followers() int {
	n := 0
	for _, following := range followers(fleet.instances) {
		if following {
			n++
		}
	}
	return n
}

// awaitWatches returns when all changes are applied and each follower's watch waits for the next.
func (fleet *outageFleet) awaitWatches() {
	fleet.t.Helper()
	eventually(fleet.t, "each follower watches", func() bool {
		for _, in := range fleet.instances {
			if in.gateway.control.knownRevision.Load() < uint64(fleet.revision()) {
				return false
			}
		}
		return fleet.store.WaitingWatches(fleet.store.Revision()) == fleet.followers()
	})
}

// wantVersion checks at a time that all instances have the last configuration in force.
func (fleet *outageFleet) wantVersion(t *testing.T, at time.Time) {
	t.Helper()
	time.Sleep(time.Until(at))
	for _, in := range fleet.instances {
		if got := in.gateway.control.snapshot.Load().Version; got != platform.ConfigVersion(fleet.version) {
			t.Errorf("instance %s has version %d in force, want %d", in.gateway.current().Instance.ID, got, fleet.version)
		}
	}
}

// silentOutageAfterChange makes the store fall silent just after a change, while the followers batch
// changes and have no watch. It returns the end of the outage.
func (fleet *outageFleet) silentOutageAfterChange() time.Time {
	fleet.t.Helper()
	fleet.configure("h.example", "orders")
	eventually(fleet.t, "the change is in force", func() bool {
		for _, in := range fleet.instances {
			if in.gateway.control.snapshot.Load().Version != platform.ConfigVersion(fleet.version) {
				return false
			}
		}
		return true
	})
	fleet.store.SetSilent(true)
	time.Sleep(outageTime)
	fleet.store.SetSilent(false)
	return time.Now()
}

// Guards against followers that wait for responses that were lost in a silent outage.
func TestChangeAfterSilentOutageIsAppliedInTime(t *testing.T) {
	t.Parallel()
	forOutageFleets(t, func(t *testing.T, fleet *outageFleet) {
		ended := fleet.silentOutageAfterChange()
		applyWithin := fleet.instances[0].gateway.current().Promises.ApplyWithin
		time.Sleep(time.Until(ended.Add(stableWindow - applyWithin)))
		fleet.configure("other.example", "orders")
		fleet.wantVersion(t, ended.Add(stableWindow))
		fleet.awaitWatches()
		fleet.configure("h.example", "orders")
		fleet.wantVersion(t, time.Now().Add(applyWithin))
	})
}

// Guards against a change that is not applied as the responses to the watches that return it are lost.
func TestChangeWithLostWatchResponsesIsAppliedInTime(t *testing.T) {
	t.Parallel()
	forOutageFleets(t, func(t *testing.T, fleet *outageFleet) {
		for _, lost := range []int{fleet.followers(), 1} {
			fleet.awaitWatches()
			fleet.store.LoseResponses("watch", lost)
			fleet.configure("h.example", "orders")
			fleet.wantVersion(t, time.Now().Add(stableWindow)) // A lost response is a disruption of the store.
		}
	})
}

// Guards against requests to an upstream that reports to be draining while the followers' watches are dead.
func TestUpstreamDrainingAfterSilentOutageGetsNoRequests(t *testing.T) {
	t.Parallel()
	forOutageFleets(t, func(t *testing.T, fleet *outageFleet) {
		fleet.startUpstream("i-stays", "orders")
		fleet.awaitWatches()
		ended := fleet.silentOutageAfterChange()
		drainWithin := fleet.instances[0].gateway.current().Promises.DrainWithin
		time.Sleep(time.Until(ended.Add(stableWindow - drainWithin)))
		fleet.register(fleet.upstream, "orders", "draining")
		time.Sleep(time.Until(ended.Add(stableWindow)))
		before := fleet.upstream.requests.Load()
		for range 10 {
			for _, in := range fleet.instances {
				if status, body, id := in.send(t, "h.example", "/safe/x"); status != http.StatusOK || body != "i-stays" {
					t.Errorf("request %s: %d %q", id, status, body)
				}
			}
		}
		if got := fleet.upstream.requests.Load(); got != before {
			t.Errorf("the draining upstream got %d requests", got-before)
		}
	})
}

// Guards against instances that report to follow the store without a response of it: no other takes over.
func TestInstanceWithoutResponsesOfStoreDoesNotFollow(t *testing.T) {
	t.Parallel()
	forOutageFleets(t, func(t *testing.T, fleet *outageFleet) {
		fleet.store.SetSilent(true)
		silent := time.Now()
		time.Sleep(time.Until(silent.Add(fleet.instances[0].gateway.current().Promises.ApplyWithin)))
		for _, in := range fleet.instances {
			if inControl(in, func(c *control) bool { return c.message(time.Now(), nil).Following }) {
				t.Errorf("instance %s reports to follow a silent store", in.gateway.current().Instance.ID)
			}
		}
		fleet.store.SetSilent(false)
		eventually(t, "instances follow the store again", func() bool { return fleet.followers() >= min(len(fleet.instances), 4) })
	})
}

// Guards against reports of a follower whose calls neither succeed nor fail, as after a pause of the process.
func TestFollowerWithoutConfirmationStopsReportingIt(t *testing.T) {
	t.Parallel()
	forOutageFleets(t, func(t *testing.T, fleet *outageFleet) {
		for _, in := range fleet.instances {
			following := inControl(in, func(c *control) bool { return c.following })
			now := inControl(in, func(c *control) bool { return c.message(time.Now(), nil).Following })
			later := inControl(in, func(c *control) bool {
				return c.message(time.Now().Add(c.settings.Promises.ApplyWithin), nil).Following
			})
			if now != following || later {
				t.Errorf("instance %s reports to follow: %t, and after apply_within: %t; it follows: %t", in.gateway.current().Instance.ID, now, later, following)
			}
		}
	})
}
