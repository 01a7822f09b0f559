package health

import (
	"math"
	"slices"
)

// Bounds and steps of the tests. A gain is the log-likelihood ratio of one request, in nats.
const (
	minFailureRate     = 0.01 // Healthy failure rate that the test assumes at least.
	minLogSigma        = 0.35 // Least standard deviation of the logarithm of latency.
	priorLogSigma      = 0.6
	minSlowShift       = math.Ln2
	slowShiftSigmas    = 2.0
	minSlowSpread      = 0.9   // Least standard deviation of the slowness of a slow endpoint, in nats.
	slowMeanAboveShift = 0.5   // Mean slowness of a slow endpoint over the least that counts, in nats.
	outlierShare       = 0.015 // Of healthy requests: any latency.
	outlierRange       = 5.0   // Range of those latencies, in nats.
	maxSlowGain        = 5.0
	minSlowGain        = -3.0
	maxResidual        = 2.5 // Nats from the centre.
)

// failureSteps are the parts of the healthy requests that fail at a sick endpoint, by test.
var extraFailureShares = [...]float64{testSomeFail: 0.2, testMostFail: 0.8}

// minCentreRequests is the number of requests of an endpoint from which its rates count.
const minBaselineRequests = 5

// centre is the robust centre of a service's endpoints: what a healthy request looks like.
type baseline struct {
	failureRate  float64
	logLatency   float64
	sigma        float64
	latencyKnown bool // logLatency comes from requests.
}

func defaultBaseline() baseline {
	return baseline{failureRate: minFailureRate, sigma: priorLogSigma}
}

// failureGains returns the gains of a failed and of an answered request.
func failureGains(healthy, extraShare float64) (failed, answered float64) {
	unhealthyRate := healthy + extraShare*(1-healthy)
	return math.Log(unhealthyRate / healthy), math.Log((1 - unhealthyRate) / (1 - healthy))
}

// failureDrift returns the expected gain of a request at an endpoint that fails a part of its work.
func (c baseline) expectedFailureGain(failureShare float64) float64 {
	failed, answered := failureGains(c.failureRate, extraFailureShares[testSomeFail])
	return failureShare*failed + (1-failureShare)*answered
}

// slowShift returns the slowness that the test looks for, in nats of latency.
func (c baseline) slowShift() float64 {
	return max(minSlowShift, slowShiftSigmas*c.sigma)
}

// slowGain returns the gain of a request with a residual of the logarithm of its latency.
// Healthy latencies are lognormal but for a few outliers; those of a slow endpoint lie
// around slowShift and above, in a broad range.
func (c baseline) slowGain(residual float64) float64 {
	spread := max(minSlowSpread, 1.5*c.sigma)
	slowDensity := normalDensity(residual-c.slowShift()-slowMeanAboveShift, spread)
	healthyDensity := (1-outlierShare)*normalDensity(residual, c.sigma) + outlierShare/outlierRange
	return min(max(math.Log(slowDensity/healthyDensity), minSlowGain), maxSlowGain)
}

func normalDensity(distance, sigma float64) float64 {
	return math.Exp(-square(distance/sigma)/2) / (sigma * math.Sqrt(2*math.Pi))
}

// residual returns the logarithm of a bin's latency over the centre.
func (c baseline) residual(bin uint8) float64 {
	return min(max(logOfBin(bin)-c.logLatency, -maxResidual), maxResidual)
}

// rates are slowly moving averages over the requests of one endpoint.
type averages struct {
	requests    float64 // Weight of failureRate, up to averagedRequests.
	failureRate float64
	answers     float64 // Weight of logLatency and variance.
	logLatency  float64
	variance    float64
}

// averagedRequests is the number of requests over which rates average.
const averagedRequests = 200

// priorRequests weighs the failure rate that an endpoint is taken to have at first.
const priorRequests = 20

func (r *averages) addRequests(requests, failures float64) {
	if requests == 0 {
		return
	}
	r.requests = min(r.requests+requests, averagedRequests)
	weight := min(requests/(r.requests+priorRequests), 1)
	r.failureRate += weight * (failures/requests - r.failureRate)
}

func (r *averages) addAnswers(count, logLatency float64) {
	r.answers = min(r.answers+count, averagedRequests)
	weight := count / r.answers
	distance := logLatency - r.logLatency
	if r.answers > count {
		distance = min(max(distance, -maxResidual), maxResidual)
	}
	r.logLatency += weight * distance
	r.variance += weight * (distance*distance*(1-weight) - r.variance)
}

// centreOf returns the centre of several endpoints; fallback stands in for what too few requests tell.
func baselineOf(all []*averages, fallback baseline) baseline {
	var failureShare, latency, variance []float64
	for _, r := range all {
		if r.requests >= minBaselineRequests {
			failureShare = append(failureShare, r.failureRate)
		}
		if r.answers >= minBaselineRequests {
			latency = append(latency, r.logLatency)
			variance = append(variance, r.variance)
		}
	}
	c := fallback
	if len(failureShare) > 0 {
		c.failureRate = max(minFailureRate, 2*median(failureShare))
		c.failureRate = min(c.failureRate, maxBaselineFailureRate)
	}
	if len(latency) > 0 {
		c.latencyKnown = true
		c.logLatency = median(latency)
		c.sigma = max(minLogSigma, math.Sqrt(median(variance)+square(deviation(latency, c.logLatency))))
	}
	return c
}

// maxCentreFailureRate keeps the test defined when almost everything fails.
const maxBaselineFailureRate = 0.9

// deviation returns a robust standard deviation around a centre.
func deviation(values []float64, around float64) float64 {
	const madToSigma = 1.4826
	distances := make([]float64, len(values))
	for i, v := range values {
		distances[i] = math.Abs(v - around)
	}
	return madToSigma * median(distances)
}

func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	if n%2 == 1 {
		return values[n/2]
	}
	return (values[n/2-1] + values[n/2]) / 2
}

func square(x float64) float64 {
	return x * x
}
