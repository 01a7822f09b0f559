// Package claims runs requests that carry an idempotency key with the protocol of package claim.
//
// A caller sends the header "Idempotency-Key: <ticket>.<unique>" with its request to any
// instance. The ticket names two instances, the home and the witness. If it names this
// instance, the request runs here in that role. Otherwise it is relayed: to the home first, and
// to the witness if the home is unreachable or does not reply within its share of the deadline.
//
// Guarantees:
//
//   - A key is executed at most once over the fleet.
//   - An answer has the execution "not-run" only if its key never runs. A refusal of a single
//     attempt has the execution "unknown", because another attempt may have run the key or may run it later.
//   - Do, HandleRelayed and Lookup return by the deadline of their request or context.
//
// Claims is a control.Component. Kinds, Deliver and Tick run on the control goroutine; its
// other exported methods are safe for concurrent use.
package claims
