package health

import (
	"math"
	"time"
)

// endpointMonth is the time over which false ejections are counted.
const endpointMonth = 30 * 24 * time.Hour

// Defaults of parameters that a template leaves out.
const (
	defaultFalseEjections    = 0.001 // Per endpoint-month.
	defaultRequestsPerSecond = 1.0
)

// testsPerRequest is the number of sequential tests that one request counts in: two for
// failures and one for slowness, each over all carriers and over those of one zone.
const testsPerRequest = 2 * numTests

// dependenceMargin divides the accepted number of false ejections, because concurrent requests
// at an endpoint are not independent.
const dependenceMargin = 5.0

// minLimit is the lowest score limit, in nats.
const minLimit = 3.0

// OperatingPoint is the trade-off between false ejections and detection time that a service's parameters set.
type OperatingPoint struct {
	Limit                          float64       // Score at which an endpoint is removed, in nats.
	FalseEjectionsPerEndpointMonth float64       // Accepted rate of ejections of healthy endpoints.
	RequestsPerSecondPerEndpoint   float64       // Rate that the times below assume.
	FailingDetectionTime           time.Duration // Expected, for an endpoint that fails referenceFailureRate of its requests.
	SlowDetectionTime              time.Duration // Expected, for an endpoint that is slower by referenceSlowFactor.
}

// Failures whose detection time Threshold gives.
const (
	referenceFailureRate = 0.3
	referenceSlowFactor  = 10.0
)

// Threshold returns the operating point of a service with the given number of endpoints.
//
// The mean number of requests between two false alarms of a cumulative-sum test with
// limit h is at least e^h, whatever the distribution of healthy requests. So the limit
// is the logarithm of the ratio of the samples of all tests on an endpoint in a month to the
// false ejections accepted in that month, with a margin.
func Threshold(p Parameters, endpoints int) OperatingPoint {
	accepted := p.FalseEjectionsPerEndpointMonth
	if accepted <= 0 {
		accepted = defaultFalseEjections
	}
	rate := p.ExpectedRequestsPerSecond
	if rate <= 0 {
		rate = defaultRequestsPerSecond
	}
	perEndpoint := rate / float64(max(endpoints, 1))
	perMonth := perEndpoint * endpointMonth.Seconds()
	limit := max(math.Log(dependenceMargin*float64(testsPerRequest)*perMonth/accepted), minLimit)
	b := defaultBaseline()
	failing := b.expectedFailureGain(referenceFailureRate)
	slow := b.slowGain(math.Log(referenceSlowFactor))
	wait := DefaultConfig().Interval / 2
	return OperatingPoint{
		Limit:                          limit,
		FalseEjectionsPerEndpointMonth: accepted,
		RequestsPerSecondPerEndpoint:   perEndpoint,
		FailingDetectionTime:           wait + seconds(limit/failing/perEndpoint),
		SlowDetectionTime:              wait + seconds(limit/slow/perEndpoint),
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
