package dispatch

// Answers of a class, mostly of a route, are of about one size, which is learned from those
// that came. It decides how much an endpoint of the own availability zone is preferred.
//
// The load pattern that it answers: downloads, a small part of the requests, make up nearly
// all bytes between zones when they are placed like lookups of a few hundred bytes.

const (
	// crossingPerKB is the part of a request's credit that a kilobyte between zones may cost.
	crossingPerKB = 0.02
	// crossingMost bounds it: a sound endpoint elsewhere goes before one that most likely
	// fails here, and before an answer that comes late.
	crossingMost = 0.4
	// largeAnswerKB and usualAnswerKB are taken for a class of which no answer is known.
	largeAnswerKB = 64
	usualAnswerKB = 1.5
)

// RecordResponseSize takes in the size of an answer's body to a request of a class.
func (m *Machine) RecordResponseSize(class string, bytes int) {
	s := m.sizes[class]
	if s == nil {
		s = &average[float64]{}
		m.sizes[class] = s
	}
	s.add(float64(bytes) / 1024)
}

// CrossZoneCost returns the part of a request's credit that its answer costs if it comes from
// another zone. large tells that answers of the class are large.
func (m *Machine) CrossZoneCost(class string, large bool) float64 {
	kilobytes := usualAnswerKB
	if large {
		kilobytes = largeAnswerKB
	}
	if s := m.sizes[class]; s != nil {
		kilobytes = s.mean
	}
	return min(crossingPerKB*kilobytes, crossingMost)
}
