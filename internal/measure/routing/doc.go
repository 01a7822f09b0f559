// Command routing measures the balancer under load in virtual time.
//
// It feeds the real Balancer from an event queue: callers that arrive at random times,
// upstream endpoints with slots, and one endpoint that is slow. The same seed gives the
// same tables on every machine.
//
//	go run ./internal/measure/routing -seeds 5
package main
