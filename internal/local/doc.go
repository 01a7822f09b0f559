// Package local runs a whole fleet in one process on loopback, for the demo and for
// failure tests: emulated platform and upstreams, and real instances.
//
// Instances connect to the platform, to each other and to the upstreams over TCP, as in
// production. Faults are injected at the interfaces: links between instances are blocked
// in one direction, instances are killed together with their callers' connections, and
// the platform and the upstreams have fault injection of their own.
package local
