package local

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// startFleet runs a fleet with a lookup and an order service; its instances are spread over three zones.
func startFleet(t *testing.T, instances int) *Fleet {
	t.Helper()
	o := Options{
		Name: "test", Region: "r", Zones: []fleet.Zone{"z1", "z2", "z3"}, Seed: 1,
		DiscoveryMaxAge: time.Second, StopTimeout: 20 * time.Second,
	}
	if os.Getenv("DAMASKCOVE_TEST_LOG") != "" {
		o.Log = slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	f, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	for i := range 9 {
		addEndpoint(t, f, "stock", i)
		addEndpoint(t, f, "drums", i)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	accepted, err := f.Apply(ctx, testChange(), "first")
	if err != nil {
		t.Fatal(err)
	}
	for i := range instances {
		if _, err := f.Add(o.Zones[i%len(o.Zones)]); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.WaitReady(ctx, accepted.Revision); err != nil {
		t.Fatal(err)
	}
	return f
}

func addEndpoint(t *testing.T, f *Fleet, service fleet.Service, i int) {
	t.Helper()
	_, err := f.Host.Add(upstream.Spec{
		Service: service, Zone: f.opts.Zones[i%len(f.opts.Zones)], Slots: 4,
		Median: 2 * time.Millisecond, NonIdempotentPaths: []string{"/drums"},
	})
	if err != nil {
		t.Fatal(err)
	}
}

func testChange() rollout.Change {
	services := []rollout.ServiceTemplate{
		{
			Name: "stock", FloorSlots: 12, Deadline: 2 * time.Second, RetryShare: 0.1,
			FalseEjectionsPerEndpointMonth: 0.01, RequestsPerSecond: 100, MaxBodyBytes: 1 << 16,
			Routes: []rollout.Route{{Method: "GET", PathPrefix: "/stock", Idempotent: true}},
		},
		{
			Name: "drums", FloorSlots: 12, Deadline: 3 * time.Second, RetryShare: 0.1,
			FalseEjectionsPerEndpointMonth: 0.01, RequestsPerSecond: 20, MaxBodyBytes: 1 << 16,
			Routes: []rollout.Route{{Method: "POST", PathPrefix: "/drums"}},
		},
	}
	accounts := []rollout.AccountTemplate{{Name: "brewer", Services: []fleet.Service{"stock", "drums"}, Weight: 1}}
	return rollout.Change{Services: services, Accounts: accounts}
}

func newCaller(t *testing.T, f *Fleet) *client.Client {
	t.Helper()
	return newCountedCaller(t, f, NewCutOffCounter(), "z1")
}

// newCountedCaller returns a caller whose cut-off requests are counted by counter.
func newCountedCaller(t *testing.T, f *Fleet, counter *CutOffCounter, zone fleet.Zone) *client.Client {
	t.Helper()
	shared := &http.Client{
		Transport:     counter.WrapTransport(client.NewHTTP().Transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	c, err := client.New(client.Options{Entries: f.EntryAddrs(), Account: "brewer", Zone: zone, HTTP: shared})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// sendRequest sends a request under an ID and checks that a response with status 200 carries the same ID.
func sendRequest(ctx context.Context, c *client.Client, r client.Request, id string) (client.Answer, error) {
	r.Header = map[string][]string{upstream.HeaderRequestID: {id}}
	a, err := c.Do(ctx, r)
	if err != nil {
		return a, err
	}
	var body upstream.Answer
	if a.Status == 200 {
		if err := json.Unmarshal(a.Body, &body); err != nil {
			return a, fmt.Errorf("response to %s: %w", id, err)
		}
		if body.RequestID != id {
			return a, fmt.Errorf("response to %s arrived for %s", body.RequestID, id)
		}
	}
	return a, nil
}

// testTimeout bounds every wait of these tests. It is no performance target.
const testTimeout = 2 * time.Minute

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func TestLookupsAndOrdersAreServedEndToEnd(t *testing.T) {
	f := startFleet(t, 3)
	c := newCaller(t, f)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for i := range 20 {
		id := fmt.Sprintf("lookup-%d", i)
		a, err := sendRequest(ctx, c, client.Request{Service: "stock", Method: "GET", URI: "/stock/1", Idempotent: true}, id)
		if err != nil || a.Status != 200 {
			t.Fatalf("%s: status %d code %d: %v", id, a.Status, a.Code, err)
		}
		id = fmt.Sprintf("order-%d", i)
		a, err = sendRequest(ctx, c, client.Request{Service: "drums", Method: "POST", URI: "/drums", Body: []byte(id)}, id)
		if err != nil || a.Status != 200 || a.Execution != client.ExecutionRan {
			t.Fatalf("%s: status %d code %d execution %s body %q: %v", id, a.Status, a.Code, a.Execution, a.Body, err)
		}
		if starts := f.Host.Recorder().Starts(id); starts != 1 {
			t.Fatalf("%s started %d times, want once", id, starts)
		}
	}
}
