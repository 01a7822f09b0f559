// Package placement assigns services and client accounts to instances by rendezvous hashing.
//
// Guarantees, for one set of instances, whatever the order in which it is given:
//
//   - every instance of the fleet that holds the same set comes to the same answers;
//   - the carriers of a service are spread over the zones as evenly as the zones' sizes allow;
//   - an instance that leaves changes the carriers of only those services that it carried,
//     and is replaced by one instance in each;
//   - an instance keeps its place when it restarts: the hash takes its ID, not its incarnation.
//
// A Map is immutable and safe for use by many goroutines. Slices that it returns are
// shared and must not be changed.
package placement
