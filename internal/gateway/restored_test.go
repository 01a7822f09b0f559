package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/platform"
	"github.com/damaskcove/damaskcove/platform/standin"
)

// restorations are the ways in which the store comes back from a copy.
var restorations = map[string]func(fleet *outageFleet, saved *standin.Copy){
	"after an outage": func(fleet *outageFleet, saved *standin.Copy) {
		fleet.store.SetFault(standin.Unavailable)
		time.Sleep(outageTime / 2)
		fleet.store.Restore(saved)
		fleet.store.SetFault(standin.NoFault)
	},
	"unnoticed": func(fleet *outageFleet, saved *standin.Copy) { fleet.store.Restore(saved) },
	"its revision has passed the old one when it is read": func(fleet *outageFleet, saved *standin.Copy) {
		fleet.store.SetSilent(true)
		passed := fleet.store.Revision() + 3
		fleet.store.Restore(saved)
		for fleet.store.Revision() < passed {
			fleet.store.Put("other", []byte("x"))
		}
		time.Sleep(outageTime / 2)
		fleet.store.SetSilent(false)
	},
	"twice": func(fleet *outageFleet, saved *standin.Copy) {
		fleet.store.Restore(saved)
		time.Sleep(outageTime / 2)
		fleet.store.Put("other", []byte("x"))
		fleet.store.Restore(saved)
	},
}

// forRestorations runs a test for each kind of fleet and each restoration.
func forRestorations(t *testing.T, test func(t *testing.T, fleet *outageFleet, restore func(saved *standin.Copy))) {
	t.Helper()
	for name, restore := range restorations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forOutageFleets(t, func(t *testing.T, fleet *outageFleet) {
				test(t, fleet, func(saved *standin.Copy) { restore(fleet, saved) })
			})
		})
	}
}

// Guards against changes that are taken for applied since the restored store gives their revisions out again.
func TestChangeAfterRestorationIsAppliedInTime(t *testing.T) {
	t.Parallel()
	forRestorations(t, func(t *testing.T, fleet *outageFleet, restore func(saved *standin.Copy)) {
		saved := fleet.store.Save()
		for range 3 {
			fleet.configure("h.example", "orders")
		}
		fleet.awaitWatches()
		inForce := platform.ConfigVersion(fleet.version)
		restore(saved)
		restored := time.Now()
		for time.Since(restored) < time.Second {
			for _, in := range fleet.instances {
				if got := in.gateway.control.snapshot.Load().Version; got < inForce {
					t.Fatalf("version %d is in force after %d", got, inForce)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		applyWithin := fleet.instances[0].gateway.current().Promises.ApplyWithin
		time.Sleep(time.Until(restored.Add(stableWindow - applyWithin)))
		for range 2 { // The first revisions were given out before the restoration.
			fleet.configure("other.example", "orders")
			fleet.wantVersion(t, time.Now().Add(applyWithin))
		}
		fleet.awaitWatches()
	})
}

// Guards against upstreams that are dropped as the copy lacks them, and against ones that are used again as the copy
// still lists them.
func TestUpstreamsOutliveARestoration(t *testing.T) {
	t.Parallel()
	forRestorations(t, func(t *testing.T, fleet *outageFleet, restore func(saved *standin.Copy)) {
		fleet.upstream.born, fleet.upstream.sequence = time.Now().Add(-time.Hour).UnixMilli(), 1
		fleet.register(fleet.upstream, "orders", "ready")
		drains := fleet.startUpstream("i-drains", "orders")
		drains.born = fleet.upstream.born
		fleet.register(drains, "orders", "ready")
		fleet.awaitWatches()
		saved := fleet.store.Save()
		added := fleet.startUpstream("i-added", "orders")
		fleet.awaitWatches()
		drains.sequence = 9
		fleet.register(drains, "orders", "draining")
		fleet.store.Delete("servers/" + fleet.upstream.id)
		fleet.awaitWatches()
		restore(saved)
		restored := time.Now()
		left, draining := fleet.upstream.requests.Load(), drains.requests.Load()
		added.sequence = 5
		time.AfterFunc(outageTime/2, func() { fleet.register(added, "orders", "ready") }) // With its next heartbeat.
		for time.Since(restored) < 3*time.Second {
			for _, in := range fleet.instances {
				if status, body, id := in.send(t, "h.example", "/safe/x"); status != http.StatusOK || body != added.id {
					t.Fatalf("request %s, %v after the restoration: %d %q", id, time.Since(restored), status, body)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		if n := fleet.upstream.requests.Load() - left; n > 0 {
			t.Errorf("%d requests at an upstream that had left", n)
		}
		if n := drains.requests.Load() - draining; n > 0 {
			t.Errorf("%d requests at an upstream that drains", n)
		}
	})
}

// Guards against instances whose registrations were lost with the restoration, or that go by an earlier one of
// another instance, and against one that ends a lease that was given out again to another.
func TestInstancesRegisterAgainAfterARestoration(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t)
	fleet.configure("h.example", "orders")
	fleet.startUpstream("i-1", "orders")
	first := []*instance{fleet.startInstance("one", "a"), fleet.startInstance("two", "a")}
	known := func(in *instance, n int) bool { return len(in.gateway.control.snapshot.Load().alive) == n }
	eventually(t, "both know each other", func() bool { return known(first[0], 1) && known(first[1], 1) })
	saved := fleet.store.Save()
	last := fleet.startInstance("three", "a")
	restarted := fleet.restart(first[1], "two")
	all := []*instance{first[0], restarted, last}
	eventually(t, "all know each other", func() bool { return known(all[0], 2) && known(all[1], 2) && known(all[2], 2) })
	fleet.store.Restore(saved)
	restored := time.Now()
	records := func() string {
		var text strings.Builder
		for _, key := range fleet.store.Keys(memberPrefix) {
			fmt.Fprintf(&text, "%s %x\n", key, fleet.store.Value(key))
		}
		return text.String()
	}
	eventually(t, "all are registered as they are", func() bool {
		for _, in := range all {
			if !strings.Contains(records(), fmt.Sprintf("%s %x\n", memberPrefix+in.gateway.current().Instance.ID, in.registrationValue(t))) {
				return false
			}
		}
		return true
	})
	if took := time.Since(restored); took > stableWindow {
		t.Errorf("registered %v after the restoration", took)
	}
	if commits := fleet.store.Calls("txn"); commits > 4+2*len(all) {
		t.Errorf("%d transactions for 4 starts and a restoration", commits)
	}
	all[0].stop()
	<-all[0].done
	all[0].done <- nil
	eventually(t, "the one that stops is deregistered", func() bool { return !strings.Contains(records(), memberPrefix+"one ") })
	time.Sleep(200 * time.Millisecond)
	for _, in := range all[1:] {
		if !strings.Contains(records(), memberPrefix+in.gateway.current().Instance.ID+" ") {
			t.Errorf("instance %s is not registered after another one has stopped", in.gateway.current().Instance.ID)
		}
	}
}

// Guards against an instance that starts from the copy of a restored store and serves an older configuration than the
// others have in force.
func TestInstanceThatStartsFromACopyHasTheConfigurationInForce(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t)
	fleet.configure("old.example", "orders")
	fleet.startUpstream("i-1", "orders")
	first := fleet.startInstance("one", "a")
	eventually(t, "ready", func() bool { return first.ready(t) })
	saved := fleet.store.Save()
	fleet.configure("new.example", "orders")
	eventually(t, "the new version is in force", func() bool {
		return first.gateway.control.snapshot.Load().Version == platform.ConfigVersion(fleet.version)
	})
	fleet.store.Restore(saved)
	last := fleet.startInstance("two", "a")
	eventually(t, "a started instance has it in force", func() bool {
		return last.gateway.control.snapshot.Load().Version == platform.ConfigVersion(fleet.version)
	})
}

// Guards against a second read of all keys that removes what the first one of an era left for a grace period.
func TestSecondReadAfterARestorationKeepsTheGracePeriod(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t)
	fleet.configure("h.example", "orders")
	in := fleet.startInstance("one", "a")
	eventually(t, "ready", func() bool { return in.ready(t) })
	saved := fleet.store.Save()
	added := fleet.startUpstream("i-added", "orders")
	eventually(t, "the upstream is used", func() bool { return in.hasEndpoint(added.id) })
	fleet.store.Restore(saved)
	eventually(t, "the restoration is noticed", func() bool { return in.gateway.control.knownRevision.Load() >= uint64(fleet.revision()) })
	inControl(in, func(c *control) bool {
		now, at := time.Now(), c.replica.Revision()
		c.applyFullRead(now, nil, at, at)
		c.applyFullRead(now, nil, at+1, at+1)
		return true
	})
	if !in.hasEndpoint(added.id) {
		t.Error("the second read removes the upstream")
	}
	eventually(t, "it is removed after the grace period", func() bool { return !in.hasEndpoint(added.id) })
}
