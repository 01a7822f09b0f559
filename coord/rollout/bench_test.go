package rollout

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// size is the size of a configuration.
type size struct{ services, routes, accounts int }

var sizes = []size{{3, 30, 900}, {68, 725, 19750}, {135, 1450, 39500}, {270, 2900, 79000}}

func (s size) String() string {
	return fmt.Sprintf("services=%d,accounts=%d", s.services, s.accounts)
}

// fullChange returns one change that configures everything; each account may call three services.
func (s size) fullChange() Change {
	change := Change{ID: "everything"}
	for i := range s.services {
		t := service(fmt.Sprintf("service-%d", i), 1)
		t.Routes = nil
		for r := range s.routes / s.services {
			t.Routes = append(t.Routes, Route{Method: "GET", PathPrefix: fmt.Sprintf("/service-%d/route-%d", i, r), Idempotent: true})
		}
		change.Services = append(change.Services, t)
	}
	for i := range s.accounts {
		var services []fleet.Service
		for k := range 3 {
			services = append(services, fleet.Service(fmt.Sprintf("service-%d", (i+k)%s.services)))
		}
		change.Accounts = append(change.Accounts, account(fmt.Sprintf("client-account-%d", i), services...))
	}
	return change
}

func propose(b *testing.B, h Head, c *Config, change Change) (Head, map[Digest][]byte) {
	next, shards, err := Propose(h, c, change)
	if err != nil {
		b.Fatal(err)
	}
	byDigest := make(map[Digest][]byte, len(shards))
	for _, s := range shards {
		byDigest[s.Digest] = s.Data
	}
	return next, byDigest
}

// newConfiguredMachine returns a machine with a configuration of a size, and its head.
func newConfiguredMachine(b *testing.B, s size) (*Machine, Head) {
	head, shards := propose(b, Head{Fleet: "f"}, nil, s.fullChange())
	m := NewMachine(MachineConfig{Fleet: "f"}, fleet.Ref{ID: "m", Incarnation: 1})
	m.SetPeers([]fleet.Ref{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}, {ID: "f"}, {ID: "g"}, {ID: "h"}}, true)
	now := time.Unix(1000, 0)
	var run func([]Effect)
	run = func(effects []Effect) {
		for _, effect := range effects {
			if e, ok := effect.(ReadShard); ok {
				run(m.ShardRead(now, e.Digest, shards[e.Digest], nil))
			}
		}
	}
	run(m.HeadRead(now, head, nil))
	if m.Current() == nil {
		b.Fatal("no configuration")
	}
	return m, head
}

// BenchmarkColdStart assembles a configuration from its shards.
func BenchmarkColdStart(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			head, shards := propose(b, Head{Fleet: "f"}, nil, s.fullChange())
			bytes := 0
			for _, data := range shards {
				bytes += len(data)
			}
			for b.Loop() {
				if _, err := Assemble(head, func(d Digest) []byte { return shards[d] }); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "snapshot-bytes")
			b.ReportMetric(float64(len(shards)), "shards")
		})
	}
}

// BenchmarkState reports the heap memory of a machine with its configuration and shards.
func BenchmarkState(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				m, _ := newConfiguredMachine(b, s)
				b.ReportMetric(float64(heap()-before), "bytes/instance")
				runtime.KeepAlive(m)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkFollow applies consecutive changes, some of them with a new snapshot, and encodes the messages to peers.
func BenchmarkFollow(b *testing.B) {
	kinds := map[string]func(s size, i int) Change{
		"service": func(s size, i int) Change {
			return Change{Services: []ServiceTemplate{service(fmt.Sprintf("service-%d", i%s.services), i)}}
		},
		"account": func(s size, i int) Change {
			return Change{Accounts: []AccountTemplate{account(fmt.Sprintf("client-account-%d", i%s.accounts), "service-0")}}
		},
	}
	for _, kind := range []string{"service", "account"} {
		for _, s := range sizes {
			b.Run(kind+"/"+s.String(), func(b *testing.B) { follow(b, s, kinds[kind]) })
		}
	}
}

func follow(b *testing.B, s size, draw func(size, int) Change) {
	m, head := newConfiguredMachine(b, s)
	now := time.Unix(1000, 0)
	sent, i := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		change := draw(s, i)
		i++
		change.ID = fmt.Sprint(i)
		head, _ = propose(b, head, m.Current(), change)
		now = now.Add(time.Second)
		b.StartTimer()
		for _, effect := range m.HeadRead(now, head, nil) {
			if e, ok := effect.(Send); ok {
				data, _ := cbor.Marshal(e.Message)
				sent += len(data)
			}
		}
	}
	if m.Current().Revision != head.Revision {
		b.Fatalf("revision %d, accepted %d", m.Current().Revision, head.Revision)
	}
	b.ReportMetric(float64(sent)/float64(i), "sent-bytes/change")
}

// BenchmarkPropose measures what the operators' tool does for one change, without the store.
func BenchmarkPropose(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			m, head := newConfiguredMachine(b, s)
			change := Change{ID: "x", Services: []ServiceTemplate{service("service-0", 2)}}
			for b.Loop() {
				if _, _, err := Propose(head, m.Current(), change); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
