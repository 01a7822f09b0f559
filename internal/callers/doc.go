// Package callers is the HTTP/1.1 server for callers' connections.
//
// Guarantees:
//
//   - A request whose end is ambiguous (two lengths, a length and chunks, a bare line feed in
//     its head) is rejected and its connection closed; no byte of it is taken for another
//     request (request smuggling).
//   - What a caller sends is bounded: heads and trailers by Limits.HeadBytes, bodies by Limits.BodyBytes, and the extensions
//     of chunks by a part of their data and 16 KiB.
//   - Neither an answer nor an error quotes a part of a request's head or trailer other than the name of a field.
//   - Pipelined requests are answered in the order in which they arrived.
//   - A request's context is cancelled when its caller closes the connection.
//   - While the server drains, each answer has "Connection: close", and Shutdown waits for every
//     request that was read.
package callers
