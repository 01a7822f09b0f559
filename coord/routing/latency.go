package routing

import (
	"math/bits"
	"time"
)

const (
	latencySubBits    = 3  // Each power of two has 8 buckets: 12.5% resolution.
	latencyExponents  = 34 // Up to 2^34 microseconds, beyond any deadline.
	latencyBuckets    = latencyExponents << latencySubBits
	latencyWindow     = 10 * time.Second
	latencyMinSamples = 20
	latencyRefresh    = 64 // Samples between two computations of the quantiles.
)

// latencyWindowed is a histogram of latencies over the current and the former window.
type latencyWindowed struct {
	counts    [2][latencyBuckets]uint32
	totals    [2]int
	current   int
	startedAt time.Time
	quantile  float64
	stale     int
	median    time.Duration
	upper     time.Duration
}

// add records one latency.
func (l *latencyWindowed) add(now time.Time, latency time.Duration) {
	l.rotate(now)
	l.counts[l.current][latencyBucket(latency)]++
	l.totals[l.current]++
	l.stale++
	if l.stale >= latencyRefresh || l.samples() <= latencyRefresh {
		l.refresh()
	}
}

// rotate starts a new window when the current one has lasted long enough.
func (l *latencyWindowed) rotate(now time.Time) {
	if l.startedAt.IsZero() {
		l.startedAt = now
		return
	}
	age := now.Sub(l.startedAt)
	if age < latencyWindow {
		return
	}
	l.startedAt = now
	l.current = 1 - l.current
	l.clear(l.current)
	if age >= 2*latencyWindow {
		l.clear(1 - l.current)
	}
	l.refresh()
}

func (l *latencyWindowed) clear(window int) {
	l.counts[window] = [latencyBuckets]uint32{}
	l.totals[window] = 0
}

func (l *latencyWindowed) samples() int {
	return l.totals[0] + l.totals[1]
}

// refresh computes the median and the upper quantile in one pass.
func (l *latencyWindowed) refresh() {
	l.stale = 0
	l.median, l.upper = 0, 0
	total := l.samples()
	if total < latencyMinSamples {
		return
	}
	medianRank := total / 2
	upperRank := int(l.quantile * float64(total))
	seen := 0
	for i := range latencyBuckets {
		seen += int(l.counts[0][i]) + int(l.counts[1][i])
		if l.median == 0 && seen > medianRank {
			l.median = latencyBucketTop(i)
		}
		if seen > upperRank {
			l.upper = latencyBucketTop(i)
			return
		}
	}
	l.upper = latencyBucketTop(latencyBuckets - 1)
}

// latencyBucket returns the bucket of a latency.
func latencyBucket(latency time.Duration) int {
	micros := uint64(max(latency/time.Microsecond, 0))
	if micros < 1<<latencySubBits {
		return int(micros)
	}
	exponent := bits.Len64(micros) - 1 - latencySubBits
	sub := int(micros>>exponent) - 1<<latencySubBits
	return min((exponent+1)<<latencySubBits+sub, latencyBuckets-1)
}

// latencyBucketTop returns the least latency above a bucket.
func latencyBucketTop(bucket int) time.Duration {
	if bucket < 1<<latencySubBits {
		return time.Duration(bucket+1) * time.Microsecond
	}
	exponent := bucket>>latencySubBits - 1
	sub := bucket&(1<<latencySubBits-1) + 1<<latencySubBits
	return time.Duration(sub+1) << exponent * time.Microsecond
}
