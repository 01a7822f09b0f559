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

func start(t *testing.T) (*Client, *standin.Server) {
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

func want(t *testing.T, what string, err, target error) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Fatalf("%s: got %v, want %v", what, err, target)
	}
}

func TestStoreCalls(t *testing.T) {
	c, _ := start(t)
	ctx := context.Background()
	const key = "fleet/a b/head?x=1"
	_, err := c.Get(ctx, key)
	want(t, "absent key", err, metastore.ErrNotFound)
	version, err := c.CompareAndSwap(ctx, key, 0, []byte("one"), 0)
	if err != nil || version != 1 {
		t.Fatalf("first write: %d %v", version, err)
	}
	_, err = c.CompareAndSwap(ctx, key, 0, []byte("two"), 0)
	want(t, "second create", err, metastore.ErrConflict)
	value, err := c.Get(ctx, key)
	if err != nil || !bytes.Equal(value.Data, []byte("one")) || value.Version != 1 {
		t.Fatalf("read back: %+v %v", value, err)
	}
	_, err = c.CompareAndSwap(ctx, key, 1, make([]byte, metastore.MaxValueBytes+1), 0)
	want(t, "large value", err, metastore.ErrTooLarge)
	full := make([]byte, metastore.MaxValueBytes)
	if _, err = c.CompareAndSwap(ctx, key, 1, full, 0); err != nil {
		t.Fatalf("value at the bound: %v", err)
	}
	if value, err = c.Get(ctx, key); err != nil || len(value.Data) != metastore.MaxValueBytes {
		t.Fatalf("read value at the bound: %d bytes, %v", len(value.Data), err)
	}
}

func TestLeases(t *testing.T) {
	c, server := start(t)
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
	want(t, "lapsed lease", c.KeepAlive(ctx, lease), metastore.ErrLeaseLost)
	_, err = c.Get(ctx, "k")
	want(t, "key of a lapsed lease", err, metastore.ErrNotFound)
	_, err = c.CompareAndSwap(ctx, "k", 0, nil, lease)
	want(t, "write under a lapsed lease", err, metastore.ErrLeaseLost)
	_, err = c.GrantLease(ctx, 0)
	want(t, "lease of no time", err, metastore.ErrUnavailable)
}

func TestWatchSeesTheNextVersion(t *testing.T) {
	c, server := start(t)
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
	c, server := start(t)
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
	want(t, "cancelled watch", <-ended, context.Canceled)
}

func TestLostReplyIsAnUnknownResult(t *testing.T) {
	c, server := start(t)
	ctx := context.Background()
	server.Platform().UpdateFaults(func(f *standin.Faults) { f.LoseReplies = 1 })
	_, err := c.CompareAndSwap(ctx, "k", 0, []byte("taken"), 0)
	want(t, "lost reply", err, metastore.ErrUnknownResult)
	if errors.Is(err, metastore.ErrUnavailable) {
		t.Fatalf("a lost reply must not say that nothing was written: %v", err)
	}
	value, err := c.Get(ctx, "k")
	if err != nil || string(value.Data) != "taken" {
		t.Fatalf("the write took effect: %+v %v", value, err)
	}
	if n := server.Platform().Counts().ByOp[metastore.OpCompareAndSwap]; n != 1 {
		t.Fatalf("the write was sent %d times", n)
	}
}

func TestTimeoutOfAWriteIsAnUnknownResult(t *testing.T) {
	c, server := start(t)
	server.Platform().UpdateFaults(func(f *standin.Faults) { f.Delay = time.Hour })
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for server.Platform().Counts().Total == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := c.CompareAndSwap(ctx, "k", 0, nil, 0)
	want(t, "write without a reply in time", err, metastore.ErrUnknownResult)
}

func TestOutage(t *testing.T) {
	c, server := start(t)
	ctx := context.Background()
	for _, outage := range []standin.Outage{standin.OutageRefuse, standin.OutageDrop} {
		server.Platform().UpdateFaults(func(f *standin.Faults) { f.Store, f.List = outage, outage })
		_, err := c.Get(ctx, "k")
		want(t, "read", err, metastore.ErrUnavailable)
		_, err = c.Read(ctx)
		want(t, "list", err, metastore.ErrUnavailable)
		_, err = c.CompareAndSwap(ctx, "k", 0, nil, 0)
		if outage == standin.OutageRefuse {
			want(t, "refused write", err, metastore.ErrUnavailable)
		} else {
			want(t, "dropped write", err, metastore.ErrUnknownResult)
		}
	}
}

func TestNothingListening(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	c := New(addr, "test")
	_, err = c.CompareAndSwap(context.Background(), "k", 0, nil, 0)
	want(t, "write without a store", err, metastore.ErrUnavailable)
	if errors.Is(err, metastore.ErrUnknownResult) {
		t.Fatalf("no byte left, yet: %v", err)
	}
}

func TestForeignAnswerToAWrite(t *testing.T) {
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
	want(t, "write answered by something else", err, metastore.ErrUnknownResult)
	_, err = c.Get(context.Background(), "k")
	want(t, "read answered by something else", err, metastore.ErrUnavailable)
}

func TestList(t *testing.T) {
	c, server := start(t)
	server.Platform().SetListing(metastore.Listing{
		Upstreams: map[fleet.Service][]fleet.Upstream{"stock": {{Endpoint: "127.0.0.1:9", Slots: 4, State: fleet.UpstreamReady}}},
	})
	got, err := c.Read(context.Background())
	if err != nil || got.Version != 1 || got.Upstreams["stock"][0].Slots != 4 {
		t.Fatalf("list %+v %v", got, err)
	}
}

func TestListIsSentOnlyWhenItChanged(t *testing.T) {
	c, server := start(t)
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
		t.Fatalf("%d reads were counted", n)
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

func TestAdminSwitchesFaults(t *testing.T) {
	_, server := start(t)
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
		t.Fatal("the fault was not switched")
	}
}
