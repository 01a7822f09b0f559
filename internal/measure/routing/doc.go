// Command routing measures the balancer under load in virtual time.
//
// It drives the real Balancer from an event queue, with requests that arrive at random times
// and upstream endpoints with slots, one of which is slow. The same seed gives the same
// tables on every machine.
//
//	go run ./internal/measure/routing -seeds 5
package main
