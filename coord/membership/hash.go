package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// mix spreads the bits of x over the whole word; it is a bijection.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

func hashID(id fleet.InstanceID) uint64 {
	return xxhash.Sum64String(string(id))
}

func hashRef(r fleet.Ref) uint64 {
	return mix(hashID(r.ID) + uint64(r.Incarnation))
}
