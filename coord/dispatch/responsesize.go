package dispatch

// Responses of a class, mostly of a route, are of about one size, which is averaged over past
// responses. It decides how strongly an endpoint of the own availability zone is preferred.
//
// This keeps downloads in their zone: they are a small part of the requests, but make up nearly
// all bytes between zones if they are placed like lookups of a few hundred bytes.

const (
	// crossZoneCostPerKB is the part of a request's credit that a kilobyte between zones costs.
	crossZoneCostPerKB = 0.02
	// maxCrossZoneCost bounds it, so that a healthy endpoint elsewhere goes before one here that
	// most likely fails or responds late.
	maxCrossZoneCost = 0.4
	// defaultLargeKB and defaultKB are assumed for a class without any response yet.
	defaultLargeKB = 64
	defaultKB      = 1.5
)

// RecordResponseSize records the size of a response body to a request of a class.
func (m *Machine) RecordResponseSize(class string, bytes int) {
	s := m.responseKB[class]
	if s == nil {
		s = &ewma[float64]{}
		m.responseKB[class] = s
	}
	s.add(float64(bytes) / 1024)
}

// CrossZoneCost returns the part of a request's credit that its response costs if it comes from
// another zone. large says whether responses of the class are large.
func (m *Machine) CrossZoneCost(class string, large bool) float64 {
	kilobytes := defaultKB
	if large {
		kilobytes = defaultLargeKB
	}
	if s := m.responseKB[class]; s != nil {
		kilobytes = s.mean
	}
	return min(crossZoneCostPerKB*kilobytes, maxCrossZoneCost)
}
