// Package dispatch sends callers' requests to upstream endpoints and carries out the
// decisions of each service's balancer: attempts, retries, hedges and cancellations.
//
// Guarantees:
//
//   - Execute returns exactly one answer, no later than the request's deadline plus the
//     time to close a connection.
//   - An answer owns its bytes and is complete: one that is cut off, is not valid HTTP, has
//     neither a length nor a last chunk, or exceeds the size limit is replaced by a rejection
//     with its own result code.
//   - A connection carries one request at a time. It is reused only after a complete answer
//     with no bytes after it, so a late answer never reaches another request.
//   - The HTTP library's own retries are off: an attempt is at most one request on the wire.
//   - An attempt counts as not sent only if no byte of it was written to the connection, and
//     as refused only if the upstream answered with status 503 and "X-Not-Started: 1".
package dispatch
