// Package node assembles an entry instance: it listens, joins the fleet, runs the control
// components on a single goroutine, serves callers, and performs the planned stop.
//
// Guarantees:
//   - No request is served before a configuration is active.
//   - Run returns only after a planned stop, or with the error that ended the instance.
//   - A planned stop answers every request that the instance has accepted, within the
//     stop timeout of the settings.
package node
