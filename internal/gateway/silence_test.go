package gateway

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/platform"
	"github.com/damaskcove/damaskcove/platform/standin"
)

// startWithDoor starts an instance of zone a with its own door to the store.
func (fleet *testFleet) startWithDoor(id string) (*instance, *standin.Door) {
	door, err := fleet.store.Open("127.0.0.1:0")
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.t.Cleanup(door.Close)
	path := fleet.settingsFile(id, "a")
	text, err := os.ReadFile(path)
	if err != nil {
		fleet.t.Fatal(err)
	}
	text = []byte(strings.Replace(string(text), fleet.store.Addr(), door.Addr(), 1))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		fleet.t.Fatal(err)
	}
	return fleet.startWith(path, id), door
}

// Guards against a change that comes late to instances that the store serves: it falls silent for all that follow it, and the
// next in line waited until they had given up their watches.
func TestChangeAsFollowersAreTurnedAwayIsAppliedInTime(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t)
	fleet.configure("h.example", "orders")
	var instances []*instance
	var doors []*standin.Door
	for k := range 5 {
		in, door := fleet.startWithDoor(fmt.Sprintf("edge-%d", k))
		instances, doors = append(instances, in), append(doors, door)
	}
	eventually(t, "two instances follow the store", func() bool {
		got := followers(instances)
		return got[0] && got[1] && !slices.Contains(got[2:], true)
	})
	within := instances[0].gateway.current().Promises.ApplyWithin
	version := 10
	for _, fault := range []standin.Fault{standin.Silent, standin.Unresponsive} {
		for _, after := range []time.Duration{50 * time.Millisecond, 450 * time.Millisecond, 900 * time.Millisecond} {
			fleet.configureVersion(version, "h.example", "orders")
			for _, in := range instances {
				eventually(t, "the version is in force", func() bool { return in.gateway.control.snapshot.Load().Version == platform.ConfigVersion(version) })
			}
			time.Sleep(after)
			for _, door := range doors[:2] {
				door.Set(standin.State{Fault: fault})
			}
			version++
			fleet.configureVersion(version, "h.example", "orders")
			acknowledged := time.Now()
			for _, in := range instances[2:] {
				eventually(t, "the version is in force", func() bool { return in.gateway.control.snapshot.Load().Version == platform.ConfigVersion(version) })
			}
			if took := time.Since(acknowledged); took > within {
				t.Errorf("fault %d, %s after a change: in force after %s, want at most %s", fault, after, took, within)
			}
			for _, door := range doors[:2] {
				door.Set(standin.State{})
			}
			version++
			eventually(t, "the first two follow the store again", func() bool { return slices.Equal(followers(instances), []bool{true, true, false, false, false}) })
		}
	}
}
