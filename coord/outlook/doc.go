// Package outlook estimates the chance that an upstream endpoint serves the next request.
//
// An endpoint is modeled as a two-state Markov process that changes between healthy and failing
// at random: failures start without notice and last seconds, while the endpoint's health check
// keeps passing. Each outcome of a request updates the chance by Bayes' rule, with the
// likelihoods of the outcome in either state; between outcomes the chance decays to the prior,
// the long-run share of healthy time. So one failure stops the use of an endpoint, an endpoint
// that has just served is preferred to one that has not been tried for a while, and a failed
// endpoint returns by itself as the evidence against it grows stale.
//
// A Model holds what is known of all endpoints of a service: how long they stay healthy and failing,
// and how requests end in either state. It learns this from the outcomes, so that nothing about the
// upstreams has to be set. It learns from an outcome only after the next few of the same endpoint, by
// the forward-backward algorithm: these tell whether a failure was an error of its request alone.
//
// The package reads no clock and draws no random numbers.
package outlook
