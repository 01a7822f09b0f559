package main

import (
	"context"
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/examples"
	"github.com/damaskcove/damaskcove/internal/load"
	"github.com/damaskcove/damaskcove/internal/local"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
	"github.com/damaskcove/damaskcove/internal/operator/api"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// startFleet starts a fleet of the Qalqan example with its endpoints, but without a configuration.
func startFleet(t *testing.T, instances int) *local.Fleet {
	t.Helper()
	f, err := local.Start(local.Options{Name: string(examples.Qalqan), Region: examples.QalqanRegion, Seed: 1, StopTimeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	set, err := examples.Templates(examples.Qalqan)
	if err != nil {
		t.Fatal(err)
	}
	zone := func(i int) fleet.Zone { return fleet.Zone(examples.QalqanZones[i%len(examples.QalqanZones)]) }
	for service, size := range set.Sizes {
		for i := range size.Endpoints {
			_, err := f.Host.Add(upstream.Spec{
				Service: service, Zone: zone(i), Slots: size.SlotsPerEndpoint, Median: 2 * time.Millisecond, NonIdempotentPaths: []string{"/cuts", "/fittings"},
			})
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	for i := range instances {
		if _, err := f.Add(zone(i)); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// TestOperatorTasksOnRunningFleet runs apply --wait, status, explain and load against a running fleet.
func TestOperatorTasksOnRunningFleet(t *testing.T) {
	t.Setenv(tokenVariable, local.OperatorToken)
	const instances = 4
	f := startFleet(t, instances)
	dir := t.TempDir()
	data, err := examples.Files.ReadFile("qalqan/templates.toml")
	if err != nil {
		t.Fatal(err)
	}
	file := writeFile(t, filepath.Join(dir, "templates.toml"), string(data))
	operator := f.Instances()[0].Node().Status().Self.OperatorAddr
	apply := func() commandResult {
		return runCommand(context.Background(), "apply", dir, "--platform", f.PlatformAddr(), "--timeout", "1m", "--wait", "--operator", operator)
	}
	apply().expect(t, exitDone, "accepted as revision 1", "active on all")
	ready, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := f.WaitReady(ready, 1); err != nil {
		t.Fatal(err)
	}

	writeFile(t, file, strings.Replace(string(data), "floor_slots = 27", "floor_slots = 24", 1))
	f.Platform.UpdateFaults(func(x *standin.Faults) { x.LoseReplies = 1 })
	apply().expect(t, exitDone, "floor_slots: 27 -> 24", "accepted as revision 2", "active on all 4 live instances")
	for _, in := range f.Instances() {
		if got := in.Node().Status().Revision; got != 2 {
			t.Errorf("instance %s is at revision %d", in.ID, got)
		}
	}

	var status api.Status
	got := runCommand(context.Background(), "status", "--operator", operator, "--report", "json")
	got.expect(t, exitDone)
	if err := json.Unmarshal([]byte(got.stdout), &status); err != nil || len(status.Members) != instances {
		t.Fatalf("%d members, %v", len(status.Members), err)
	}
	runCommand(context.Background(), "explain", "/fabrics/linen", "--account", "almaty-abay", "--operator", operator).expect(t, exitDone, "1000 answered", "fabrics")
	runCommand(context.Background(), "explain", "/cuts", "--account", "fitters-almaty", "--method", "POST", "--operator", operator).expect(t, exitDone, "1003")

	entries := strings.Join(f.EntryAddrs(), ",")
	for _, line := range [][]string{
		{"--service", "fabrics", "--path", "/fabrics/linen", "--account", "almaty-abay,almaty-mega"},
		{"--service", "cuts", "--path", "/cuts", "--account", "almaty-abay", "--method", "POST", "--keyed", "--body", "200"},
	} {
		args := append([]string{"load", "--entry", entries, "--rate", "50", "--duration", "500ms", "--warmup", "0s", "--report", "json"}, line...)
		got := runCommand(context.Background(), args...)
		got.expect(t, exitDone)
		var report load.Report
		if err := json.Unmarshal([]byte(got.stdout), &report); err != nil || report.Answered == 0 || report.Mixed != 0 || report.Unknown != 0 {
			t.Errorf("%v: %s %v", line, got.stdout, err)
		}
	}
	if doubled := f.Host.Recorder().Summary().Duplicated; len(doubled) != 0 {
		t.Errorf("doubled orders %v", doubled)
	}
}
