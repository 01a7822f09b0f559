// Package soak runs a fleet of real damaskgate processes on loopback, against stand-ins of the
// platform's store, the upstreams, the callers and the operator, with faults drawn from a seed, and
// judges what callers, upstreams and the operator saw.
//
// The fault schedule follows from the seed; the order of events in the processes doesn't. A finding
// therefore keeps the logs of its run.
package soak
