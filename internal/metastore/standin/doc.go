// Package standin emulates the platform for tests and demonstrations: its key-value
// store and its list of instances, with fault injection.
//
// A Platform implements metastore.Store and metastore.List in memory. Serve offers it
// over the platform's HTTP protocol, with the paths of package protocol and, under
// /admin, its faults, counts and list.
//
// It gives the platform's guarantees: a compare-and-swap takes effect once or not at
// all; versions of a key never repeat, even after the key is removed; a key written
// under a lease is removed when the lease expires; a waiting watch returns the latest
// version. Nothing is stored on disk.
package standin
