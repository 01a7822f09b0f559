// Package health finds gray upstream endpoints and takes them out of service without breaking a floor.
//
// Carriers are the instances that route to a service. Each one sums up its attempts
// per endpoint as Evidence and sends it to the service's judge, which answers each
// Evidence with one Verdict. All of it is a state machine: events and the time in,
// messages out.
//
// Guarantees, for any loss, delay, duplication or replay of messages, any pause or
// restart, and any split into sides that each have a judge:
//
//   - The slots of all endpoints that any carriers hold ejected never exceed the ready
//     slots minus the service's floor, by the largest list that a judge used in the
//     last lease time. An endpoint that a zone avoids counts like an ejected one for
//     the carriers of that zone.
//   - A carrier's own view never goes below the floor by its own list.
//   - A verdict ends at a carrier one lease time after the carrier sent the evidence
//     that the verdict answers, by the carrier's own clock. Losing contact restores
//     endpoints.
//   - A fault that most endpoints share ejects none of them, and one carrier alone
//     ejects no endpoint to which another carrier sends requests too.
//
// What the package relies on: clocks of instances run at the same rate within
// Config.DriftMargin per Config.Loan; the carriers of one generation are the same
// list at every instance; a set of carriers that is no longer the newest is passed on
// in Assignment.Former for as long as one of its instances may still act on it.
package health
