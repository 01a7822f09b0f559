// Package dispatch sends callers' requests to upstreams, as the balancer of each service decides.
//
// Guarantees:
//
//   - Execute returns exactly one answer, and by the request's deadline, give or take
//     the time to close a connection.
//   - An answer owns its bytes and is whole: one that was cut off, is not valid HTTP, has
//     no marked end, or is over its bound becomes a refusal with its own result code.
//   - A connection carries one request at a time. It is reused only after a whole answer
//     with nothing after it, so that no late answer can reach another request.
//   - The library's own repeats are off: one attempt is one request on the wire at most.
//   - An attempt counts as not sent only when the connection took no byte of it, and as
//     refused only when the upstream said so with status 503 and "X-Not-Started: 1".
package dispatch
