package broker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/dispatch"
)

var start = time.Unix(1000, 0)

func zone(links ...float64) []Instance {
	var list []Instance
	for k, link := range links {
		list = append(list, Instance{Incarnation: uint64(100 + k), Key: fmt.Sprintf("edge-%02d", k), LinkMbps: link})
	}
	return list
}

func keys(list []Instance) []string {
	var out []string
	for _, i := range list {
		out = append(out, i.Key)
	}
	return out
}

func TestTheFastestLinksKeep(t *testing.T) {
	for name, tc := range map[string]struct {
		links []float64
		want  []string
	}{
		"nobody":                {nil, nil},
		"one":                   {[]float64{20}, []string{"edge-00"}},
		"three fast":            {[]float64{20, 200, 20, 200, 200, 20}, []string{"edge-01", "edge-03", "edge-04"}},
		"five fast":             {[]float64{200, 200, 200, 200, 200}, []string{"edge-00", "edge-01", "edge-02"}},
		"one fast, two as good": {[]float64{20, 200, 20}, []string{"edge-01", "edge-00"}},
	} {
		if got := keys(Coordinators(zone(tc.links...))); !slices.Equal(got, tc.want) {
			t.Errorf("%s: got %v, want %v", name, got, tc.want)
		}
	}
}

// The order of a service's brokers does not hang on the order in which they are known, nor on
// their lives, and services are spread over all of them.
func TestAllRankAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := zone(rapid.SliceOfN(rapid.Just(200.0), 2, MaxCoordinators).Draw(t, "keepers")...)
		service := rapid.String().Draw(t, "service")
		want := keys(Rank(service, list))
		shuffled := rapid.Permutation(list).Draw(t, "order")
		for k := range shuffled {
			shuffled[k].Incarnation += 1000
		}
		if got := keys(Rank(service, shuffled)); !slices.Equal(got, want) {
			t.Fatalf("%v and %v", got, want)
		}
	})
	first := make(map[string]int)
	const services = 300
	for k := range services {
		first[Rank(fmt.Sprint("service-", k), zone(200, 200, 200))[0].Key]++
	}
	for key, n := range first {
		if n < services/MaxCoordinators/2 {
			t.Errorf("%s is first for %d of %d services", key, n, services)
		}
	}
}

// The load that it answers: a broker dies, and hundreds of requests a second would wait for it.
func TestASilentBrokerIsPassedOver(t *testing.T) {
	var s Suspects
	ranked := zone(200, 200)
	if got, ok := s.Pick(start, ranked); !ok || got.Key != "edge-00" {
		t.Errorf("asks %v", got)
	}
	s.Add(start, ranked[0].Incarnation)
	if got, ok := s.Pick(start, ranked); !ok || got.Key != "edge-01" {
		t.Errorf("asks %v after the first was silent", got)
	}
	s.Add(start, ranked[1].Incarnation)
	if got, ok := s.Pick(start, ranked); ok {
		t.Errorf("asks %v though both were silent", got)
	}
	if got, ok := s.Pick(start.Add(suspectFor), ranked); !ok || got.Key != "edge-00" {
		t.Errorf("asks %v after a while", got)
	}
	again := slices.Clone(ranked)
	again[0].Incarnation += 1000
	s.Add(start, ranked[0].Incarnation)
	if got, ok := s.Pick(start, again); !ok || got.Key != "edge-00" {
		t.Errorf("asks %v though the first was restarted", got)
	}
}

// Questions, ends and losses in any order: every grant is counted out exactly once.
func TestEveryGrantIsCountedOutOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewGrantTable()
		inFlight := make(map[dispatch.EndpointID]int)
		granted := make(map[GrantID]time.Time)
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			ticket := GrantID{Requester: rapid.Uint64Range(1, 3).Draw(t, "asker"), Seq: rapid.Uint64Range(1, 12).Draw(t, "seq")}
			endpoint := dispatch.EndpointID(rapid.Uint32Range(1, 4).Draw(t, "endpoint"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				until := now.Add(time.Second)
				if l.Add(ticket, endpoint, until) {
					if _, twice := granted[ticket]; twice {
						t.Fatalf("ticket %v granted twice", ticket)
					}
					granted[ticket] = until
					inFlight[endpoint]++
				}
			case 1:
				if id, ok := l.Remove(ticket); ok {
					delete(granted, ticket)
					inFlight[id]--
				}
			default:
				for _, id := range l.Expire(now) {
					inFlight[id]--
				}
				for k, until := range granted {
					if !now.Before(until) {
						delete(granted, k)
					}
				}
			}
			sum := 0
			for id, n := range inFlight {
				if n < 0 {
					t.Fatalf("endpoint %d has %d in flight", id, n)
				}
				sum += n
			}
			if sum != l.Len() || sum != len(granted) {
				t.Fatalf("%d in flight, %d in the ledger, %d granted", sum, l.Len(), len(granted))
			}
		}
	})
}
