package standin

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/metastore"
)

// fakeClock is a manually advanced clock.
type fakeClock struct{ now time.Time }

func (c *fakeClock) time() time.Time { return c.now }

func newPlatform() (*Platform, *fakeClock) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	return New(Options{Now: clock.time}), clock
}

// storeModel is the expected state of one key.
type storeModel struct {
	present bool
	data    byte
	version metastore.Version
	highest metastore.Version
	lease   metastore.LeaseID
}

func (m *storeModel) write(data byte, version metastore.Version, lease metastore.LeaseID) {
	*m = storeModel{present: true, data: data, version: version, highest: version, lease: lease}
}

func (m *storeModel) remove() {
	m.present = false
	m.version = 0
}

// TestStoreAgainstModel checks compare-and-swap, lost responses, leases and their expiry on one key.
func TestStoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p, clock := newPlatform()
		ctx := context.Background()
		model := &storeModel{}
		leases := map[metastore.LeaseID]time.Time{0: {}}
		const ttl = 5 * time.Second
		expire := func() {
			for id, until := range leases {
				if id != 0 && !until.After(clock.now) {
					delete(leases, id)
					if model.present && model.lease == id {
						model.remove()
					}
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"swap": func(rt *rapid.T) {
				expected := metastore.Version(rapid.IntRange(0, int(model.highest)+1).Draw(rt, "expected"))
				lease := metastore.LeaseID(rapid.IntRange(0, 3).Draw(rt, "lease"))
				data := rapid.Byte().Draw(rt, "data")
				lost := rapid.Bool().Draw(rt, "lost")
				if lost {
					p.UpdateFaults(func(f *Faults) { f.LoseReplies = 1 })
				}
				version, err := p.CompareAndSwap(ctx, "k", expected, []byte{data}, lease)
				p.UpdateFaults(func(f *Faults) { f.LoseReplies = 0 })
				_, active := leases[lease]
				switch {
				case !active:
					if !errors.Is(err, metastore.ErrLeaseLost) {
						rt.Fatalf("write under expired lease %d: %v", lease, err)
					}
				case expected != model.version:
					if !errors.Is(err, metastore.ErrConflict) {
						rt.Fatalf("version %d, expected %d: %v", model.version, expected, err)
					}
				default:
					if lost != errors.Is(err, metastore.ErrUnknownResult) || (!lost && err != nil) {
						rt.Fatalf("lost %v: %v", lost, err)
					}
					if version <= model.highest {
						rt.Fatalf("version %d after %d", version, model.highest)
					}
					model.write(data, version, lease)
				}
			},
			"grant": func(*rapid.T) {
				id, err := p.GrantLease(ctx, ttl)
				if err != nil {
					rt.Fatal(err)
				}
				leases[id] = clock.now.Add(ttl)
			},
			"keepAlive": func(rt *rapid.T) {
				id := metastore.LeaseID(rapid.IntRange(1, 3).Draw(rt, "lease"))
				err := p.KeepAlive(ctx, id)
				if _, active := leases[id]; !active {
					if !errors.Is(err, metastore.ErrLeaseLost) {
						rt.Fatalf("keep-alive of expired lease %d: %v", id, err)
					}
					return
				}
				if err != nil {
					rt.Fatal(err)
				}
				leases[id] = clock.now.Add(ttl)
			},
			"lapse": func(rt *rapid.T) {
				id := metastore.LeaseID(rapid.IntRange(1, 3).Draw(rt, "lease"))
				p.ExpireLease(id)
				if _, active := leases[id]; active {
					leases[id] = clock.now
					expire()
				}
			},
			"wait": func(rt *rapid.T) {
				clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 3).Draw(rt, "seconds")) * time.Second)
				expire()
			},
			"": func(rt *rapid.T) {
				value, err := p.Get(ctx, "k")
				if !model.present {
					if !errors.Is(err, metastore.ErrNotFound) {
						rt.Fatalf("absent key: %v %v", value, err)
					}
					return
				}
				if err != nil || value.Version != model.version || value.Data[0] != model.data {
					rt.Fatalf("got %v %v, want %+v", value, err, model)
				}
			},
		})
	})
}

func TestOutageWritesNothingAndEndsWatches(t *testing.T) {
	p, _ := newPlatform()
	ctx := context.Background()
	ended := make(chan error, 1)
	go func() {
		_, err := p.Watch(ctx, "k", 0)
		ended <- err
	}()
	for p.Counts().ByOp[metastore.OpWatch] == 0 {
		time.Sleep(time.Millisecond)
	}
	p.UpdateFaults(func(f *Faults) { f.Store = OutageRefuse })
	if err := <-ended; !errors.Is(err, metastore.ErrUnavailable) {
		t.Fatalf("watch in an outage: %v", err)
	}
	if _, err := p.CompareAndSwap(ctx, "k", 0, nil, 0); !errors.Is(err, metastore.ErrUnavailable) {
		t.Fatalf("write in an outage: %v", err)
	}
	p.UpdateFaults(func(f *Faults) { f.Store = OutageDrop })
	if _, err := p.CompareAndSwap(ctx, "k", 0, nil, 0); !errors.Is(err, metastore.ErrUnknownResult) {
		t.Fatalf("dropped write: %v", err)
	}
	p.UpdateFaults(func(f *Faults) { f.Store = OutageNone })
	if _, err := p.Get(ctx, "k"); !errors.Is(err, metastore.ErrNotFound) {
		t.Fatalf("after the outage: %v", err)
	}
}

func TestValueSizeLimit(t *testing.T) {
	p, _ := newPlatform()
	ctx := context.Background()
	if _, err := p.CompareAndSwap(ctx, "k", 0, make([]byte, metastore.MaxValueBytes), 0); err != nil {
		t.Fatalf("value of the largest size: %v", err)
	}
	if _, err := p.CompareAndSwap(ctx, "k", 1, make([]byte, metastore.MaxValueBytes+1), 0); !errors.Is(err, metastore.ErrTooLarge) {
		t.Fatalf("value over the largest size: %v", err)
	}
}

func TestListLag(t *testing.T) {
	p, clock := newPlatform()
	p.UpdateFaults(func(f *Faults) { f.ListLag = 3 * time.Second })
	clock.now = clock.now.Add(time.Minute)
	listing := metastore.Listing{Upstreams: map[fleet.Service][]fleet.Upstream{
		"stock": {{Endpoint: "127.0.0.1:1", State: fleet.UpstreamReady}},
	}}
	p.SetListing(listing)
	clock.now = clock.now.Add(2 * time.Second)
	if got := readList(t, p); got.Version != 0 {
		t.Fatalf("version %d before the lag is over", got.Version)
	}
	clock.now = clock.now.Add(time.Second)
	if got := readList(t, p); got.Version != 1 || len(got.Upstreams["stock"]) != 1 {
		t.Fatalf("after the lag: %+v", got)
	}
	p.SetUpstreamState("127.0.0.1:1", fleet.UpstreamDraining)
	clock.now = clock.now.Add(3 * time.Second)
	if got := readList(t, p); got.Version != 2 || got.Upstreams["stock"][0].State != fleet.UpstreamDraining {
		t.Fatalf("after the state changed: %+v", got)
	}
}

func readList(t *testing.T, p *Platform) metastore.Listing {
	t.Helper()
	l, err := p.Read(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestCountsAndRates(t *testing.T) {
	p, clock := newPlatform()
	ctx := WithClient(context.Background(), "entry-1")
	for range 20 {
		_, _ = p.Get(ctx, "k")
	}
	_, _ = p.CompareAndSwap(ctx, "k", 0, nil, 0)
	got := p.Counts()
	if got.Total != 21 || got.Reads != 20 || got.Writes != 1 || got.ByClient["entry-1"] != 21 {
		t.Fatalf("counts %+v", got)
	}
	if got.ReadRate != 2 || got.WriteRate != 0.1 {
		t.Fatalf("rates %v and %v", got.ReadRate, got.WriteRate)
	}
	clock.now = clock.now.Add(rateWindow)
	if got := p.Counts(); got.ReadRate != 0 || got.Total != 21 {
		t.Fatalf("after the window: %+v", got)
	}
}

func TestInvalidFaultsAreRejected(t *testing.T) {
	p, _ := newPlatform()
	for _, f := range []Faults{{Store: "half"}, {Delay: -1}, {LoseReplies: -1}, {ListLag: -1}} {
		if err := p.SetFaults(f); err == nil {
			t.Errorf("invalid faults %+v were accepted", f)
		}
	}
}
