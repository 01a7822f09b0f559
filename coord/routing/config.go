package routing

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Defaults of Config.
const (
	DefaultQueueLimit    = 64
	DefaultRetryShare    = 0.1
	DefaultRetryBurst    = 3
	DefaultHedgeQuantile = 0.95
	DefaultMaxAttempts   = 3
	DefaultSlowStart     = 10 * time.Second
	DefaultTrialInterval = 100 * time.Millisecond
	DefaultZoneSpill     = 0.75
)

// maxAttemptsBound bounds Config.MaxAttempts.
const maxAttemptsBound = 8

// Config holds the settings of one service. Zero values take the defaults, but for
// RetryShare, where zero allows no retry, no hedge and no trial request.
type Config struct {
	QueueLimit    int                   // Bound of the requests that wait, further bounded by the slots. Negative for none.
	RetryShare    float64               // Retries and hedges allowed per request taken, 0 to 1.
	RetryBurst    int                   // Retries and hedges allowed beyond the share. Negative for none.
	HedgeQuantile float64               // Quantile of latency after which a hedge starts, 0 to 1. Negative for no hedges.
	MaxAttempts   int                   // Attempts of one request, at most 8.
	Zone          fleet.Zone            // This instance's zone; empty for no preference.
	ZoneSpill     float64               // Utilization of the nearest choice above which other zones are weighed too.
	SlowStart     time.Duration         // Time in which a cold endpoint's limit grows from one to its full limit.
	TrialInterval time.Duration         // Time between two trial requests on one endpoint.
	Weights       map[fleet.Account]int // Shares of a full queue; absent accounts have weight one.
	Policy        Policy                // Selection; nil for two random choices.
}

// withDefaults returns c with the defaults filled in and every value inside its bounds.
func (c Config) withDefaults() Config {
	c.QueueLimit = intDefault(c.QueueLimit, DefaultQueueLimit)
	c.RetryBurst = intDefault(c.RetryBurst, DefaultRetryBurst)
	c.MaxAttempts = min(intDefault(c.MaxAttempts, DefaultMaxAttempts), maxAttemptsBound)
	c.MaxAttempts = max(c.MaxAttempts, 1)
	c.RetryShare = min(max(c.RetryShare, 0), 1)
	if c.HedgeQuantile == 0 {
		c.HedgeQuantile = DefaultHedgeQuantile
	}
	if c.ZoneSpill <= 0 {
		c.ZoneSpill = DefaultZoneSpill
	}
	if c.SlowStart <= 0 {
		c.SlowStart = DefaultSlowStart
	}
	if c.TrialInterval <= 0 {
		c.TrialInterval = DefaultTrialInterval
	}
	if c.Policy == nil {
		c.Policy = TwoChoices{}
	}
	return c
}

// intDefault returns def for zero, zero for a negative value, and otherwise v.
func intDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return max(v, 0)
}

// weight returns an account's share of the queue.
func (c *Config) weight(a fleet.Account) float64 {
	if w := c.Weights[a]; w > 0 {
		return float64(w)
	}
	return 1
}
