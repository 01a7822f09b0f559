package dispatch

import "expvar"

// counters holds the counts of requests and attempts since the process started.
var counters = expvar.NewMap("dispatch")

// Keys of counters.
const (
	countRequests   = "requests"
	countAttempts   = "attempts"
	countRetries    = "retries"
	countHedges     = "hedges"
	countTrials     = "trials"
	countCancels    = "cancelled_attempts"
	countDials      = "dials"
	countStale      = "idle_connections_dropped"
	countPanics     = "attempt_panics"
	countDraining   = "leaving_answers"
	countCodePrefix = "code_"
)
