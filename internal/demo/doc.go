// Package demo runs the fleets of two firms in one process, injects failures, and counts
// violations of each guarantee.
//
// Callers and upstream stand-ins take the counts, never the fleet itself. Times are only
// reported: they don't decide whether the demo passes, so that its result doesn't depend
// on the speed of the machine.
package demo
