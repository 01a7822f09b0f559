// Package dispatch decides to which endpoint a request goes, when, and which requests are turned away.
//
// A Machine is one instance's view of the whole fleet's work. In a small fleet each instance
// reports every start and end of a request to all others, so that each knows what is in
// flight at an endpoint, how its requests ended, and how much of the retry budget is spent.
// Reports carry absolute counts: a lost one is mended by the next. In a large fleet a broker
// has a Machine of its zone's endpoints, and is asked (package broker).
//
// The Machine is a state machine: requests, ends, reports and the time go in; grants,
// rejections and reports come out. It reads no clock, opens no socket and draws from the
// random source it was given. It is not safe for concurrent use.
//
// Guarantees:
//
//   - Each Request gets a Grant or a Rejection at once.
//   - No Grant names an endpoint that is leaving or that the Request has tried already.
//   - A repeat is granted only within the service's retry budget.
package dispatch
