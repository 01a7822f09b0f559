// Package endpoints wires the health of upstream endpoints into an instance.
//
// Duty holds a carrier for each service that the instance routes to and a judge for
// each service that it judges, exchanges evidence and verdicts with the other
// instances, and tells the traffic side which endpoints it may use and how far.
//
// All methods run on the control goroutine, but for Observe and Status, which any
// goroutine may call.
package endpoints
