// Package local runs a whole fleet in one process on loopback, for the demo and for
// tests of failures: the platform's stand-in, upstream stand-ins and real instances.
//
// Instances reach the platform, each other and the upstreams over TCP as they would
// elsewhere. Faults are injected at the interfaces: directions between instances are
// cut, instances are killed with their callers' connections, the platform and the
// upstreams have faults of their own.
package local
