// Package shutdown decides which requests an instance still accepts during a planned stop, and when
// the stop ends.
//
// Callers hold the addresses that discovery gave them for a while and go on sending requests to an
// instance that stops. A request that reaches it early is passed on whatever its deadline. Later
// ones are passed on only if they end before the instance does; the others are rejected at once, as
// their callers can go to another instance.
//
// The time of a stop counts from its request, and a process that waits for processor time learns
// of that late. Decisions about new requests therefore assume the earliest time at which the stop can
// have been requested. Before a stop is known that is the last time at which none had been.
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
	// maxMargin is kept at both ends of a stop, for what a process that waits for processor time does
	// late. At the end it also covers the instance's withdrawal from the store, its last log lines
	// and its exit.
	maxMargin = 700 * time.Millisecond
	// marginDivisor bounds the margin to a part of a short StopWithin.
	marginDivisor = 6
	// rejectionDivisor is the part of the margin that is left to write the last rejections, as a divisor.
	rejectionDivisor = 4
	// uncertaintyDivisor is the part of the margin that may pass between two proofs that no stop was requested, as a divisor.
	uncertaintyDivisor = 2
)

// MaxUncertainty returns how long the span in which a stop was requested may be in an instance that is not
// starved: a part of the margin, also of a short StopWithin.
func MaxUncertainty(stopWithin time.Duration) time.Duration {
	return margin(stopWithin) / uncertaintyDivisor
}

func margin(stopWithin time.Duration) time.Duration {
	return min(maxMargin, stopWithin/marginDivisor)
}

// Requested is the span of time in which a stop was requested.
type Requested struct {
	After time.Time // No stop had been requested until then.
	By    time.Time // The instance knew of the request then.
}

// Plan is the schedule of a planned stop.
type Plan struct {
	AcceptUntil time.Time // Connections are accepted, and idle ones kept open, until then.
	LastArrival time.Time // Requests that have not arrived completely by then are rejected.
	End         time.Time // Requests that have no complete answer by then are cut off.

	admitAllUntil time.Time
	endsBy        time.Time // End, if the stop was requested as early as possible.
}

// NewPlan returns the schedule of a stop. What the instance takes on counts from the earliest time of
// the request, and what it completes from the latest.
func NewPlan(r Requested, p Promises) Plan {
	after, by := r.After, r.By
	if after.After(by) {
		after = by
	}
	margin := margin(p.StopWithin)
	mayBeStale := staleTTLs * p.DiscoveryTTL
	// Half a TTL is left for an answer given just before the other instances knew of the stop,
	// and a quarter of the stop for the requests on the last connections.
	acceptUntil := earlier(by.Add(mayBeStale+p.DiscoveryTTL/2), after.Add(p.StopWithin*3/4))
	if by.Sub(after) > margin {
		acceptUntil = by // So starved an instance may not get to answer what it reads.
	}
	return Plan{
		AcceptUntil: acceptUntil,
		LastArrival: after.Add(p.StopWithin - margin - margin/rejectionDivisor),
		End:         by.Add(p.StopWithin - margin),
		// A request has at least half of StopWithin.
		admitAllUntil: after.Add(min(mayBeStale, p.StopWithin/2-margin)),
		endsBy:        after.Add(p.StopWithin - margin),
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Admits reports whether a request that has to end by a deadline may be passed on at a time.
func (p Plan) Admits(now, deadline time.Time) bool {
	return now.Before(p.admitAllUntil) || !deadline.After(p.endsBy)
}

// AdmitsUnaware reports whether an instance that knows of no stop may pass on a request at a time. None had
// been requested until notBefore: if that is long ago, a request to stop may have been made since.
func AdmitsUnaware(notBefore, now, deadline time.Time, p Promises) bool {
	return NewPlan(Requested{After: notBefore, By: now}, p).Admits(now, deadline)
}
