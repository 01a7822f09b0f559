package operate

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
)

func service(name string, floor int) rollout.ServiceTemplate {
	return rollout.ServiceTemplate{
		Name: fleet.Service(name), FloorSlots: floor, Deadline: time.Second, RetryShare: 0.1,
		FalseEjectionsPerEndpointMonth: 0.01, RequestsPerSecond: 10, MaxBodyBytes: 1 << 16,
		Routes: []rollout.Route{{Method: "GET", PathPrefix: "/" + name, Idempotent: true}},
	}
}

func put(templates ...rollout.ServiceTemplate) rollout.Change {
	return rollout.Change{Services: templates}
}

func apply(t *testing.T, store metastore.Store, base *rollout.Config, change rollout.Change, id string) Accepted {
	t.Helper()
	accepted, err := Apply(t.Context(), store, "f", base, change, id)
	if err != nil {
		t.Fatalf("change %q: %v", id, err)
	}
	return accepted
}

func load(t *testing.T, store metastore.Store) *rollout.Config {
	t.Helper()
	c, err := Load(t.Context(), store, "f")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestApplyAndLoad(t *testing.T) {
	store := standin.New(standin.Options{})
	if load(t, store) != nil {
		t.Fatal("empty store returned a configuration")
	}
	apply(t, store, nil, put(service("s", 1)), "one")
	accepted := apply(t, store, nil, put(service("s", 2)), "two")
	if c := load(t, store); c.Revision != 2 || accepted.Revision != 2 || len(rollout.Diff(c, accepted.Config)) != 0 {
		t.Fatalf("revision %d, accepted %d", c.Revision, accepted.Revision)
	}
	if again := apply(t, store, nil, put(service("s", 2)), "two"); !again.AlreadyAccepted || again.Revision != 2 {
		t.Fatalf("the same change was accepted again: %+v", again)
	}
}

func TestLostReplyIsAcceptedOnce(t *testing.T) {
	store := standin.New(standin.Options{Faults: standin.Faults{LoseReplies: 1}})
	accepted := apply(t, store, nil, put(service("s", 1)), "one")
	if c := load(t, store); accepted.Revision != 1 || c.Revision != 1 {
		t.Fatalf("accepted as %d, stored %d", accepted.Revision, c.Revision)
	}
}

func TestConflictReportsOtherOperatorsChange(t *testing.T) {
	store := standin.New(standin.Options{})
	apply(t, store, nil, put(service("s", 1), service("u", 1)), "one")
	base := load(t, store)
	apply(t, store, base, put(service("s", 5)), "theirs")
	_, err := Apply(t.Context(), store, "f", base, put(service("s", 9)), "mine")
	var conflict *ConflictError
	if !errors.As(err, &conflict) || !errors.Is(err, ErrConflict) {
		t.Fatalf("error %v", err)
	}
	if len(conflict.Differences) != 1 || conflict.Differences[0].After != "5" || conflict.Current != 2 {
		t.Fatalf("conflict %+v", conflict)
	}
	if got := apply(t, store, base, put(service("u", 7)), "other"); got.Revision != 3 || got.Config.Services["s"].FloorSlots != 5 {
		t.Fatalf("change of an unrelated template: %+v", got)
	}
}

// TestConcurrentOperatorsEachApplyOnce has each operator change a service of its own while the
// store drops replies. Every change must be in the final configuration, accepted exactly once.
func TestConcurrentOperatorsEachApplyOnce(t *testing.T) {
	store := standin.New(standin.Options{})
	apply(t, store, nil, put(service("s", 1)), "first")
	store.UpdateFaults(func(f *standin.Faults) { f.LoseReplies = 4 })
	var wg sync.WaitGroup
	errs := make([]error, 8)
	for i := range errs {
		wg.Go(func() {
			name := fmt.Sprintf("s%d", i)
			_, errs[i] = Apply(context.Background(), store, "f", nil, put(service(name, i)), name)
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
	if c := load(t, store); c.Revision != 9 || len(c.Services) != 9 {
		t.Fatalf("revision %d, %d services", c.Revision, len(c.Services))
	}
}

func TestInvalidAndEmptyChangesAreRejected(t *testing.T) {
	store := standin.New(standin.Options{})
	if _, err := Apply(t.Context(), store, "f", nil, put(service("s", -1)), "bad"); !errors.Is(err, rollout.ErrInvalid) {
		t.Fatalf("error %v", err)
	}
	if _, err := Apply(t.Context(), store, "f", nil, rollout.Change{}, "empty"); !errors.Is(err, ErrNoChange) {
		t.Fatalf("error %v", err)
	}
	if load(t, store) != nil {
		t.Fatal("a rejected change was written")
	}
}

// TestExpiryOfRetiredShardsKeepsConfig makes changes that replace the snapshot more than once, expires
// the leases of the retired shards, and checks that the configuration can still be loaded.
func TestExpiryOfRetiredShardsKeepsConfig(t *testing.T) {
	store := standin.New(standin.Options{})
	large := service("large", 1)
	for i := range 5 {
		large.Routes[0].PathPrefix = "/" + strings.Repeat("x", rollout.MaxInlineBytes) + fmt.Sprint(i)
		apply(t, store, nil, put(large, service("s", i)), fmt.Sprint(i))
	}
	before := load(t, store)
	store.ExpireAllLeases()
	if after := load(t, store); after.Revision != 5 || len(rollout.Diff(before, after)) != 0 {
		t.Fatalf("revision %d after the leases of retired shards expired", after.Revision)
	}
}
