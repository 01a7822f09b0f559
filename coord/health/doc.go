// Package health detects upstream endpoints that fail in part or are slow, and takes them out of
// service without breaking the service's floor, the least number of slots that must stay in service.
//
// A service's carriers are the instances that send requests to it. Each carrier sums up its
// attempts per endpoint as Evidence and sends it to the service's evaluator, an instance that
// answers each Evidence with one Decision: the endpoints to remove. A decision expires after a lease time. With
// its evidence a carrier also votes for the evaluator, for at most one at a time; the slots that
// an evaluator may remove follow from the votes that it holds. Carrier and Evaluator are state
// machines: events and the time in, messages out.
//
// Guarantees, for any loss, delay, duplication or replay of messages, any pause or
// restart, and any network partition in which each side has an evaluator:
//
//   - The slots of all endpoints that are ejected at any carrier never exceed the ready
//     slots of the largest list that an evaluator used in the last lease time, minus the
//     service's floor. An endpoint that a zone avoids counts like an ejected one for
//     the carriers of that zone.
//   - A carrier's own view never goes below the floor by its own list.
//   - A decision expires at a carrier one lease time after the carrier sent the evidence
//     that the decision answers, by the carrier's own clock. Losing contact restores
//     endpoints.
//   - A failure that most endpoints share ejects none of them, and one carrier alone
//     ejects no endpoint to which another carrier sends requests too.
//
// What the package relies on: clocks of instances run at the same rate within
// Config.DriftMargin per Config.VoteLease; the carriers of one generation are the same
// list at every instance; a set of carriers that is no longer the newest is passed on
// in Assignment.Former for as long as one of its instances may still act on it.
package health
