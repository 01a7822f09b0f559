// Package listing gives every instance the platform's list of live and leaving instances.
//
// Few instances, the watchers, read the list about once a second. They push what changed
// to the members that Options.Peers names, and between changes a short message that says which version is
// current. A member reads the list itself only after it has heard nothing for WatcherTimeout. So
// calls of the platform grow with the zones, and not with the fleet.
//
// Guarantees: the snapshot's version never goes down; a change is applied only to the very version that
// it was made from, and a member that missed one asks the sender for the whole list; entries of
// the list that name no IP number and port, or have no slots or no known state, are dropped and counted.
package listing
