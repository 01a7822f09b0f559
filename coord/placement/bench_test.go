package placement

import (
	"fmt"
	"testing"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

func BenchmarkEntries(b *testing.B) {
	m := NewMap(instancesIn(810, 5))
	b.ReportAllocs()
	for b.Loop() {
		m.Entries("service", "account", "z1", 12, 3)
	}
}

func BenchmarkCarriersCached(b *testing.B) {
	m := NewMap(instancesIn(810, 5))
	b.ReportAllocs()
	for b.Loop() {
		m.Carriers("service", 12)
	}
}

// BenchmarkRemap builds a map and computes the carriers and the evaluator of every service,
// as after a membership change.
func BenchmarkRemap(b *testing.B) {
	for _, n := range []int{44, 202, 405, 810} {
		all := instancesIn(n, 5)
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m := NewMap(all)
				for s := range 270 {
					name := fleet.Service(fmt.Sprintf("service-%d", s))
					m.Carriers(name, 12)
					m.Evaluator(name)
				}
			}
		})
	}
}
