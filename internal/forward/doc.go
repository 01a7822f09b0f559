// Package forward carries a request to an upstream endpoint and its answer back.
//
// Guarantees:
//
//   - A request that is not idempotent is sent again only after proof that it did not run:
//     the endpoint said so, or no byte of it left.
//   - A code that says "not run" is answered only with that proof.
//   - An answer is delivered only when it is whole, signed, and echoes the request's id.
//   - A request is sent to at most its route's MaxAttempts endpoints.
package forward
