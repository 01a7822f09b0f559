package gateway

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/platform/standin"
)

// oddEntries are entries among those of the upstreams that another writer left, by store key. None names
// an endpoint to use.
func oddEntries(address string) map[string][]byte {
	with := func(field string) []byte {
		return fmt.Appendf(nil, `{"service":"orders","address":%q,"zone":"a","version":"v1","capacity":4,"state":"ready","warmup_left":"0ms","sequence":4,%s}`, address, field)
	}
	large := strings.Repeat("9", 1<<20-400)
	list := [][]byte{
		nil,
		{0},
		[]byte("\xff\xfe{}"),
		[]byte("null"),
		[]byte("[]"),
		[]byte(strings.Repeat("[", 1<<20)),
		with(`"x":` + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)),
		with(`"zone":` + strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000)),
		with(`"capacity":1e400`),
		with(`"capacity":99999999999999999999`),
		with(`"capacity":"4"`),
		with(`"sequence":1e400`),
		with(`"sequence":` + large),
		with(`"born":1e18`),
		with(`"born":` + large),
		with(`"warmup_left":"1e400s"`),
		with(`"address":"127.0.0.1:0"`),
		with(`"address":"127.0.0.1:65536"`),
		with(`"address":"127.0.0.1:99999"`),
		with(`"address":""`),
		with(`"address":"[::1%lo]:80"`),
		with(`"address":"255.255.255.255:80"`),
		with(`"address":"` + large + `"`),
		with(`"zone":"` + large + `"`),
		with(`"state":"` + large + `"`),
		with(`"state":"ready\u0000"`),
	}
	entries := make(map[string][]byte)
	for i, value := range list {
		entries[fmt.Sprintf("servers/i-odd-%02d", i)] = value
	}
	entries["servers/i odd\r\nX: y"] = with(`"x":1`)
	entries["servers/"+strings.Repeat("\xc3\xa9", 96)] = with(`"x":1`)
	return entries
}

// Guards against instances that end, or stop following the store, by an entry that another writer left
// among those of the upstreams. It names no endpoint to use; the others hold, and changes still apply.
func TestOddEntriesLeaveOthersInUse(t *testing.T) {
	fleet, instances, _ := startZone(t, 4)
	good := fleet.startUpstream("i-good", "orders")
	odd := &upstream{id: "i-odd"}
	entries := oddEntries(freeAddr(t, "tcp"))
	write := func() {
		for _, key := range slices.Sorted(maps.Keys(entries)) {
			fleet.store.Put(key, entries[key])
		}
	}
	write()
	late := fleet.startInstance("late", "a") // Its first full read has them.
	instances = append(instances, late)
	changes := 0
	checkAll := func(when string) {
		t.Helper()
		changes++
		added := fleet.startUpstream(fmt.Sprint("i-added-", changes), "orders")
		fleet.configureVersion(100+changes, "h.example", "orders")
		for _, in := range instances {
			eventually(t, when+": a change applies", func() bool { return in.hasEndpoint(added.id) })
			eventually(t, when+": the version is in force", func() bool { return int(in.gateway.control.snapshot.Load().Version) == 100+changes })
			if got := inControl(in, func(c *control) int { return len(c.registry.entries) }); got != 1+changes {
				t.Errorf("%s: %d upstreams, want %d", when, got, 1+changes)
			}
			for range 5 {
				if status, _, id := in.send(t, "h.example", "/x"); status != http.StatusOK {
					t.Errorf("%s: request %s: status %d", when, id, status)
				}
			}
		}
	}
	checkAll("watched and forwarded")
	const heartbeats = 5
	for range heartbeats {
		write()
	}
	checkAll("written again")
	for _, in := range instances {
		if strings.Contains(in.logs.String(), "over its bound") {
			t.Error("a reply with large entries counts as an outage of the store")
		}
	}
	fleet.store.Compact()
	fleet.store.SetFault(standin.Unavailable)
	time.Sleep(100 * time.Millisecond)
	fleet.store.SetFault(standin.NoFault)
	checkAll("after an outage")
	for key := range entries {
		fleet.store.Delete(key)
	}
	checkAll("removed")
	if odd.requests.Load() != 0 || good.requests.Load() == 0 {
		t.Errorf("%d requests at an odd entry's endpoint, %d at a good one", odd.requests.Load(), good.requests.Load())
	}
	for _, in := range instances {
		logs := in.logs.String()
		if got := strings.Count(logs, "invalid upstream registration"); got > 3*len(entries) {
			t.Errorf("%d log lines about %d invalid registrations", got, len(entries))
		}
		if got := in.gateway.logs.dropped.Load(); got != 0 {
			t.Errorf("%d log lines were dropped", got)
		}
		if invalid := inControl(in, func(c *control) int { return len(c.registry.invalid) }); invalid != 0 {
			t.Errorf("%d invalid registrations are remembered after their removal", invalid)
		}
	}
}
