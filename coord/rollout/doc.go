// Package rollout distributes configuration revisions from the store to every instance; no instance returns to a lower revision.
//
// Operators propose changes; a change is accepted when the compare-and-swap of the head
// succeeds. The head contains the revision, the latest changes inline and the digests of the
// snapshot's shards, which are stored under their digests.
//
// Guarantees of a Machine:
//
//   - it never applies a lower revision than the active one;
//   - it applies only complete configurations: contiguous changes to the active one, or
//     every shard of a snapshot, each of which matches its digest, and the changes after it;
//   - rejected input (a message of another fleet, a wrong digest, a malformed head) is counted
//     and does not affect the active configuration;
//   - an accepted change reaches every instance that has a path of connected instances to one
//     that has read it from the store.
package rollout
