package health

import (
	"cmp"
	"math"
	"slices"
)

// Comparing an endpoint with its peers over the time in which its score rose.
const (
	markedPart    = 0.25 // Of the limit: the score from which that time counts.
	confirmedPart = 0.5  // Of the limit: the score that must remain against the peers.
	trimmedPart   = 3    // One in so many peers, the worst ones, is left out.
	priorWeight   = 4.0  // Requests by which the long-term centre weighs.
	minPeerSample = 3.0  // Requests of the peers without which nothing is confirmed.
)

// sample is what one peer's requests looked like.
type sample struct {
	count float64
	sum   float64
}

// pool adds up samples without the worst of them.
func pool(samples []sample) sample {
	slices.SortFunc(samples, func(a, b sample) int {
		return cmp.Compare(a.sum/a.count, b.sum/b.count)
	})
	kept := len(samples) - len(samples)/trimmedPart
	var total sample
	for _, s := range samples[:kept] {
		total.count += s.count
		total.sum += s.sum
	}
	return total
}

// confirmFailures reports whether an endpoint fails more than its peers did over the same time.
func confirmFailures(c centre, own totals, peers []totals, limit float64) bool {
	var samples []sample
	for _, p := range peers {
		if p.requests > 0 {
			samples = append(samples, sample{count: p.requests, sum: p.failures})
		}
	}
	pooled := pool(samples)
	if pooled.count < minPeerSample {
		return false
	}
	peerRate := (pooled.sum + priorWeight*c.failureRate) / (pooled.count + priorWeight)
	peerRate = min(max(peerRate, c.failureRate), maxCentreFailureRate)
	failed, answered := failureGains(peerRate)
	return own.failures*failed+(own.requests-own.failures)*answered >= confirmedPart*limit
}

// confirmSlowness reports whether an endpoint is slower than its peers were over the same time.
func confirmSlowness(c centre, own totals, peers []totals, limit float64) bool {
	var samples []sample
	for _, p := range peers {
		if p.answers > 0 {
			samples = append(samples, sample{count: p.answers, sum: p.residuals})
		}
	}
	pooled := pool(samples)
	if pooled.count < minPeerSample || own.answers == 0 {
		return false
	}
	peerMean := max(pooled.sum/(pooled.count+priorWeight), 0)
	ownMean := own.residuals/own.answers - peerMean
	shift := c.slowShift()
	exact := own.answers * shift / (c.sigma * c.sigma) * (ownMean - shift/2)
	uncertainty := math.Sqrt(1 + own.answers/pooled.count)
	return exact/uncertainty >= confirmedPart*limit
}
