// Package routing chooses the endpoint, the moment and the number of attempts for each request of a service.
//
// A Balancer is a state machine for one service on one instance. It is handed
// requests, the ends of attempts and the time, and returns effects. It reads no
// clock, starts no goroutine and draws from the random source it was given.
//
// Guarantees, each held by a property test:
//
//   - An endpoint never has more attempts under way than its limit.
//   - No attempt starts on an endpoint that is avoided, leaving or removed.
//   - A request that is not idempotent is sent again only after every earlier
//     attempt is known not to have run (AttemptNotSent, AttemptRefused).
//   - Retries and hedges together stay within RetryShare of the requests taken,
//     plus RetryBurst, over any window.
//   - A request ends exactly once, with Deliver or Reject, and Reject.NotRun is
//     true only when no attempt can have run.
//   - No attempt has a deadline after its request's deadline.
//   - Each account that waits is served: accounts share a full queue by weight.
package routing
