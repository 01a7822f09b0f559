// Package outlook estimates the chance that an upstream endpoint serves the next request.
//
// An endpoint is taken to be in one of two states, good or failing, and to change between
// them at random: failing spells start without notice and last seconds, while the
// endpoint's health path reports that all is well. Each outcome of a request moves the
// chance by its likelihood in either state; between outcomes the chance drifts back to
// the long-run share of good time. So one failure stops the use of an endpoint, an
// endpoint that has just served is preferred to one that has not been tried for a while,
// and an endpoint returns by itself as what is known of it grows old.
//
// The package reads no clock and keeps no randomness.
package outlook
