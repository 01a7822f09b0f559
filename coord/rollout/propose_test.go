package rollout

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

func TestHeadStaysWithinBoundAndAssembles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 1)
		for range rapid.IntRange(1, 80).Draw(t, "changes") {
			change := Change{Services: []ServiceTemplate{service("s", 1)}}
			if rapid.IntRange(0, 19).Draw(t, "bulk") == 0 {
				change.Services = append(change.Services, bulk("bulk", 1))
			}
			for i := range rapid.IntRange(1, 10).Draw(t, "accounts") {
				change.Accounts = append(change.Accounts, account(fmt.Sprintf("a%d", i), "s"))
			}
			sim.accept(change)
		}
		data, err := EncodeHead(sim.head)
		if err != nil {
			t.Fatalf("revision %d: %v", sim.head.Revision, err)
		}
		head, err := DecodeHead(data)
		if err != nil {
			t.Fatal(err)
		}
		c, err := Assemble(head, func(d Digest) []byte { return sim.shards[d] })
		if err != nil {
			t.Fatal(err)
		}
		if d := Diff(sim.history[head.Revision][0], c); len(d) > 0 {
			t.Fatalf("assembled configuration differs: %v", d[0])
		}
	})
}

func TestChangeIDIsAcceptedOnce(t *testing.T) {
	change := Change{ID: "one", Services: []ServiceTemplate{service("s", 1)}}
	head, _, err := Propose(Head{Fleet: "f"}, nil, change)
	if err != nil || !head.Has("one") {
		t.Fatalf("head %+v, error %v", head, err)
	}
	base := (*Config)(nil).With(change, 1)
	if _, _, err := Propose(head, base, change); !errors.Is(err, ErrAlreadyAccepted) {
		t.Fatalf("error %v", err)
	}
}

func TestValidateReportsEveryInvalidField(t *testing.T) {
	bad := service("s", -1)
	bad.Deadline = 0
	bad.RetryShare = 2
	bad.Routes[0].PathPrefix = "no-slash"
	c := (*Config)(nil).With(Change{Services: []ServiceTemplate{bad}, Accounts: []AccountTemplate{account("a", "t")}}, 1)
	if invalid := c.Validate(); len(invalid) != 5 {
		t.Fatalf("%d invalid fields: %v", len(invalid), invalid)
	}
}

func TestDiffReportsFieldsAdditionsAndRemovals(t *testing.T) {
	a := (*Config)(nil).With(Change{Services: []ServiceTemplate{service("s", 1), service("old", 1)}}, 1)
	b := a.With(Change{Services: []ServiceTemplate{service("s", 2)}, RemoveServices: []fleet.Service{"old"}, Accounts: []AccountTemplate{account("a", "s")}}, 2)
	d := Diff(a, b)
	if len(d) != 3 || d[2].Field != "floor_slots" || d[2].Before != "1" || d[2].After != "2" {
		t.Fatalf("differences %v", d)
	}
	if len(Diff(b, b)) != 0 || len(Diff(nil, nil)) != 0 {
		t.Fatal("a configuration differs from itself")
	}
}

func TestDecodeHeadRejectsInconsistentHeads(t *testing.T) {
	for _, h := range []Head{
		{Revision: 1, SnapshotRevision: 2, Shards: []Digest{{}}},
		{Revision: 1, SnapshotRevision: 1},
		{Revision: 1, Shards: []Digest{{}}},
		{Revision: 1, Changes: []Change{{Revision: 1}, {Revision: 1}}},
		{Revision: 3, Changes: []Change{{Revision: 1}, {Revision: 3}}},
	} {
		data, err := EncodeHead(h)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeHead(data); !errors.Is(err, ErrMalformed) {
			t.Errorf("%+v: error %v", h, err)
		}
	}
	if _, err := DecodeHead([]byte("x")); !errors.Is(err, ErrMalformed) {
		t.Errorf("error %v", err)
	}
	if _, err := DecodeHead(make([]byte, MaxValueBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v", err)
	}
}
