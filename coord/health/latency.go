package health

import (
	"math"
	"time"
)

// Bins of latency: their width is constant in the logarithm.
const (
	minBinLatency = 100 * time.Microsecond // Latency of bin 0.
	binsPerNat    = 8
	maxBin        = 160 // About 13 hours.
	maxBinCount   = math.MaxUint8
)

// binOf returns the bin of a latency.
func binOf(latency time.Duration) uint8 {
	if latency <= minBinLatency {
		return 0
	}
	bin := math.Round(binsPerNat * math.Log(float64(latency)/float64(minBinLatency)))
	return uint8(min(bin, maxBin))
}

// logOfBin returns the natural logarithm of a bin's latency over binFirst.
func logOfBin(bin uint8) float64 {
	return float64(bin) / binsPerNat
}
