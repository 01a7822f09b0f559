package health

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of the comparison of an endpoint with its peers over the time in which its score rose.
const (
	snapshotShare   = 0.25 // Share of the limit: the score at which that time starts.
	confirmShare    = 0.5  // Share of the limit: the score that the comparison must reach.
	trimDivisor     = 3    // One in this many peers is left out, the worst first.
	priorWeight     = 2.0  // Weight of the long-term baseline, in requests.
	minPeerRequests = 3.0  // Least requests of the peers for a confirmation.
	minPeerShare    = 0.5  // Least ratio of the peers' requests to the endpoint's.
	maxPeerGain     = -1.0 // Largest gain of the peers on the same test, in nats; above it they may share the failure.
)

// sample sums up the requests of one peer, or of several.
type sample struct {
	count float64
	sum   float64 // Of failures, or of residuals.
	gain  float64 // Of the same test, in nats.
}

// trimmedSum adds up the samples without the worst ones.
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

// usablePeers reports whether the peers' sample is large enough for a comparison with the
// endpoint's requests and shows the peers healthy.
func usablePeers(peers sample, own float64) bool {
	return peers.count >= max(minPeerRequests, minPeerShare*own) && peers.gain <= maxPeerGain
}

// confirmFailures reports whether an endpoint failed more requests than its peers over the same time.
func confirmFailures(b baseline, extraShare float64, own totals, peers []totals, limit float64) bool {
	failed, answered := failureGains(b.failureRate, extraShare)
	var samples []sample
	for _, p := range peers {
		if p.requests > 0 {
			gain := p.failures*failed + (p.requests-p.failures)*answered
			samples = append(samples, sample{count: p.requests, sum: p.failures, gain: gain})
		}
	}
	pooled := trimmedSum(samples)
	if !usablePeers(pooled, own.requests) {
		return false
	}
	peerRate := (pooled.sum + priorWeight*b.failureRate) / (pooled.count + priorWeight)
	peerRate = min(max(peerRate, b.failureRate), maxBaselineFailureRate)
	failed, answered = failureGains(peerRate, extraShare)
	return own.failures*failed+(own.requests-own.failures)*answered >= confirmShare*limit
}

// confirmSlowness reports whether an endpoint was slower than its peers over the same time.
func confirmSlowness(b baseline, own totals, peers []totals, limit float64) bool {
	var samples []sample
	for _, p := range peers {
		if p.answers > 0 {
			samples = append(samples, sample{count: p.answers, sum: p.residuals, gain: p.slowGain})
		}
	}
	pooled := trimmedSum(samples)
	if own.answers == 0 || !usablePeers(pooled, own.answers) {
		return false
	}
	peerMean := max(pooled.sum/(pooled.count+priorWeight), 0)
	ownMean := own.residuals/own.answers - peerMean
	shift := b.slowShift()
	ownGain := own.answers * shift / (b.sigma * b.sigma) * (ownMean - shift/2)
	uncertainty := math.Sqrt(1 + own.answers/pooled.count)
	return ownGain/uncertainty >= confirmShare*limit
}
