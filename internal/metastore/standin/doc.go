// Package standin is a stand-in of the platform for tests and demonstrations: its
// key-value store and its list of instances, with faults that can be switched.
//
// A Platform is a platform.Store and a platform.List by itself, without a network.
// Serve puts it behind the platform's HTTP protocol on a loopback address, with
// the endpoints of package protocol and, under PathAdmin, its faults and counts.
//
// It guarantees what the platform does: a compare-and-swap takes effect once or not
// at all; versions of a key never repeat, also after the key was removed; a key that
// was written under a lease is removed when the lease lapses; a watch that waits sees
// the latest version. It keeps nothing when the process ends.
package standin
