package listing

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// sizes are the numbers of endpoints for which the growth of cost is measured.
var sizes = []int{1500, 3000, 6000, 12000}

const (
	endpointsPerService  = 45
	endpointsPerInstance = 15
)

func listOf(endpoints int) *metastore.Listing {
	l := &metastore.Listing{Version: 1, Upstreams: make(map[fleet.Service][]fleet.Upstream)}
	for i := range endpoints {
		service := fleet.Service(fmt.Sprint("service-", i/endpointsPerService))
		l.Upstreams[service] = append(l.Upstreams[service], fleet.Upstream{
			Endpoint: fleet.Endpoint(fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255)),
			Zone:     fleet.Zone(fmt.Sprint("zone-", i%5)), Slots: 4, State: fleet.UpstreamReady,
		})
	}
	for i := range endpoints / endpointsPerInstance {
		l.Instances = append(l.Instances, fleet.Instance{
			Ref: fleet.Ref{ID: fleet.InstanceID(fmt.Sprint("entry-", i)), Incarnation: 1796362262156}, Zone: fleet.Zone(fmt.Sprint("zone-", i%5)), Region: "region-1",
			EntryAddr: fmt.Sprintf("10.200.%d.%d:8080", i>>8, i&255), PeerAddr: fmt.Sprintf("10.200.%d.%d:8081", i>>8, i&255),
		})
	}
	return l
}

// next returns the next version of the list, in which one endpoint is draining.
func next(l *metastore.Listing) *metastore.Listing {
	out := changeMessage(l, l).apply(l)
	out.Version = l.Version + 1
	changed := append([]fleet.Upstream(nil), out.Upstreams["service-3"]...)
	changed[0].State = fleet.UpstreamDraining
	out.Upstreams["service-3"] = changed
	return out
}

func encodedBytes(b *testing.B, m Message) float64 {
	b.Helper()
	data, err := wire.Encode(wire.KindListing, m)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

// BenchmarkChange creates the message for one changed endpoint and reports the encoded size of
// each kind of message.
func BenchmarkChange(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			before := listOf(size)
			after := next(before)
			var m Message
			for b.Loop() {
				m = changeMessage(before, after)
			}
			b.ReportMetric(encodedBytes(b, m), "change-bytes")
			b.ReportMetric(encodedBytes(b, fullMessage(after)), "whole-bytes")
			b.ReportMetric(encodedBytes(b, Message{Kind: MessageCurrent, Version: 1 << 40}), "current-bytes")
		})
	}
}

// BenchmarkApply applies the message for one changed endpoint.
func BenchmarkApply(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			before := listOf(size)
			m := changeMessage(before, next(before))
			for b.Loop() {
				m.clean()
				_ = m.apply(before)
			}
		})
	}
}

// BenchmarkClean checks a full list, as a watcher does after each read.
func BenchmarkClean(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			l := listOf(size)
			for b.Loop() {
				_, _ = clean(l)
			}
		})
	}
}

// BenchmarkCurrent delivers the message that a watcher sends while nothing changes.
func BenchmarkCurrent(b *testing.B) {
	s := newSimulation(2, 1)
	data, err := wire.Encode(wire.KindListing, Message{Kind: MessageCurrent})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		e, err := wire.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		if err := s.managers[1].Deliver(s.now.Add(time.Second), ref(0), e); err != nil {
			b.Fatal(err)
		}
	}
}
