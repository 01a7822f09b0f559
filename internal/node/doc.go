// Package node puts one entry instance together: it listens, joins the fleet, drives
// the duties on one control goroutine, serves callers, and makes the planned stop.
//
// Guarantees:
//   - No request is served before a configuration is in force.
//   - Run returns only after a planned stop, or with the error that ended the instance.
//   - A planned stop answers every request that the instance has accepted, within
//     the time that the settings allow.
package node
