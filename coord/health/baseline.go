package health

import (
	"math"
	"slices"
)

// Parameters of the sequential tests. A gain is the log-likelihood ratio of one request
// (unhealthy endpoint against healthy endpoint), in nats.
const (
	minFailureRate     = 0.01 // Least failure rate that the test assumes of a healthy endpoint.
	minLogSigma        = 0.35 // Least standard deviation of the logarithm of latency.
	priorLogSigma      = 0.6
	minSlowShift       = math.Ln2
	slowShiftSigmas    = 2.0
	minSlowSpread      = 0.9   // Least standard deviation of the slowness of a slow endpoint, in nats.
	slowMeanAboveShift = 0.5   // Mean slowness of a slow endpoint above slowShift, in nats.
	outlierShare       = 0.015 // Share of healthy requests whose latency may be anything.
	outlierRange       = 5.0   // Width of the uniform distribution of those latencies, in nats.
	maxSlowGain        = 5.0
	minSlowGain        = -3.0
	maxResidual        = 2.5 // Bound of a latency's distance from the baseline, in nats.
)

// extraFailureShares are the assumed failure shares of an unhealthy endpoint, by test: of the
// requests that a healthy endpoint would answer, the share that the unhealthy one fails.
var extraFailureShares = [...]float64{testSomeFail: 0.2, testMostFail: 0.8}

// minBaselineRequests is the number of requests from which an endpoint's averages enter the baseline.
const minBaselineRequests = 5

// baseline is what a healthy request of a service looks like: robust averages (medians) over its endpoints.
type baseline struct {
	failureRate  float64
	logLatency   float64
	sigma        float64
	latencyKnown bool // logLatency was measured; without measurements slowness is not tested.
}

func defaultBaseline() baseline {
	return baseline{failureRate: minFailureRate, sigma: priorLogSigma}
}

// failureGains returns the gains of a failed and of an answered request, for the failure rate of a
// healthy endpoint and the share of the other requests that an unhealthy endpoint also fails.
func failureGains(healthyRate, extraShare float64) (failed, answered float64) {
	unhealthyRate := healthyRate + extraShare*(1-healthyRate)
	return math.Log(unhealthyRate / healthyRate), math.Log((1 - unhealthyRate) / (1 - healthyRate))
}

// expectedFailureGain returns the mean gain of a request at an endpoint that fails a share of its requests.
func (b baseline) expectedFailureGain(failureShare float64) float64 {
	failed, answered := failureGains(b.failureRate, extraFailureShares[testSomeFail])
	return failureShare*failed + (1-failureShare)*answered
}

// slowShift returns the least slowness that the test looks for, in nats of latency.
func (b baseline) slowShift() float64 {
	return max(minSlowShift, slowShiftSigmas*b.sigma)
}

// slowGain returns the gain of a request whose log-latency differs from the baseline by residual.
// Healthy latencies are lognormal with a few uniform outliers; those of a slow endpoint are
// broadly distributed around a mean above slowShift.
func (b baseline) slowGain(residual float64) float64 {
	spread := max(minSlowSpread, 1.5*b.sigma)
	slowDensity := normalDensity(residual-b.slowShift()-slowMeanAboveShift, spread)
	healthyDensity := (1-outlierShare)*normalDensity(residual, b.sigma) + outlierShare/outlierRange
	return min(max(math.Log(slowDensity/healthyDensity), minSlowGain), maxSlowGain)
}

func normalDensity(distance, sigma float64) float64 {
	return math.Exp(-square(distance/sigma)/2) / (sigma * math.Sqrt(2*math.Pi))
}

// residual returns the distance of a bin's log-latency from the baseline, in nats, within maxResidual.
func (b baseline) residual(bin uint8) float64 {
	return min(max(logOfBin(bin)-b.logLatency, -maxResidual), maxResidual)
}

// averages are moving averages over the requests of one endpoint.
type averages struct {
	requests    float64 // Weight of failureRate, up to averagedRequests.
	failureRate float64
	answers     float64 // Weight of logLatency and variance.
	logLatency  float64
	variance    float64
}

// averagedRequests is the number of requests that the moving averages span.
const averagedRequests = 200

// priorRequests is the weight of the prior failure rate of 0, in requests.
const priorRequests = 20

func (a *averages) addRequests(requests, failures float64) {
	if requests == 0 {
		return
	}
	a.requests = min(a.requests+requests, averagedRequests)
	weight := min(requests/(a.requests+priorRequests), 1)
	a.failureRate += weight * (failures/requests - a.failureRate)
}

func (a *averages) addAnswers(count, logLatency float64) {
	a.answers = min(a.answers+count, averagedRequests)
	weight := count / a.answers
	distance := logLatency - a.logLatency
	if a.answers > count {
		distance = min(max(distance, -maxResidual), maxResidual)
	}
	a.logLatency += weight * distance
	a.variance += weight * (distance*distance*(1-weight) - a.variance)
}

// baselineOf returns the baseline of several endpoints. Values for which there are too
// few requests come from fallback.
func baselineOf(all []*averages, fallback baseline) baseline {
	var failureRates, logLatencies, variances []float64
	for _, a := range all {
		if a.requests >= minBaselineRequests {
			failureRates = append(failureRates, a.failureRate)
		}
		if a.answers >= minBaselineRequests {
			logLatencies = append(logLatencies, a.logLatency)
			variances = append(variances, a.variance)
		}
	}
	b := fallback
	if len(failureRates) > 0 {
		b.failureRate = max(minFailureRate, 2*median(failureRates))
		b.failureRate = min(b.failureRate, maxBaselineFailureRate)
	}
	if len(logLatencies) > 0 {
		b.latencyKnown = true
		b.logLatency = median(logLatencies)
		b.sigma = max(minLogSigma, math.Sqrt(median(variances)+square(deviation(logLatencies, b.logLatency))))
	}
	return b
}

// maxBaselineFailureRate keeps the test defined when almost all requests fail.
const maxBaselineFailureRate = 0.9

// deviation returns a robust standard deviation around a value, from the median absolute deviation.
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
