// Package routing balances the requests of a service over its endpoints: it queues
// requests, selects endpoints, and decides on retries and hedges.
//
// A Balancer is a deterministic state machine for one service on one instance. Its
// inputs are requests, results of attempts, changes of the endpoints and the current
// time; its outputs are Effects, which the caller carries out. It reads no clock, starts
// no goroutine and takes random numbers only from the source passed to NewBalancer.
//
// Guarantees, each checked by a property test:
//
//   - No attempt starts on an endpoint whose running attempts have reached its limit.
//   - No attempt starts on an endpoint that is excluded, draining or removed.
//   - A request that is not idempotent is retried only after every earlier attempt is
//     known not to have run (AttemptNotSent, AttemptRefused).
//   - Over any window, retries and hedges together number at most RetryShare times the
//     admitted requests, plus RetryBurst.
//   - A request ends exactly once, with Deliver or Reject, and Reject.NotRun is
//     true only when no attempt can have run.
//   - No attempt has a deadline after its request's deadline.
//   - No account starves: accounts share a full queue in proportion to their weights.
package routing
