package config_test

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
)

// BenchmarkChangeInForce measures the time from the operator's call until a change is active on
// the last instance of a fleet in one process.
func BenchmarkChangeInForce(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, delay := range []time.Duration{0, 300 * time.Millisecond} {
		for _, size := range []int{12, 24, 44} {
			b.Run(fmt.Sprintf("instances=%d,store-delay=%v", size, delay), func(b *testing.B) { benchmarkActivation(b, size, delay) })
		}
	}
}

func benchmarkActivation(b *testing.B, size int, delay time.Duration) {
	store := standin.New(standin.Options{})
	nodes := startAll(b, size, store)
	if err := store.SetFaults(standin.Faults{Delay: delay}); err != nil {
		b.Fatal(err)
	}
	var elapsed []time.Duration
	for b.Loop() {
		start := time.Now()
		want := change(b, store, len(elapsed), fmt.Sprint(len(elapsed)))
		waitFor(b, "change active on every instance", allInstances(nodes, func(n *instance) bool { return n.revision() >= want }))
		elapsed = append(elapsed, time.Since(start))
	}
	slices.Sort(elapsed)
	b.ReportMetric(float64(elapsed[len(elapsed)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(elapsed[len(elapsed)*99/100].Microseconds())/1000, "p99-ms")
}

func startAll(b *testing.B, size int, store *standin.Platform) []*instance {
	net := &network{nodes: make(map[fleet.Ref]*instance)}
	var candidates []fleet.Instance
	for i := range size {
		candidates = append(candidates, describe(i))
	}
	var nodes []*instance
	for i := range size {
		nodes = append(nodes, net.start(b, i, candidates, store))
	}
	waitFor(b, "all on the roster", allInstances(nodes, func(n *instance) bool {
		s := n.members.Snapshot()
		return s.Joined && len(s.Roster.Instances) == size
	}))
	b.Cleanup(func() {
		for _, n := range nodes {
			n.stop()
		}
	})
	return nodes
}

// BenchmarkColdStart measures the time from the start of an instance until its first
// configuration, with the store available and during an outage.
func BenchmarkColdStart(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, outage := range []standin.Outage{standin.OutageNone, standin.OutageRefuse} {
		b.Run(fmt.Sprintf("outage=%q", outage), func(b *testing.B) {
			store := standin.New(standin.Options{})
			nodes := startAll(b, 12, store)
			want := change(b, store, 1, "one")
			waitFor(b, "change active on every instance", allInstances(nodes, func(n *instance) bool { return n.revision() == want }))
			if err := store.SetFaults(standin.Faults{Store: outage}); err != nil {
				b.Fatal(err)
			}
			var candidates []fleet.Instance
			for i := range 12 {
				candidates = append(candidates, describe(i))
			}
			net := nodes[0].net
			next := 100
			for b.Loop() {
				joiner := net.start(b, next, candidates, store)
				next++
				waitFor(b, "first configuration", func() bool { return joiner.revision() == want })
				b.StopTimer()
				joiner.stop()
				b.StartTimer()
			}
		})
	}
}
