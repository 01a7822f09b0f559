package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/damaskcove/damaskcove/coord/internal/mix"
)

// Salts make the rankings for different purposes independent.
const (
	saltCarrier   uint64 = 0x9ae16a3b2f90404f
	saltEvaluator uint64 = 0xc949d7c7509e6557
	saltEntry     uint64 = 0xff51afd7ed558ccd
	saltWitness   uint64 = 0xc4ceb9fe1a85ec53
	saltWatcher   uint64 = 0x8a5cd789635d2dff
	saltZone      uint64 = 0x2545f4914f6cdd1d
)

func hashName(name string) uint64 {
	return xxhash.Sum64String(name)
}

// keyOf returns the key of a ranking: a salt combined with the hashes of one or two names.
// second is 0 when there is only one.
func keyOf(salt, first, second uint64) uint64 {
	return mix.Mix(mix.Mix(salt^first) + second)
}

// score returns the rendezvous score of a node's hash for a key. The highest score wins.
func score(key, node uint64) uint64 {
	return mix.Mix(key ^ node)
}
