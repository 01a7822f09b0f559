// Package upstream simulates the services behind the fleet, with gray faults that can be
// injected, for tests, demonstrations and load measurements.
//
// A Host holds many endpoints, each on its own loopback address. An endpoint runs
// requests in slots, with a seeded distribution of service times; it has a
// cold start, drains, sheds load, and respects deadlines and cancellation. Its health and
// load probes lag, and can be set to report false values.
//
// The Recorder of a Host counts by request ID how often an endpoint started a
// request. Duplicated, lost and falsely not-run requests are counted from these records
// and the callers' results alone, not from anything that the fleet reports.
//
// Guarantees: an answer with HeaderNotStarted means that the request did not start
// at this endpoint; each start is recorded before any byte of its answer is sent.
//
// The server is net/http, not fasthttp, since fasthttp does not notify a handler when
// its caller disconnects.
package upstream
