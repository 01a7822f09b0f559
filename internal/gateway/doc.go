// Package gateway is one instance of the fleet on the users' platform.
//
// One goroutine, the control loop, owns what the instance believes: the configuration, the
// upstreams, the other instances and the work in flight. Goroutines of requests ask it for
// endpoints and tell it how requests ended; they read everything else from an immutable
// Snapshot. Other goroutines follow the platform's store, hold the instance's lease and
// receive datagrams, and hand what they learn to the control loop.
package gateway
