// Package rollout carries configuration revisions from the store to every instance and never goes back.
//
// Operators propose changes; a change is accepted when the compare-and-swap of the head
// succeeds. The head holds the revision, the latest changes inline and the digests of the
// snapshot's shards, which are stored under their digests.
//
// Guarantees of a Machine:
//
//   - it never applies a lower revision than the one in force;
//   - it applies a configuration only whole: contiguous changes onto the one in force, or
//     every shard of a snapshot, each of which matched its digest, and the changes after it;
//   - what it refuses (another fleet's message, a wrong digest, a malformed head) is counted
//     and leaves the configuration in force as it was;
//   - an accepted change reaches every instance that is connected, through instances that
//     are, to one that has read it.
package rollout
