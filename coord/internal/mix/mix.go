// Package mix holds the mixing function that the coordination packages hash with.
package mix

// Mix spreads the bits of x over the whole word; it is a bijection.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
