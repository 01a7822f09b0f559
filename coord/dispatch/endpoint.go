package dispatch

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/outlook"
)

// tracked is what an instance knows of one endpoint.
type tracked struct {
	Endpoint
	joined   time.Time
	own      int            // This instance's requests in flight.
	peers    map[PeerID]int // Other instances' requests in flight.
	inFlight int            // Sum of own and peers.
	estimate outlook.Estimate
	took     average[time.Duration] // Time of served requests.
	used     time.Time              // Last start by any instance; zero before the first.
	failed   time.Time              // Last failure seen by any instance.
	reach    reach
}

// reach is whether this instance itself gets through to an endpoint.
type reach struct {
	failures int
	until    time.Time // No request goes there before.
}

const (
	// reachHold is the first pause after an endpoint could not be reached; it doubles up to reachHoldMax,
	// which is about the length of the users' one-sided cuts.
	reachHold    = 500 * time.Millisecond
	reachHoldMax = 4 * time.Second
)

func (r *reach) fail(now time.Time) {
	hold := min(reachHold<<min(r.failures, 8), reachHoldMax)
	r.failures++
	r.until = now.Add(hold)
}

// release counts out one of this instance's requests.
func (t *tracked) release() {
	t.own = max(t.own-1, 0)
	t.inFlight = max(t.inFlight-1, 0)
}

func (t *tracked) setPeer(p PeerID, inFlight int) {
	t.inFlight += inFlight - t.peers[p]
	if inFlight == 0 {
		delete(t.peers, p)
		return
	}
	t.peers[p] = inFlight
}

// average is an exponentially weighted mean.
type average[T ~int64 | ~float64] struct {
	mean   T
	weight float64
}

const (
	// averageWeight bounds the weight of the past: the last dozen values count.
	averageWeight = 12
	// usualTime is the mean time of a request until some were served.
	usualTime = 300 * time.Millisecond
)

func (a *average[T]) add(v T) {
	a.weight = min(a.weight+1, averageWeight)
	a.mean += T(float64(v-a.mean) / a.weight)
}

// or returns the mean, drawn towards a usual value while few values count.
func (a average[T]) or(usual T) T {
	const prior = 3 // Weight of the usual value.
	return T((a.weight*float64(a.mean) + prior*float64(usual)) / (a.weight + prior))
}
