package health

import (
	"cmp"
	"math"
	"slices"
)

// Comparing an endpoint with its peers over the time in which its score rose.
const (
	snapshotShare   = 0.25 // Of the limit: the score from which that time counts.
	confirmShare    = 0.5  // Of the limit: the score that must remain against the peers.
	trimDivisor     = 3    // One in so many peers, the worst ones, is left out.
	priorWeight     = 2.0  // Requests by which the long-term centre weighs.
	minPeerRequests = 3.0  // Requests of the peers without which nothing is confirmed.
	minPeerShare    = 0.5  // Least requests of the peers over those of the endpoint.
	maxPeerGain     = -1.0 // Nats: the most that the peers' requests may speak for the same fault.
)

// sample is what one peer's requests looked like.
type sample struct {
	count float64
	sum   float64
	gain  float64 // Of the same test, in nats.
}

// pool adds up samples without the worst of them.
func trimmedSum(samples []sample) sample {
	slices.SortFunc(samples, func(a, b sample) int {
		return cmp.Compare(a.sum/a.count, b.sum/b.count)
	})
	kept := len(samples) - len(samples)/trimDivisor
	var total sample
	for _, s := range samples[:kept] {
		total.count += s.count
		total.sum += s.sum
		total.gain += s.gain
	}
	return total
}

// enough reports whether the peers' sample is large enough for a comparison with the
// endpoint's requests, and speaks for health.
func comparable(peers sample, own float64) bool {
	return peers.count >= max(minPeerRequests, minPeerShare*own) && peers.gain <= maxPeerGain
}

// confirmFailures reports whether an endpoint fails more than its peers did over the same time.
func confirmFailures(c baseline, extraShare float64, own totals, peers []totals, limit float64) bool {
	failed, answered := failureGains(c.failureRate, extraShare)
	var samples []sample
	for _, p := range peers {
		if p.requests > 0 {
			gain := p.failures*failed + (p.requests-p.failures)*answered
			samples = append(samples, sample{count: p.requests, sum: p.failures, gain: gain})
		}
	}
	pooled := trimmedSum(samples)
	if !comparable(pooled, own.requests) {
		return false
	}
	peerRate := (pooled.sum + priorWeight*c.failureRate) / (pooled.count + priorWeight)
	peerRate = min(max(peerRate, c.failureRate), maxBaselineFailureRate)
	failed, answered = failureGains(peerRate, extraShare)
	return own.failures*failed+(own.requests-own.failures)*answered >= confirmShare*limit
}

// confirmSlowness reports whether an endpoint is slower than its peers were over the same time.
func confirmSlowness(c baseline, own totals, peers []totals, limit float64) bool {
	var samples []sample
	for _, p := range peers {
		if p.answers > 0 {
			samples = append(samples, sample{count: p.answers, sum: p.residuals, gain: p.slowGain})
		}
	}
	pooled := trimmedSum(samples)
	if own.answers == 0 || !comparable(pooled, own.answers) {
		return false
	}
	peerMean := max(pooled.sum/(pooled.count+priorWeight), 0)
	ownMean := own.residuals/own.answers - peerMean
	shift := c.slowShift()
	gain := own.answers * shift / (c.sigma * c.sigma) * (ownMean - shift/2)
	uncertainty := math.Sqrt(1 + own.answers/pooled.count)
	return gain/uncertainty >= confirmShare*limit
}
