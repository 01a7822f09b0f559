// Package placement assigns services and client accounts to instances by rendezvous hashing.
//
// A carrier of a service is an instance that routes the service's requests.
//
// Guarantees, for one set of instances in any order:
//
//   - All instances of the fleet that use the same set compute the same placement.
//   - The carriers of a service are spread over the zones as evenly as the zones' sizes allow.
//   - An instance that leaves changes the carriers of only those services that it carried,
//     and is replaced by one instance in each.
//   - An instance keeps its placement when it restarts: only its ID is hashed, not its
//     incarnation.
//
// A Map is immutable and safe for concurrent use. The slices that it returns are shared and
// must not be modified.
package placement
