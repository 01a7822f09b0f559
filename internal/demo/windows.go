package demo

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// startsPerEndpoint is the mean number of starts per endpoint that a window must contain, so
// that an endpoint without a start in it counts as out of service.
const startsPerEndpoint = 20

// windowStep is the minimum length of a window, and the step by which it grows.
const windowStep = time.Second

// windowFindings are the results of the windows of one service.
type windowFindings struct {
	floorViolations int                     // Windows in which too few healthy slots got work.
	endpoints       map[fleet.Endpoint]bool // Healthy endpoints without a start in some window.
}

// examineWindows checks the starts of a service's endpoints in windows from start to end. Each
// window is long enough for every endpoint in service to start work. It ignores excluded
// endpoints, which had a fault or drained during the demo.
func examineWindows(endpoints []*upstream.Endpoint, excluded map[fleet.Endpoint]bool, floor int, start, end time.Time) windowFindings {
	findings := windowFindings{endpoints: make(map[fleet.Endpoint]bool)}
	for begin := start; begin.Before(end); {
		finish := windowEnd(endpoints, begin, end)
		if finish.IsZero() {
			return findings
		}
		findings.addWindow(endpoints, excluded, floor, begin, finish)
		begin = finish
	}
	return findings
}

// windowEnd returns the end of the window that starts at begin, or zero if the demo ends first.
func windowEnd(endpoints []*upstream.Endpoint, begin, end time.Time) time.Time {
	for finish := begin.Add(windowStep); !finish.After(end); finish = finish.Add(windowStep) {
		total := 0
		for _, e := range endpoints {
			total += e.StartsBetween(begin, finish)
		}
		if total >= startsPerEndpoint*len(endpoints) {
			return finish
		}
	}
	return time.Time{}
}

// addWindow counts a violation if the healthy slots that got work are below the floor.
func (f *windowFindings) addWindow(endpoints []*upstream.Endpoint, excluded map[fleet.Endpoint]bool, floor int, begin, finish time.Time) {
	inService := 0
	healthy := 0
	for _, e := range endpoints {
		if excluded[e.Addr()] {
			continue
		}
		slots := e.Upstream().Slots
		healthy += slots
		if e.StartsBetween(begin, finish) > 0 {
			inService += slots
			continue
		}
		f.endpoints[e.Addr()] = true
	}
	if inService < min(floor, healthy) {
		f.floorViolations++
	}
}

// A gray endpoint is detected when, for detectionWindow, it gets less than detectionShare of
// the starts that each endpoint would get in equal shares.
const (
	detectionStep   = 50 * time.Millisecond
	detectionWindow = time.Second
	detectionShare  = 0.1 // Of an equal share.
)

// detection returns the time from the onset of a fault until its endpoint is detected, or
// false if the fault ends first.
func detection(endpoints []*upstream.Endpoint, gray *upstream.Endpoint, from, until time.Time) (time.Duration, bool) {
	for begin := from; !begin.Add(detectionWindow).After(until); begin = begin.Add(detectionStep) {
		finish := begin.Add(detectionWindow)
		total := 0
		for _, e := range endpoints {
			total += e.StartsBetween(begin, finish)
		}
		equalShare := float64(total) / float64(len(endpoints))
		if float64(gray.StartsBetween(begin, finish)) < detectionShare*equalShare {
			return begin.Sub(from), true
		}
	}
	return 0, false
}
