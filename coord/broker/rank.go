package broker

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/internal/mix"
)

// Instance is an instance that may be a coordinator.
type Instance struct {
	Incarnation uint64  // Changes when the instance restarts.
	Key         string  // Stays the same over a restart; it orders instances with equal links.
	LinkMbps    float64 // Indicates the size of the machine: faster links come with faster processors.
}

const (
	// MaxCoordinators is the maximum number of coordinators of a zone.
	MaxCoordinators = 3
	// minCoordinators is the minimum in a zone with enough instances, so that one remains when another fails.
	minCoordinators = 2
)

// Coordinators returns the coordinators of a zone: its two instances with the fastest links, and
// a third if the links of all three are equally fast. It reorders list.
func Coordinators(list []Instance) []Instance {
	slices.SortFunc(list, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.Key, b.Key))
	})
	n := 0
	for n < min(len(list), MaxCoordinators) && (n < minCoordinators || list[n].LinkMbps == list[0].LinkMbps) {
		n++
	}
	return list[:n]
}

// Rank orders the coordinators by rendezvous hashing. The first one that responds is the
// service's broker.
func Rank(service string, coordinators []Instance) []Instance {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service)) // It never fails.
	salt := h.Sum64()
	weight := func(i Instance) uint64 {
		k := fnv.New64a()
		_, _ = k.Write([]byte(i.Key))
		return mix.Mix(k.Sum64() ^ salt)
	}
	ranked := slices.Clone(coordinators)
	slices.SortFunc(ranked, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Key, b.Key))
	})
	return ranked
}

// suspectTimeout is how long a broker that did not reply is skipped.
const suspectTimeout = time.Second

// Suspects are the brokers that did not reply recently. The zero value is empty and ready for use.
type Suspects struct {
	until map[uint64]time.Time
}

// Add records that a broker did not reply.
func (s *Suspects) Add(now time.Time, incarnation uint64) {
	if s.until == nil {
		s.until = make(map[uint64]time.Time)
	}
	s.until[incarnation] = now.Add(suspectTimeout)
}

// Pick returns the first of ranked that is not suspect; ok is false if all are.
func (s *Suspects) Pick(now time.Time, ranked []Instance) (_ Instance, ok bool) {
	for _, i := range ranked {
		if until, suspect := s.until[i.Incarnation]; !suspect || !now.Before(until) {
			delete(s.until, i.Incarnation)
			return i, true
		}
	}
	return Instance{}, false
}

// BrokerZone returns the zone whose brokers place requests on the endpoints of a zone: the zone
// itself if it has instances, else one of those that have.
func BrokerZone(zone string, withInstances []string) string {
	if len(withInstances) == 0 || slices.Contains(withInstances, zone) {
		return zone
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(zone))
	return withInstances[mix.Mix(h.Sum64())%uint64(len(withInstances))]
}
