// Package claim runs each non-idempotent request at most once and reports its outcome truthfully.
//
// A request is identified by a Key: a signed Ticket and a part chosen by the caller. The ticket
// names one incarnation of a home instance and one of a witness instance. Only these two ever
// run the key; a restarted instance has another incarnation and refuses it.
//
// Guarantees, under loss, duplication, reordering and unbounded delay of messages, and under
// pauses and crashes of instances:
//
//   - A key is dispatched at most once over all instances.
//   - ResultNotRun is reported only for a key that no upstream has run or will run.
//   - The answer to a key is the one that its own dispatch got. A key that is reused for
//     another request is refused.
//   - Each submission is answered at once, when the outcome is recorded, or at its deadline.
//
// The rules that give them:
//
//   - The home dispatches only after the witness has granted its claim.
//   - The witness dispatches only a key for which it has neither granted a claim nor
//     confirmed a seal, and refuses the home's claim from then on.
//   - A home that has no grant in time seals the key: it will never dispatch it. It reports
//     ResultNotRun once the witness has confirmed the seal, or once it has the witness's
//     grant, after which the witness never dispatches either.
//   - A ticket expires by a clock that never goes back within one incarnation of an instance,
//     and the table keeps every key until then.
//
// Machine is a state machine: it takes events with the current time and returns effects. It is
// not safe for concurrent use; Keyring is.
package claim
