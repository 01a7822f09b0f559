package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
)

func startClient(t *testing.T) (*Client, *standin.Server) {
	t.Helper()
	server, err := standin.Serve(standin.New(standin.Options{}), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := New(server.Addr(), "test")
	t.Cleanup(func() {
		client.Close()
		_ = server.Close()
	})
	return client, server
}

func wantError(t *testing.T, what string, err, target error) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Fatalf("%s: got %v, want %v", what, err, target)
	}
}

func TestStoreCalls(t *testing.T) {
	c, _ := startClient(t)
	ctx := context.Background()
	const key = "fleet/a b/head?x=1"
	_, err := c.Get(ctx, key)
	wantError(t, "absent key", err, metastore.ErrNotFound)
	version, err := c.CompareAndSwap(ctx, key, 0, []byte("one"), 0)
	if err != nil || version != 1 {
		t.Fatalf("first write: %d %v", version, err)
	}
	_, err = c.CompareAndSwap(ctx, key, 0, []byte("two"), 0)
	wantError(t, "second create", err, metastore.ErrConflict)
	value, err := c.Get(ctx, key)
	if err != nil || !bytes.Equal(value.Data, []byte("one")) || value.Version != 1 {
		t.Fatalf("read back: %+v %v", value, err)
	}
	_, err = c.CompareAndSwap(ctx, key, 1, make([]byte, metastore.MaxValueBytes+1), 0)
	wantError(t, "value over the largest size", err, metastore.ErrTooLarge)
	full := make([]byte, metastore.MaxValueBytes)
	if _, err = c.CompareAndSwap(ctx, key, 1, full, 0); err != nil {
		t.Fatalf("value of the largest size: %v", err)
	}
	if value, err = c.Get(ctx, key); err != nil || len(value.Data) != metastore.MaxValueBytes {
		t.Fatalf("read value of the largest size: %d bytes, %v", len(value.Data), err)
	}
}

func TestLeases(t *testing.T) {
	c, server := startClient(t)
	ctx := context.Background()
	lease, err := c.GrantLease(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.CompareAndSwap(ctx, "k", 0, nil, lease); err != nil {
		t.Fatal(err)
	}
	if err := c.KeepAlive(ctx, lease); err != nil {
		t.Fatal(err)
	}
	server.Platform().ExpireLease(lease)
	wantError(t, "expired lease", c.KeepAlive(ctx, lease), metastore.ErrLeaseLost)
	_, err = c.Get(ctx, "k")
	wantError(t, "key of an expired lease", err, metastore.ErrNotFound)
	_, err = c.CompareAndSwap(ctx, "k", 0, nil, lease)
	wantError(t, "write under an expired lease", err, metastore.ErrLeaseLost)
	_, err = c.GrantLease(ctx, 0)
	wantError(t, "lease without a time to live", err, metastore.ErrUnavailable)
}

func TestWatchReturnsTheNextVersion(t *testing.T) {
	c, server := startClient(t)
	ctx := context.Background()
	got := make(chan metastore.Value, 1)
	go func() {
		value, _ := c.Watch(ctx, "k", 0)
		got <- value
	}()
	for server.Platform().Counts().ByOp[metastore.OpWatch] == 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := c.CompareAndSwap(ctx, "k", 0, []byte("new"), 0); err != nil {
		t.Fatal(err)
	}
	if value := <-got; string(value.Data) != "new" || value.Version != 1 {
		t.Fatalf("watch returned %+v", value)
	}
}

func TestWatchEndsWithItsContext(t *testing.T) {
	c, server := startClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Watch(ctx, "k", 0)
		ended <- err
	}()
	for server.Platform().Counts().ByOp[metastore.OpWatch] == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	wantError(t, "cancelled watch", <-ended, context.Canceled)
}

func TestLostReplyIsAnUnknownResult(t *testing.T) {
	c, server := startClient(t)
	ctx := context.Background()
	server.Platform().UpdateFaults(func(f *standin.Faults) { f.LoseReplies = 1 })
	_, err := c.CompareAndSwap(ctx, "k", 0, []byte("taken"), 0)
	wantError(t, "lost response", err, metastore.ErrUnknownResult)
	if errors.Is(err, metastore.ErrUnavailable) {
		t.Fatalf("a lost response must not be ErrUnavailable, which means that nothing was written: %v", err)
	}
	value, err := c.Get(ctx, "k")
	if err != nil || string(value.Data) != "taken" {
		t.Fatalf("the write must have taken effect: %+v %v", value, err)
	}
	if n := server.Platform().Counts().ByOp[metastore.OpCompareAndSwap]; n != 1 {
		t.Fatalf("the write was sent %d times, want once", n)
	}
}

func TestCancelledWriteIsAnUnknownResult(t *testing.T) {
	c, server := startClient(t)
	server.Platform().UpdateFaults(func(f *standin.Faults) { f.Delay = time.Hour })
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for server.Platform().Counts().Total == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := c.CompareAndSwap(ctx, "k", 0, nil, 0)
	wantError(t, "write cancelled before its response", err, metastore.ErrUnknownResult)
}

func TestOutage(t *testing.T) {
	c, server := startClient(t)
	ctx := context.Background()
	for _, outage := range []standin.Outage{standin.OutageRefuse, standin.OutageDrop} {
		server.Platform().UpdateFaults(func(f *standin.Faults) { f.Store, f.List = outage, outage })
		_, err := c.Get(ctx, "k")
		wantError(t, "read", err, metastore.ErrUnavailable)
		_, err = c.Read(ctx)
		wantError(t, "list", err, metastore.ErrUnavailable)
		_, err = c.CompareAndSwap(ctx, "k", 0, nil, 0)
		if outage == standin.OutageRefuse {
			wantError(t, "refused write", err, metastore.ErrUnavailable)
		} else {
			wantError(t, "dropped write", err, metastore.ErrUnknownResult)
		}
	}
}

func TestWriteWithoutServerIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	c := New(addr, "test")
	_, err = c.CompareAndSwap(context.Background(), "k", 0, nil, 0)
	wantError(t, "write without a server", err, metastore.ErrUnavailable)
	if errors.Is(err, metastore.ErrUnknownResult) {
		t.Fatalf("no byte was sent, so the result must not be unknown: %v", err)
	}
}

func TestResponseOfAnotherServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	other := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	})}
	go func() { _ = other.Serve(listener) }()
	t.Cleanup(func() { _ = other.Close() })
	c := New(listener.Addr().String(), "test")
	_, err = c.CompareAndSwap(context.Background(), "k", 0, nil, 0)
	wantError(t, "write to another server", err, metastore.ErrUnknownResult)
	_, err = c.Get(context.Background(), "k")
	wantError(t, "read from another server", err, metastore.ErrUnavailable)
}

func TestList(t *testing.T) {
	c, server := startClient(t)
	server.Platform().SetListing(metastore.Listing{
		Upstreams: map[fleet.Service][]fleet.Upstream{"stock": {{Endpoint: "127.0.0.1:9", Slots: 4, State: fleet.UpstreamReady}}},
	})
	got, err := c.Read(context.Background())
	if err != nil || got.Version != 1 || got.Upstreams["stock"][0].Slots != 4 {
		t.Fatalf("list %+v %v", got, err)
	}
}

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	c, server := startClient(t)
	ctx := context.Background()
	for version := range uint64(3) {
		for range 3 {
			got, err := c.Read(ctx)
			if err != nil || got.Version != version || uint64(len(got.Instances)) != version {
				t.Fatalf("version %d: %+v %v", version, got, err)
			}
		}
		server.Platform().UpdateListing(func(l *metastore.Listing) {
			l.Instances = append(l.Instances, fleet.Instance{Ref: fleet.Ref{ID: fleet.InstanceID(formatID(version))}})
		})
	}
	if n := server.Platform().Counts().ByOp[metastore.OpList]; n != 9 {
		t.Fatalf("%d reads were counted, want 9", n)
	}
	request, _ := http.NewRequest(http.MethodGet, "http://"+server.Addr()+"/v1/list", nil)
	request.Header.Set("If-None-Match", "3")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNotModified {
		t.Fatalf("status %d for a list that has not changed", response.StatusCode)
	}
}

func TestAdminSetsFaults(t *testing.T) {
	_, server := startClient(t)
	body, _ := json.Marshal(standin.Faults{Store: standin.OutageRefuse})
	for _, step := range []struct {
		body   string
		status int
	}{{string(body), http.StatusNoContent}, {`{"store":"half"}`, http.StatusBadRequest}, {`{"nonsense":1}`, http.StatusBadRequest}} {
		request, _ := http.NewRequest(http.MethodPut, "http://"+server.Addr()+standin.PathFaults, bytes.NewBufferString(step.body))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != step.status {
			t.Fatalf("faults %s: status %d", step.body, response.StatusCode)
		}
	}
	if server.Platform().Faults().Store != standin.OutageRefuse {
		t.Fatal("the fault was not set")
	}
}
