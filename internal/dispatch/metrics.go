package dispatch

import "expvar"

// counters holds the process's counts of requests and attempts.
var counters = expvar.NewMap("dispatch")

// Names of the counters.
const (
	countRequests  = "requests"
	countAttempts  = "attempts"
	countRetries   = "retries"
	countHedges    = "hedges"
	countTrials    = "trials"
	countCancels   = "cancelled_attempts"
	countDials     = "dials"
	countStale     = "idle_connections_dropped"
	countPanics    = "attempt_panics"
	countLeaving   = "leaving_answers"
	countCodeStart = "code_"
)
