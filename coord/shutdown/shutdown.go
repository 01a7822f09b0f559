// Package shutdown decides which requests an instance still accepts during a planned stop, and when
// the stop ends.
//
// Callers hold the addresses that discovery gave them for a while and go on sending requests to an
// instance that stops. A request that reaches it early is passed on whatever its deadline. Later
// ones are passed on only if they end before the instance does; the others are rejected at once, as
// their callers can go to another instance.
package shutdown

import "time"

// Promises are what callers and the platform rely on.
type Promises struct {
	StopWithin   time.Duration // From the signal to stop to the end of the process.
	DiscoveryTTL time.Duration // How long callers may keep a discovery answer.
}

const (
	// staleTTLs is the number of discovery TTLs for which callers may use a discovery answer.
	staleTTLs = 3
	// maxMargin is kept at both ends of a stop, as the signal was sent earlier than it took effect: in
	// a process that waits for processor time, by half a second and more. At the end it also covers
	// the instance's withdrawal from the store, its last log lines and its exit.
	maxMargin = 700 * time.Millisecond
	// marginDivisor bounds the margin to a part of a short StopWithin.
	marginDivisor = 6
)

// Plan is the schedule of a planned stop.
type Plan struct {
	AcceptUntil time.Time // Connections are accepted, and idle ones kept open, until then.
	End         time.Time // Requests that have no complete answer by then are cut off.

	admitAllUntil time.Time
}

// NewPlan returns the schedule of a stop that begins at a time.
func NewPlan(begin time.Time, p Promises) Plan {
	margin := min(maxMargin, p.StopWithin/marginDivisor)
	mayBeStale := staleTTLs * p.DiscoveryTTL
	return Plan{
		// Half a TTL is left for an answer given just before the other instances knew of the stop,
		// and a quarter of the stop for the requests on the last connections.
		AcceptUntil: begin.Add(min(mayBeStale+p.DiscoveryTTL/2, p.StopWithin*3/4)),
		End:         begin.Add(p.StopWithin - margin),
		// A request has at least half of StopWithin.
		admitAllUntil: begin.Add(min(mayBeStale, p.StopWithin/2-margin)),
	}
}

// Admits reports whether a request that has to end by a deadline may be passed on at a time.
func (p Plan) Admits(now, deadline time.Time) bool {
	return now.Before(p.admitAllUntil) || !deadline.After(p.End)
}
