package routing

import "time"

const (
	slownessOwnStep    = 0.1             // Weight of a new latency in an endpoint's mean.
	slownessPeerStep   = 0.01            // Weight of a new latency in the mean over all endpoints.
	slownessMin        = 0.5             // Excess over the mean of all that is ignored.
	slownessMax        = 8.0             // Bound of the excess counted.
	slownessHalfLife   = 5 * time.Second // Time without an answer after which the excess counts half.
	slownessMinSamples = 5               // Answers of an endpoint before its mean counts.
)

// latencyMean is an exponentially weighted mean of latencies.
type latencyMean struct {
	mean    float64 // In nanoseconds.
	samples int
	at      time.Time // Of the last sample.
}

// add takes one latency.
func (m *latencyMean) add(now time.Time, latency time.Duration, step float64) {
	m.samples++
	weight := max(step, 1/float64(m.samples))
	m.mean += weight * (float64(latency) - m.mean)
	m.at = now
}

// excess returns by how many times the mean of all an endpoint's mean is above it. An
// endpoint without late answers is tried again as the excess fades.
func (m *latencyMean) excess(now time.Time, all *latencyMean) float64 {
	if m.samples < slownessMinSamples || all.mean <= 0 {
		return 0
	}
	excess := m.mean/all.mean - 1
	if excess < slownessMin {
		return 0
	}
	return min(excess, slownessMax) * decay(now.Sub(m.at), slownessHalfLife)
}
