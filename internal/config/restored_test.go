package config_test

import (
	"fmt"
	"testing"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
	"github.com/damaskcove/damaskcove/internal/storekeys"
)

// Guards against a restored store that takes changes back that were in force, and against later changes that are
// ignored; and against an instance that joins by an earlier roster.
func TestFleetOutlivesARestoredStore(t *testing.T) {
	store := standin.New(standin.Options{})
	net := &network{nodes: make(map[fleet.Ref]*instance)}
	var candidates []fleet.Instance
	for i := range 6 {
		candidates = append(candidates, describe(i))
	}
	var nodes []*instance
	start := func(i int) { nodes = append(nodes, net.start(t, i, candidates, store)) }
	onRoster := func() bool {
		return allInstances(nodes, func(n *instance) bool {
			s := n.members.Snapshot()
			return s.Joined && len(s.Roster.Instances) == len(nodes)
		})()
	}
	inForce := func(floor int, revision fleet.Revision) func() bool {
		return allInstances(nodes, func(n *instance) bool {
			return n.revision() >= revision && n.config.Current().Services["s"].FloorSlots == floor
		})
	}
	for i := range 5 {
		start(i)
	}
	waitFor(t, "all on the roster", onRoster)
	first := change(t, store, 1, "first")
	waitFor(t, "the first change active", inForce(1, first))
	saved := store.Save()
	start(5)
	waitFor(t, "the sixth on the roster", onRoster)
	var lost fleet.Revision
	for k := range 3 {
		lost = change(t, store, 2+k, fmt.Sprint("lost-", k))
	}
	waitFor(t, "the lost changes active", inForce(4, lost))
	store.Restore(saved)
	waitFor(t, "the store has the lost changes again", func() bool { return storedRevision(t, store) >= lost })
	next := change(t, store, 9, "next")
	waitFor(t, "the change after the restoration active", inForce(9, next))
	start(6)
	waitFor(t, "the seventh on the roster", onRoster)
	for _, n := range nodes {
		n.stop()
	}
}

func storedRevision(t *testing.T, store *standin.Platform) fleet.Revision {
	t.Helper()
	value, err := store.Get(t.Context(), storekeys.Keys{Fleet: "f"}.Head())
	if err != nil {
		t.Fatal(err)
	}
	head, err := rollout.DecodeHead(value.Data)
	if err != nil {
		t.Fatal(err)
	}
	return head.Revision
}
