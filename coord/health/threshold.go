package health

import (
	"math"
	"time"
)

// endpointMonth is the time over which false ejections are counted.
const endpointMonth = 30 * 24 * time.Hour

// Defaults for parameters that a template leaves out.
const (
	defaultFalseEjections    = 0.001 // Per endpoint-month.
	defaultRequestsPerSecond = 1.0
)

// testsPerRequest is the number of sequential tests that one request takes part in:
// two for failures and one for slowness, over all carriers and over those of one zone.
const testsPerRequest = 2 * numTests

// dependenceMargin divides the accepted false ejections: requests that an endpoint runs
// at the same time are not independent of each other.
const dependenceMargin = 5.0

// minLimit is the lowest score limit, in nats.
const minLimit = 3.0

// OperatingPoint is the point on the operating curve that a service's parameters set.
type OperatingPoint struct {
	Limit                          float64       // Score at which an endpoint is ejected, in nats.
	FalseEjectionsPerEndpointMonth float64       // Accepted of healthy endpoints.
	RequestsPerSecondPerEndpoint   float64       // On which the times below rest.
	FailingDetectionTime           time.Duration // Expected for an endpoint that fails 30% of its work.
	SlowDetectionTime              time.Duration // Expected for an endpoint that is 10 times slower.
}

// Faults whose detection time Threshold gives.
const (
	referenceFailureRate = 0.3
	referenceSlowFactor  = 10.0
)

// Threshold returns the operating point of a service with a number of endpoints.
//
// The mean number of requests between two false alarms of a cumulative-sum test with
// limit h is at least e^h, whatever the distribution of healthy requests. So the limit
// is the logarithm of the tests that an endpoint takes part in per month over the
// false ejections accepted in it, with a margin.
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
	c := defaultBaseline()
	failing := c.expectedFailureGain(referenceFailureRate)
	slow := c.slowGain(math.Log(referenceSlowFactor))
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
