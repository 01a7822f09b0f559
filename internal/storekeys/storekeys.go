// Package storekeys names the keys of the platform's store that a fleet uses.
package storekeys

import "github.com/damaskcove/damaskcove/coord/rollout"

// Keys names the keys of one fleet.
type Keys struct {
	Fleet string
}

// Head returns the key of the configuration's head.
func (k Keys) Head() string {
	return k.Fleet + "/config/head"
}

// Shard returns the key of a snapshot shard.
func (k Keys) Shard(d rollout.Digest) string {
	return k.Fleet + "/config/shard/" + d.String()
}

// Roster returns the key of the roster record.
func (k Keys) Roster() string {
	return k.Fleet + "/roster"
}
