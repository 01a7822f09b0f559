package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/damaskcove/damaskcove/coord/internal/mix"
)

// Salts keep the rankings of different duties independent.
const (
	saltCarrier uint64 = 0x9ae16a3b2f90404f
	saltJudge   uint64 = 0xc949d7c7509e6557
	saltEntry   uint64 = 0xff51afd7ed558ccd
	saltWitness uint64 = 0xc4ceb9fe1a85ec53
	saltWatcher uint64 = 0x8a5cd789635d2dff
	saltZone    uint64 = 0x2545f4914f6cdd1d
)

// hashName returns the hash of a name.
func hashName(name string) uint64 {
	return xxhash.Sum64String(name)
}

// keyOf combines a salt with the hashes of one or two names.
func keyOf(salt, first, second uint64) uint64 {
	return mix.Mix(mix.Mix(salt^first) + second)
}

// score ranks a node, by its hash, for a key. The highest wins.
func score(key, node uint64) uint64 {
	return mix.Mix(key ^ node)
}
