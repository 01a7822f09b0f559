// Package mix provides the bit mixer that the coordination packages use for hashing.
package mix

// Mix is the finalizer of SplitMix64: a bijection in which every bit of x affects every bit of the result.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
