package dispatch

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/outlook"
)

// endpointState is the state of one endpoint as an instance knows it.
type endpointState struct {
	Endpoint
	addedAt      time.Time
	own          int            // This instance's requests in flight.
	peerInFlight map[PeerID]int // Other instances' requests in flight.
	inFlight     int            // Sum of own and peerInFlight.
	estimate     outlook.Estimate
	starts       []time.Time         // Of requests too young to tell whether they fail early, oldest first.
	latency      ewma[time.Duration] // Of served requests.
	lastUsed     time.Time           // Last start by any instance; zero before the first.
	lastFailed   time.Time           // Last failure reported by any instance.
	reach        reachability
	leaving      leavingSource // What it announced; Draining is what its registration says.
	holdUntil    time.Time     // It wants no requests from this instance before; zero if it has not said so.
	limit        *rateLimit    // Of the requests of all instances; nil if it never named one.
}

// accepts reports whether the endpoint takes a request from this instance. Whatever places a request asks it.
func (e *endpointState) accepts(now time.Time) bool {
	return e.acceptsPlaced(now) && (e.limit == nil || e.limit.hasRoom(now))
}

// acceptsPlaced reports the same of a request that was taken from the endpoint's limit by the broker that placed it.
func (e *endpointState) acceptsPlaced(now time.Time) bool {
	return !e.Draining && e.leaving != leavingAnnounced && !now.Before(e.holdUntil)
}

// reachability is whether this instance itself can reach an endpoint.
type reachability struct {
	failures     int
	backoffUntil time.Time // No request is sent there before.
}

const (
	// minReachBackoff is the first backoff after an endpoint could not be reached; it doubles up to
	// maxReachBackoff, which is about the length of the one-sided network partitions to expect.
	minReachBackoff = 500 * time.Millisecond
	maxReachBackoff = 4 * time.Second
)

func (r *reachability) recordFailure(now time.Time) {
	backoff := min(minReachBackoff<<min(r.failures, 8), maxReachBackoff)
	r.failures++
	r.backoffUntil = now.Add(backoff)
}

// started records the start of a request by any instance.
func (e *endpointState) started(s *service, now time.Time) {
	e.settle(s, now, s.earlyLimit())
	e.lastUsed = now
	e.starts = append(e.starts, now)
}

// settle updates the estimate with the requests that are by now too old to fail early. Where failing
// endpoints respond at once, a request that goes on shows, long before it ends, that its endpoint was
// healthy at its start.
func (e *endpointState) settle(s *service, now time.Time, earlyLimit time.Duration) {
	n := 0
	for n < len(e.starts) && now.Sub(e.starts[n]) >= earlyLimit {
		e.estimate.Observe(s.health, e.starts[n], outlook.Running)
		n++
	}
	if n == 0 {
		return
	}
	e.starts = append(e.starts[:0], e.starts[n:]...)
}

// endedEarly drops the start of a request that has ended before it was settled.
func (e *endpointState) endedEarly() {
	e.starts = e.starts[:max(len(e.starts)-1, 0)]
}

// release removes one of this instance's requests in flight.
func (e *endpointState) release() {
	e.own = max(e.own-1, 0)
	e.inFlight = max(e.inFlight-1, 0)
}

func (e *endpointState) setPeerInFlight(p PeerID, inFlight int) {
	e.inFlight += inFlight - e.peerInFlight[p]
	if inFlight == 0 {
		delete(e.peerInFlight, p)
		return
	}
	e.peerInFlight[p] = inFlight
}

// ewma is an exponentially weighted moving average.
type ewma[T ~int64 | ~float64] struct {
	mean   T
	weight float64
}

const (
	// maxEWMAWeight bounds the weight of the past, so that about the last dozen values count.
	maxEWMAWeight = 12
	// maxSlowEWMAWeight lets about the last 300 values count.
	maxSlowEWMAWeight = 300
	// defaultLatency is the prior of a service's latency.
	defaultLatency = 300 * time.Millisecond
)

func (a *ewma[T]) add(v T) { a.addWithin(v, maxEWMAWeight) }

// addSlowly adds a value of which many are needed for a stable mean.
func (a *ewma[T]) addSlowly(v T) { a.addWithin(v, maxSlowEWMAWeight) }

func (a *ewma[T]) addWithin(v T, maxWeight float64) {
	a.weight = min(a.weight+1, maxWeight)
	a.mean += T(float64(v-a.mean) / a.weight)
}

// withPrior returns the mean, drawn towards a prior value while it is made of few values.
func (a ewma[T]) withPrior(prior T) T {
	const priorWeight = 3
	return T((a.weight*float64(a.mean) + priorWeight*float64(prior)) / (a.weight + priorWeight))
}
