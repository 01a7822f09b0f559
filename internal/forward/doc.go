// Package forward sends a request to upstream endpoints, with retries and hedges, and returns the answer.
//
// Guarantees:
//
//   - A request that is not idempotent is retried only after proof that it did not run:
//     the endpoint said so, or no byte of the request was sent.
//   - A result code that means "not run" is returned only with that proof.
//   - An answer is delivered only if it is signed and carries the request's ID. An answer that
//     fits the buffer is delivered only if it is complete; a larger one is streamed, and the
//     caller's connection is closed early if it is truncated.
//   - A request is sent to at most its route's MaxAttempts endpoints.
package forward
