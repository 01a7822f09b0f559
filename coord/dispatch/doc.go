// Package dispatch decides which endpoint a request goes to, and which requests are rejected.
//
// A Machine holds one instance's view of the whole fleet's load. In a small fleet each
// instance reports every start and end of a request to all others, so that each of them has
// the requests in flight at an endpoint, how its requests ended, and how much of the retry
// budget is spent. Reports carry absolute counts, so the next report makes up for a lost one.
// An instance that starts adopts what another one knows (Handover).
// In a large fleet a broker runs a Machine for the endpoints of its zone and places requests
// for the other instances (package broker).
//
// The Machine is a deterministic state machine: requests, their ends, reports and the time go
// in; grants, rejections and reports come out. It reads no clock, opens no socket and draws
// from the random source that it was given. It is not safe for concurrent use.
//
// Guarantees:
//
//   - Each Request gets a Grant or a Rejection at once.
//   - No Grant names an endpoint that is draining, that has announced to this instance that it is
//     leaving or wants no requests for a time, or that the Request has tried already.
//   - The instances that report to each other grant an endpoint with a limit of its requests a
//     second about as many as the limit allows, all together, and what they grant while their
//     reports are on the way beyond it. Instances that do not hear from all others use their part.
//   - A retry is granted only within the service's retry budget.
package dispatch
