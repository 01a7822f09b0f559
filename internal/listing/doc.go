// Package listing distributes the platform's list of upstreams and instances in the fleet.
//
// A few instances, the watchers, read the list about once a second. They push changes to the
// members that Options.Peers returns, and in between a short message with the current version.
// A member reads the list itself only if no message has arrived for WatcherTimeout. The number
// of platform calls therefore grows with the number of zones, not with the size of the fleet.
//
// Guarantees:
//   - The snapshot's version never decreases.
//   - A change is applied only to the version it was computed from. A member that missed one
//     requests the full list from the sender.
//   - Entries without an IP address and port, and endpoints without a valid number of slots or
//     a known state, are dropped and counted.
package listing
