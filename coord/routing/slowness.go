package routing

import "time"

const (
	endpointMeanWeight = 0.1             // Minimum weight of a new sample in an endpoint's mean.
	overallMeanWeight  = 0.01            // Minimum weight of a new sample in the mean over all endpoints.
	slownessMin        = 0.5             // Excess below which an endpoint does not count as slow.
	slownessMax        = 8.0             // Maximum excess counted.
	slownessHalfLife   = 5 * time.Second // Time without a sample after which the weight of the excess has halved.
	slownessMinSamples = 5               // Samples of an endpoint before its mean counts.
)

// latencyMean is an exponentially weighted moving average of latencies.
type latencyMean struct {
	mean         float64 // In nanoseconds.
	samples      int
	lastSampleAt time.Time
}

// add adds a sample. The first 1/minWeight samples count equally, later ones with minWeight.
func (m *latencyMean) add(now time.Time, latency time.Duration, minWeight float64) {
	m.samples++
	weight := max(minWeight, 1/float64(m.samples))
	m.mean += weight * (float64(latency) - m.mean)
	m.lastSampleAt = now
}

// excess returns how far an endpoint's mean m is above the mean over all endpoints, as a
// multiple of the latter: 1 when m is twice as high. It decays while there are no samples,
// so that a slow endpoint which gets no requests is tried again.
func (m *latencyMean) excess(now time.Time, all *latencyMean) float64 {
	if m.samples < slownessMinSamples || all.mean <= 0 {
		return 0
	}
	excess := m.mean/all.mean - 1
	if excess < slownessMin {
		return 0
	}
	return min(excess, slownessMax) * decay(now.Sub(m.lastSampleAt), slownessHalfLife)
}
