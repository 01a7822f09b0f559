package health

import (
	"cmp"
	"maps"
	"slices"
)

// maxLatencyPairs bounds the number of latency bins in one report.
const maxLatencyPairs = 32

// tally counts the attempts on one endpoint.
type tally struct {
	requests uint32
	failures uint32
	bins     map[uint8]uint8
}

// collector counts the attempts per endpoint between two Evidence messages.
type collector struct {
	tallies map[EndpointKey]*tally
	failed  bool // At least one attempt failed.
}

func newCollector() collector {
	return collector{tallies: make(map[EndpointKey]*tally)}
}

func (c *collector) empty() bool {
	return len(c.tallies) == 0
}

func (c *collector) add(key EndpointKey, a Attempt) {
	t := c.tallies[key]
	if t == nil {
		t = &tally{bins: make(map[uint8]uint8)}
		c.tallies[key] = t
	}
	if t.requests >= maxReportRequests {
		return
	}
	t.requests++
	if a.Failed {
		t.failures++
		c.failed = true
		return
	}
	t.addLatency(binOf(a.Latency))
}

// addLatency counts a latency. One that exceeds the bounds of a report is left out; its request still counts.
func (t *tally) addLatency(bin uint8) {
	count, known := t.bins[bin]
	if count == maxBinCount || (!known && len(t.bins) == maxLatencyPairs) {
		return
	}
	t.bins[bin] = count + 1
}

// take returns the reports in the order of their endpoint keys and resets the collector.
func (c *collector) take() []Report {
	if c.empty() {
		return nil
	}
	reports := make([]Report, 0, len(c.tallies))
	for key, t := range c.tallies {
		reports = append(reports, Report{Endpoint: key, Requests: t.requests, Failures: t.failures, Latency: t.latency()})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	clear(c.tallies)
	c.failed = false
	return reports
}

// latency returns pairs of a bin and its count, in ascending order of the bin.
func (t *tally) latency() []byte {
	bins := slices.Sorted(maps.Keys(t.bins))
	pairs := make([]byte, 0, 2*len(bins))
	for _, bin := range bins {
		pairs = append(pairs, bin, t.bins[bin])
	}
	return pairs
}
