// Package entry is the HTTP server for callers: it routes their requests and answers
// discovery and outcome lookups.
//
// Guarantees:
//   - Every answer carries a numeric result code and says whether the request was executed.
//   - Method, path, query, body and end-to-end headers are forwarded unchanged; hop-by-hop
//     headers are not forwarded in either direction.
//   - A body over the size limit is rejected with 413 before anything is sent upstream.
//   - A request is cancelled soon after its caller closes the connection.
//   - While the instance drains, answers carry "Connection: close"; Shutdown waits until every
//     accepted request is answered or its context ends.
package entry
