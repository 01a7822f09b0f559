// Package client is the client library for callers of the fleet.
//
// A Client discovers the entries to use for a service, caches them for the time that the
// fleet allows, and connects to those entries itself. It guarantees:
//
//   - an idempotent request is retried at other entries, within its context;
//   - a keyed request is retried with the same Idempotency-Key, so that the fleet runs it at most once;
//   - a request that is neither is sent once;
//   - an answer is returned only if it is complete.
//
// If no complete answer was received, Do returns an error and no answer.
package client
