// Package demo runs the fleets of two firms in one process, injects the failures that
// they fear, and counts every promise.
//
// Counts are taken by the callers and by the upstream stand-ins, never by the fleet
// itself. Times are reported and not judged, so that the verdict is the same on a slow
// machine.
package demo
