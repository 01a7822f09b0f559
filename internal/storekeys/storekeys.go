// Package storekeys defines the keys that a fleet uses in the platform's store.
package storekeys

import "github.com/damaskcove/damaskcove/coord/rollout"

// Keys builds the keys of one fleet.
type Keys struct {
	Fleet string
}

// Head returns the key of the configuration head.
func (k Keys) Head() string {
	return k.Fleet + "/config/head"
}

// Shard returns the key of one shard of a configuration snapshot.
func (k Keys) Shard(d rollout.Digest) string {
	return k.Fleet + "/config/shard/" + d.String()
}

// Roster returns the key of the roster record.
func (k Keys) Roster() string {
	return k.Fleet + "/roster"
}
