package health

import (
	"math"
	"time"
)

// Latency histogram with logarithmic bins.
const (
	minBinLatency = 100 * time.Microsecond // Latency of bin 0.
	binsPerNat    = 8
	maxBin        = 160 // A latency of about 13 hours.
	maxBinCount   = math.MaxUint8
)

func binOf(latency time.Duration) uint8 {
	if latency <= minBinLatency {
		return 0
	}
	bin := math.Round(binsPerNat * math.Log(float64(latency)/float64(minBinLatency)))
	return uint8(min(bin, maxBin))
}

// logOfBin returns the natural logarithm of the ratio of a bin's latency to minBinLatency.
func logOfBin(bin uint8) float64 {
	return float64(bin) / binsPerNat
}
