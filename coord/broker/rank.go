package broker

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/internal/mix"
)

// Instance is one instance that may become a keeper.
type Instance struct {
	Incarnation uint64  // Names one life of the instance.
	Key         string  // Orders instances with links alike; it outlives a restart.
	LinkMbps    float64 // Mbit/s of its link, which goes with its processor.
}

const (
	// MaxCoordinators is the most keepers of a zone.
	MaxCoordinators = 3
	// keepersLeast is the fewest, so that the death of one leaves another.
	keepersLeast = 2
)

// Coordinators returns the keepers of a zone: its instances with the fastest links, two or three.
// The order of list is changed.
func Coordinators(list []Instance) []Instance {
	slices.SortFunc(list, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.Key, b.Key))
	})
	n := 0
	for n < min(len(list), MaxCoordinators) && (n < keepersLeast || list[n].LinkMbps == list[0].LinkMbps) {
		n++
	}
	return list[:n]
}

// Rank returns the keepers in the order in which they place a service's requests.
func Rank(service string, keepers []Instance) []Instance {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service)) // It never fails.
	salt := h.Sum64()
	weight := func(i Instance) uint64 {
		k := fnv.New64a()
		_, _ = k.Write([]byte(i.Key))
		return mix.Mix(k.Sum64() ^ salt)
	}
	ranked := slices.Clone(keepers)
	slices.SortFunc(ranked, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Key, b.Key))
	})
	return ranked
}

// suspectFor is how long a broker that did not answer is passed over.
const suspectFor = time.Second

// Suspects are the brokers that did not answer lately. The zero value holds none.
type Suspects struct {
	until map[uint64]time.Time
}

// Add notes that a broker did not answer.
func (s *Suspects) Add(now time.Time, life uint64) {
	if s.until == nil {
		s.until = make(map[uint64]time.Time)
	}
	s.until[life] = now.Add(suspectFor)
}

// Pick returns the first of some brokers that is not suspect; ok is false where all are.
func (s *Suspects) Pick(now time.Time, ranked []Instance) (_ Instance, ok bool) {
	for _, i := range ranked {
		if until, silent := s.until[i.Incarnation]; !silent || !now.Before(until) {
			delete(s.until, i.Incarnation)
			return i, true
		}
	}
	return Instance{}, false
}

// BrokerZone returns the zone whose brokers place work on the endpoints of a zone: itself where it
// has instances, else one of those that do.
func BrokerZone(zone string, withInstances []string) string {
	if len(withInstances) == 0 || slices.Contains(withInstances, zone) {
		return zone
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(zone))
	return withInstances[mix.Mix(h.Sum64())%uint64(len(withInstances))]
}
