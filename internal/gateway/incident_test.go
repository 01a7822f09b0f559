package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/pause"
	"github.com/damaskcove/damaskcove/platform"
	"github.com/damaskcove/damaskcove/platform/standin"
)

// Failures that operators of similar systems have told of.

// A process stands still while the configuration changes and its watch hears nothing of it.
// What it knew has run out when it goes on.
func TestAPausedInstanceActsOnNothingThatRanOut(t *testing.T) {
	w := newWorld(t)
	in := w.startInstance("one", "a")
	w.configure("h.example", "orders")
	old, next := w.startUpstream("i-old", "orders"), w.startUpstream("i-next", "others")
	eventually(t, "served", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status == http.StatusOK })
	watches := w.store.Calls("watch")
	w.store.SetFault(standin.NoWatchEvents) // It cuts the watch; the next hears nothing.
	eventually(t, "the instance watches again", func() bool { return w.store.Calls("watch") > watches })
	in.gateway.control.post(func() { time.Sleep(pause.MinPause + pause.MinPause/2) })
	w.configure("h.example", "others")
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

// While there is no news to be had after a pause, an instance goes on with what it knew.
func TestAPausedInstanceGoesOnWhileTheStoreIsAway(t *testing.T) {
	w := newWorld(t)
	in := w.startInstance("one", "a")
	w.configure("h.example", "orders")
	w.startUpstream("i-1", "orders")
	eventually(t, "served", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status == http.StatusOK })
	w.store.SetFault(standin.Unresponsive)
	in.gateway.control.post(func() { time.Sleep(pause.MinPause + pause.MinPause/2) })
	eventually(t, "served again", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status == http.StatusOK })
}

// An instance is restarted after an upstream has left and another's registration was
// withdrawn. Old messages that still arrive bring neither back.
func TestARestartedInstanceUsesNothingThatWasWithdrawn(t *testing.T) {
	w := newWorld(t)
	in := w.startInstance("one", "a")
	w.configure("h.example", "orders")
	left, stays := w.startUpstream("i-left", "orders"), w.startUpstream("i-stays", "orders")
	eventually(t, "served by both", func() bool {
		_, _, _ = in.send(t, "h.example", "/x")
		return left.requests.Load() > 0 && stays.requests.Load() > 0
	})
	revision := platform.Revision(in.gateway.control.knownRevision.Load())
	in.stop()
	<-in.done
	in.done <- nil
	w.store.Delete("servers/" + left.id)
	w.store.Compact()
	again := w.startWith(in.settings, "one")
	eventually(t, "served", func() bool { status, _, _ := again.send(t, "h.example", "/x"); return status == http.StatusOK })
	w.register(left, "orders", "ready")
	entry := keyChange{Key: "servers/" + left.id, Value: []byte(`{"service":"orders","address":"` + left.addr + `","zone":"a","version":"v1","capacity":4,"state":"ready","warmup_left":"0ms","sequence":9}`)}
	w.store.Delete("servers/" + left.id)
	eventually(t, "the store is followed", func() bool { return platform.Revision(again.gateway.control.knownRevision.Load()) > revision+2 })
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

// An upstream falls silent towards the store while it works on an order. The order is neither
// given up nor started elsewhere.
func TestASilentUpstreamsWorkIsNotGivenUp(t *testing.T) {
	w := newWorld(t)
	in := w.startInstance("one", "a")
	w.configure("h.example", "orders")
	silent := w.startUpstream("i-silent", "orders")
	hold := make(chan struct{})
	silent.hold.Store(&hold)
	eventually(t, "ready", func() bool { return in.ready(t) })
	type answered struct {
		status int
		body   string
	}
	done := make(chan answered, 1)
	go func() {
		status, body, _ := in.send(t, "h.example", "/x")
		done <- answered{status, body}
	}()
	eventually(t, "the order runs", func() bool { return silent.requests.Load() == 1 })
	other := w.startUpstream("i-other", "orders")
	w.store.Delete("servers/" + silent.id)
	eventually(t, "the silent one is gone", func() bool {
		gone := make(chan bool, 1)
		in.gateway.control.post(func() {
			gone <- in.gateway.control.machine.Chance(time.Now(), endpointID(silent.id)) == 0
		})
		return <-gone
	})
	close(hold)
	if got := <-done; got.status != http.StatusOK || got.body != silent.id {
		t.Errorf("the order ends with %d %q", got.status, got.body)
	}
	if silent.requests.Load() != 1 || other.requests.Load() != 0 {
		t.Errorf("the order ran %d times there and %d times elsewhere", silent.requests.Load(), other.requests.Load())
	}
}
