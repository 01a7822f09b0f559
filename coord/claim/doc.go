// Package claim runs each non-idempotent request at most once and says truthfully what became of it.
//
// A request is named by a Key: a signed Ticket and the caller's own unique part. The ticket
// names one life of a home instance and one of a witness instance. Only these two ever run
// the key; a restarted instance is another life and refuses it.
//
// Guarantees, under loss, duplication, reordering and unbounded delay of messages, and under
// pauses and crashes of instances:
//
//   - A key is dispatched at most once over all instances.
//   - ResultNotRun is said only of a key that no upstream has run or will run.
//   - The answer of a key is the one that its own dispatch got. A key that is used again with
//     another request is refused.
//   - Each submission is answered at once, when the outcome is known, or at its deadline.
//
// The rules that give them:
//
//   - The home dispatches only after the witness has granted its claim.
//   - The witness dispatches only a key for which it has neither granted a claim nor
//     confirmed a seal, and refuses the home's claim from then on.
//   - A home that gives up first seals the key: it will never dispatch it. It says
//     ResultNotRun once the witness has confirmed the seal, or once it holds the witness's
//     grant, after which the witness never dispatches either.
//   - A ticket expires by a clock that never goes back in the life of an instance, and the
//     table keeps every key until then.
//
// Machine is a state machine: it is handed events and the time and returns effects. It is
// not safe for concurrent use. Keyring is.
package claim
