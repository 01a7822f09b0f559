package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/internal/mix"
)

func hashID(id fleet.InstanceID) uint64 {
	return xxhash.Sum64String(string(id))
}

func hashRef(r fleet.Ref) uint64 {
	return mix.Mix(hashID(r.ID) + uint64(r.Incarnation))
}
