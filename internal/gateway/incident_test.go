package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/pause"
	"github.com/damaskcove/damaskcove/platform"
	"github.com/damaskcove/damaskcove/platform/standin"
)

// These tests reproduce failures that operators of similar systems have reported.

// Guards against serving by stale state: the process is paused while the configuration changes, and
// its watch doesn't deliver the change. After the pause it must not use the old configuration.
func TestPausedInstanceDoesNotUseStaleState(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	fleet.configure("h.example", "orders")
	old, next := fleet.startUpstream("i-old", "orders"), fleet.startUpstream("i-next", "others")
	eventually(t, "served", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status == http.StatusOK })
	watches := fleet.store.Calls("watch")
	fleet.store.SetFault(standin.NoWatchEvents) // Ends the watch; the next gets no events.
	eventually(t, "the instance watches again", func() bool { return fleet.store.Calls("watch") > watches })
	in.gateway.control.post(func() { time.Sleep(pause.MinPause + pause.MinPause/2) })
	fleet.configure("h.example", "others")
	before := old.requests.Load()
	eventually(t, "served again", func() bool {
		status, body, id := in.send(t, "h.example", "/x")
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Errorf("request %s: status %d", id, status)
		}
		return status == http.StatusOK && body == next.id
	})
	if got := old.requests.Load(); got != before {
		t.Errorf("%d requests ran by the configuration from before the pause", got-before)
	}
}

// After a pause during an outage of the store, when no newer state can be read, an instance serves
// with the state that it had.
func TestPausedInstanceServesDuringStoreOutage(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	fleet.configure("h.example", "orders")
	fleet.startUpstream("i-1", "orders")
	eventually(t, "served", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status == http.StatusOK })
	fleet.store.SetFault(standin.Unresponsive)
	in.gateway.control.post(func() { time.Sleep(pause.MinPause + pause.MinPause/2) })
	eventually(t, "served again", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status == http.StatusOK })
}

// Guards against requests to a removed upstream: it leaves before an instance restarts, registers again
// and is removed again. Old change batches that still arrive must not restore it.
func TestRestartedInstanceIgnoresOldChanges(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	fleet.configure("h.example", "orders")
	left, stays := fleet.startUpstream("i-left", "orders"), fleet.startUpstream("i-stays", "orders")
	eventually(t, "served by both", func() bool {
		_, _, _ = in.send(t, "h.example", "/x")
		return left.requests.Load() > 0 && stays.requests.Load() > 0
	})
	revision := platform.Revision(in.gateway.control.knownRevision.Load())
	in.stop()
	<-in.done
	in.done <- nil
	fleet.store.Delete("servers/" + left.id)
	fleet.store.Compact()
	again := fleet.startWith(in.settings, "one")
	eventually(t, "served", func() bool { status, _, _ := again.send(t, "h.example", "/x"); return status == http.StatusOK })
	fleet.register(left, "orders", "ready")
	entry := keyChange{Key: "servers/" + left.id, Value: []byte(`{"service":"orders","address":"` + left.addr + `","zone":"a","version":"v1","capacity":4,"state":"ready","warmup_left":"0ms","sequence":9}`)}
	fleet.store.Delete("servers/" + left.id)
	eventually(t, "the instance has the later revisions", func() bool { return platform.Revision(again.gateway.control.knownRevision.Load()) > revision+2 })
	for back := range platform.Revision(4) {
		entry.Revision = revision - back
		data, err := encodeKind(datagramChanges, changeBatch{From: 99, After: 0, At: revision - back, Items: []keyChange{entry}})
		if err != nil {
			t.Fatal(err)
		}
		again.gateway.handleDatagram(data)
	}
	before := left.requests.Load()
	for range 30 {
		if status, body, id := again.send(t, "h.example", "/safe/x"); status != http.StatusOK || body != stays.id {
			t.Errorf("request %s: %d %q", id, status, body)
		}
	}
	if got := left.requests.Load(); got != before {
		t.Errorf("the upstream that left got %d requests", got-before)
	}
}

// Guards against cancelling or repeating a request that is not idempotent, whose upstream loses its
// registration while it works on the request.
func TestRequestAtDeregisteredUpstreamIsNotRetried(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	fleet.configure("h.example", "orders")
	silent := fleet.startUpstream("i-silent", "orders")
	hold := make(chan struct{})
	silent.hold.Store(&hold)
	eventually(t, "ready", func() bool { return in.ready(t) })
	// An instance is ready once it has a configuration, which may arrive before the upstream's registration.
	eventually(t, "the upstream is in use", func() bool {
		known := make(chan bool, 1)
		in.gateway.control.post(func() {
			known <- in.gateway.control.machine.Chance(time.Now(), endpointID(silent.id)) > 0
		})
		return <-known
	})
	type answered struct {
		status int
		body   string
	}
	done := make(chan answered, 1)
	go func() {
		status, body, _ := in.send(t, "h.example", "/x")
		done <- answered{status, body}
	}()
	eventually(t, "the upstream has the request", func() bool { return silent.requests.Load() == 1 })
	other := fleet.startUpstream("i-other", "orders")
	fleet.store.Delete("servers/" + silent.id)
	eventually(t, "the deregistered upstream is no longer used", func() bool {
		removed := make(chan bool, 1)
		in.gateway.control.post(func() {
			removed <- in.gateway.control.machine.Chance(time.Now(), endpointID(silent.id)) == 0
		})
		return <-removed
	})
	close(hold)
	if got := <-done; got.status != http.StatusOK || got.body != silent.id {
		t.Errorf("the request ends with %d %q", got.status, got.body)
	}
	if silent.requests.Load() != 1 || other.requests.Load() != 0 {
		t.Errorf("the request ran %d times there and %d times elsewhere", silent.requests.Load(), other.requests.Load())
	}
}
