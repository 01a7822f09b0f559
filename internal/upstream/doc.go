// Package upstream is a stand-in of the services behind the fleet, with gray faults
// that can be switched, for tests, demonstrations and load measurements.
//
// A Host holds many endpoints, each on its own loopback address. An endpoint runs
// requests in slots, with a seeded distribution of service times; it starts cold,
// drains, sheds load, and obeys deadlines and cancellation. Its health and load
// endpoints lag, and mislead when told to.
//
// The Recorder of a Host counts by request ID how often an endpoint started a
// request. Doubled, lost and falsely refused requests are counted from it, and from
// what callers were told, and from nothing that the fleet itself says.
//
// Guarantees: an answer with HeaderNotStarted means that the request did not start
// here; each start is recorded before any byte of its answer is sent.
//
// The server is net/http, not fasthttp, since that one does not tell a handler that its
// caller has gone away.
package upstream
