// Package load generates requests at a set rate and measures how long their answers take.
//
// It is open-loop: requests start on a schedule that doesn't depend on how slow the answers
// are. The latency of a request counts from its scheduled start, so that a stall doesn't hide
// the latency of the requests due during it (coordinated omission). The latency from the
// actual start is reported as well.
package load
