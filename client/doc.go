// Package client is the small package that callers of the fleet embed.
//
// A Client asks the fleet which entries to use for a service, keeps the answer for
// the time that the fleet allows, and connects to those entries itself. It
// guarantees:
//
//   - a request that may be repeated is retried at another entry within its context;
//   - a keyed request is retried with the same Idempotency-Key, so that the fleet runs it at most once;
//   - a request that is neither is sent once;
//   - an answer is returned only when it is whole.
//
// Do returns an error, never an answer, when nothing whole came back.
package client
