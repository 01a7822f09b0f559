package health

import "fmt"

// Bounds of valid evidence.
const (
	maxReportRequests = 10_000 // Of one carrier to one endpoint between two messages.
	maxReports        = 4_096
)

// validate returns an error for evidence that no carrier sends.
func (e *Evidence) validate() error {
	if e.Sequence == 0 {
		return fmt.Errorf("sequence is 0")
	}
	if err := validateReports("report", e.Reports); err != nil {
		return err
	}
	return validateReports("trial", e.Trials)
}

func validateReports(name string, reports []Report) error {
	if len(reports) > maxReports {
		return fmt.Errorf("%d %ss exceed the maximum of %d", len(reports), name, maxReports)
	}
	seen := make(map[EndpointKey]struct{}, len(reports))
	for _, r := range reports {
		if _, twice := seen[r.Endpoint]; twice {
			return fmt.Errorf("duplicate %s of endpoint %08x", name, r.Endpoint)
		}
		seen[r.Endpoint] = struct{}{}
		if err := r.validate(); err != nil {
			return fmt.Errorf("%s of endpoint %08x: %w", name, r.Endpoint, err)
		}
	}
	return nil
}

func (r Report) validate() error {
	if r.Requests == 0 || r.Requests > maxReportRequests {
		return fmt.Errorf("%d requests are not between 1 and %d", r.Requests, maxReportRequests)
	}
	if r.Failures > r.Requests {
		return fmt.Errorf("%d failures exceed %d requests", r.Failures, r.Requests)
	}
	if len(r.Latency)%2 != 0 || len(r.Latency) > 2*maxLatencyPairs {
		return fmt.Errorf("%d bytes of latency are an odd number or exceed %d", len(r.Latency), 2*maxLatencyPairs)
	}
	answers := uint32(0)
	for i := 0; i < len(r.Latency); i += 2 {
		if r.Latency[i] > maxBin {
			return fmt.Errorf("latency bin %d exceeds %d", r.Latency[i], maxBin)
		}
		answers += uint32(r.Latency[i+1])
	}
	if answers > r.Requests-r.Failures {
		return fmt.Errorf("%d latencies exceed %d answers", answers, r.Requests-r.Failures)
	}
	return nil
}
