// Package claims runs keyed requests through the claim protocol of package claim.
//
// A caller sends the header "Idempotency-Key: <ticket>.<unique>" with its request, to
// whichever instance. The instance plays its own part when the ticket names it, and passes the
// request on otherwise: to the home first, and to the witness when the home cannot be reached
// or does not reply within its share of the deadline.
//
// Guarantees:
//
//   - A key is executed at most once over the fleet.
//   - An answer with the execution "not-run" is given only for a key that never runs. A
//     refusal that concerns one attempt only has the execution "unknown".
//   - Each call of Do, Relayed and Lookup returns by the deadline of its request or context.
//
// Claims is a duty of the control goroutine. Its exported methods are safe for concurrent
// use, but for Kinds, Deliver and Tick, which are the control goroutine's.
package claims
