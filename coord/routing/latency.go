package routing

import (
	"math/bits"
	"time"
)

const (
	latencySubBits    = 3  // 8 buckets for each power of two: 12.5% resolution.
	latencyExponents  = 34 // Up to 2^34 microseconds, more than any deadline.
	latencyBuckets    = latencyExponents << latencySubBits
	latencyWindow     = 10 * time.Second
	latencyMinSamples = 20
	latencyRefresh    = 64 // Samples between two updates of the quantiles; up to that many, each sample updates them.
)

// latencyHistogram counts latencies in the current and the previous window.
type latencyHistogram struct {
	counts        [2][latencyBuckets]uint32
	totals        [2]int
	current       int
	startedAt     time.Time
	quantile      float64
	sinceRefresh  int
	median        time.Duration
	upperQuantile time.Duration
}

func (l *latencyHistogram) add(now time.Time, latency time.Duration) {
	l.rotate(now)
	l.counts[l.current][latencyBucket(latency)]++
	l.totals[l.current]++
	l.sinceRefresh++
	if l.sinceRefresh >= latencyRefresh || l.samples() <= latencyRefresh {
		l.refresh()
	}
}

// rotate starts a new window when the current one is latencyWindow old.
func (l *latencyHistogram) rotate(now time.Time) {
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
	l.clearWindow(l.current)
	if age >= 2*latencyWindow {
		l.clearWindow(1 - l.current)
	}
	l.refresh()
}

func (l *latencyHistogram) clearWindow(window int) {
	l.counts[window] = [latencyBuckets]uint32{}
	l.totals[window] = 0
}

func (l *latencyHistogram) samples() int {
	return l.totals[0] + l.totals[1]
}

// refresh updates the median and the upper quantile in one pass. Both are zero while
// there are too few samples.
func (l *latencyHistogram) refresh() {
	l.sinceRefresh = 0
	l.median, l.upperQuantile = 0, 0
	total := l.samples()
	if total < latencyMinSamples {
		return
	}
	medianRank := total / 2
	upperRank := int(l.quantile * float64(total))
	cumulative := 0
	for i := range latencyBuckets {
		cumulative += int(l.counts[0][i]) + int(l.counts[1][i])
		if l.median == 0 && cumulative > medianRank {
			l.median = latencyBucketTop(i)
		}
		if cumulative > upperRank {
			l.upperQuantile = latencyBucketTop(i)
			return
		}
	}
	l.upperQuantile = latencyBucketTop(latencyBuckets - 1)
}

func latencyBucket(latency time.Duration) int {
	micros := uint64(max(latency/time.Microsecond, 0))
	if micros < 1<<latencySubBits {
		return int(micros)
	}
	exponent := bits.Len64(micros) - 1 - latencySubBits
	sub := int(micros>>exponent) - 1<<latencySubBits
	return min((exponent+1)<<latencySubBits+sub, latencyBuckets-1)
}

// latencyBucketTop returns the exclusive upper bound of a bucket.
func latencyBucketTop(bucket int) time.Duration {
	if bucket < 1<<latencySubBits {
		return time.Duration(bucket+1) * time.Microsecond
	}
	exponent := bucket>>latencySubBits - 1
	sub := bucket&(1<<latencySubBits-1) + 1<<latencySubBits
	return time.Duration(sub+1) << exponent * time.Microsecond
}
