// Package entry is the side of an instance that callers see: HTTP, discovery and the
// look-up of outcomes.
//
// Guarantees:
//   - Every answer carries a numbered result code and says whether the request ran.
//   - Method, path, query, body and end-to-end headers reach the upstream as sent;
//     hop-by-hop headers do not pass in either direction.
//   - A body over the bound is refused with 413 before anything is sent.
//   - A request whose caller closes its connection is cancelled soon after.
//   - While the instance stops, answers carry "Connection: close"; a request that
//     was accepted is answered before the listener closes.
package entry
