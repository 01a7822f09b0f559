package demo

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// startsPerEndpoint is how many starts per endpoint a window must hold before an
// endpoint without a start counts as out of service.
const startsPerEndpoint = 20

// windowStep is the least length of a window.
const windowStep = time.Second

// starved is what the windows of one service showed.
type starved struct {
	breaches  int
	endpoints map[fleet.Endpoint]bool // Healthy ones that got no work in some window.
}

// examine looks at the starts of a service's endpoints, in windows from start to end
// that are long enough for each endpoint in service to have started work. Endpoints in
// faulty are left out: they had a fault or left during the demo.
func examine(endpoints []*upstream.Endpoint, faulty map[fleet.Endpoint]bool, floor int, start, end time.Time) starved {
	found := starved{endpoints: make(map[fleet.Endpoint]bool)}
	for a := start; a.Before(end); {
		b := windowEnd(endpoints, a, end)
		if b.IsZero() {
			return found
		}
		found.window(endpoints, faulty, floor, a, b)
		a = b
	}
	return found
}

// windowEnd returns the end of the window that begins at a, or zero when the demo ends first.
func windowEnd(endpoints []*upstream.Endpoint, a, end time.Time) time.Time {
	for b := a.Add(windowStep); !b.After(end); b = b.Add(windowStep) {
		total := 0
		for _, e := range endpoints {
			total += e.StartsBetween(a, b)
		}
		if total >= startsPerEndpoint*len(endpoints) {
			return b
		}
	}
	return time.Time{}
}

// window counts a breach when the healthy slots that got work are below the floor.
func (s *starved) window(endpoints []*upstream.Endpoint, faulty map[fleet.Endpoint]bool, floor int, a, b time.Time) {
	inService := 0
	healthy := 0
	for _, e := range endpoints {
		if faulty[e.Addr()] {
			continue
		}
		slots := e.Upstream().Slots
		healthy += slots
		if e.StartsBetween(a, b) > 0 {
			inService += slots
			continue
		}
		s.endpoints[e.Addr()] = true
	}
	if inService < min(floor, healthy) {
		s.breaches++
	}
}

// Parameters of detection.
const (
	detectionStep   = 50 * time.Millisecond
	detectionWindow = time.Second
	detectionShare  = 0.1 // Of an equal share of the service's starts.
)

// detection returns the time from a fault until its endpoint gets, for a second, less
// than detectionShare of an equal share of the service's work. It is false when that
// does not happen before the fault ends.
func detection(endpoints []*upstream.Endpoint, gray *upstream.Endpoint, from, until time.Time) (time.Duration, bool) {
	for a := from; !a.Add(detectionWindow).After(until); a = a.Add(detectionStep) {
		b := a.Add(detectionWindow)
		total := 0
		for _, e := range endpoints {
			total += e.StartsBetween(a, b)
		}
		equal := float64(total) / float64(len(endpoints))
		if float64(gray.StartsBetween(a, b)) < detectionShare*equal {
			return a.Sub(from), true
		}
	}
	return 0, false
}
