// Package gateway implements one instance of the proxy fleet on the users' platform.
//
// One goroutine, the control loop, owns the instance's state: the configuration, the
// upstreams, the other instances and the requests in flight. Request goroutines acquire
// endpoints from it and report how requests ended; they read everything else from an
// immutable Snapshot. Other goroutines follow the platform's store, keep the instance's
// registration alive and receive datagrams; they post updates to the control loop.
//
// In each availability zone two instances follow the store and forward its changes to the
// others (changes.go, follower.go). In a small fleet every instance reports its requests to all
// others and picks endpoints itself. In a large one, from place.brokers_from instances on, each
// zone has a few coordinators, which report which instances are alive (coordinator.go) and act as
// brokers: each service has one broker per zone, which picks the endpoints (placement.go,
// broker.go).
package gateway
