// Package callers reads requests from callers' connections and writes answers, in order.
//
// Guarantees:
//
//   - A request whose end is not certain (two lengths, a length and chunks, a bare line
//     feed in its head) is refused and its connection closed; no byte of it is taken for
//     another request.
//   - Requests sent before the former answer are answered in the order in which they came.
//   - A request's context ends when its caller closes the connection.
//   - While the server drains, each answer asks its caller to close the connection, and
//     Shutdown cuts off no request that was read.
package callers
