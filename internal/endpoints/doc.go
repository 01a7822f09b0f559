// Package endpoints connects the health evaluation of package health to an instance.
//
// A Manager holds a health.Carrier for each service that the instance routes to and a
// health.Evaluator for each service that it evaluates. It exchanges evidence and decisions
// with the other instances and publishes the endpoints that this instance may use, each
// with a limit of concurrent requests.
//
// All methods of Manager run on the control goroutine, except Observe, Dropped and Status,
// which any goroutine may call.
package endpoints
