package routing

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Defaults of Config.
const (
	DefaultQueueLimit         = 64
	DefaultRetryShare         = 0.1
	DefaultRetryBurst         = 3
	DefaultHedgeQuantile      = 0.95
	DefaultMaxAttempts        = 3
	DefaultSlowStart          = 10 * time.Second
	DefaultTrialInterval      = 100 * time.Millisecond
	DefaultZoneSpillThreshold = 0.75
)

// maxAttemptsBound is the upper bound of Config.MaxAttempts.
const maxAttemptsBound = 8

// Config holds the settings of one service. Zero values take the defaults, except for
// RetryShare, where zero disables retries, hedges and trial requests.
type Config struct {
	QueueLimit         int                   // Maximum number of queued requests, further limited by the slots. Negative for no queue.
	RetryShare         float64               // Retries and hedges allowed per admitted request, 0 to 1.
	RetryBurst         int                   // Retries and hedges allowed beyond RetryShare. Negative for none.
	HedgeQuantile      float64               // Latency quantile after which a hedge starts, 0 to 1. Negative for no hedges.
	MaxAttempts        int                   // Maximum attempts of one request, at most 8.
	Zone               fleet.Zone            // This instance's zone, which is preferred; empty for no preference.
	ZoneSpillThreshold float64               // Score of the endpoint selected in Zone above which other zones are considered too.
	SlowStart          time.Duration         // Duration over which an endpoint's limit grows from one to its full limit.
	TrialInterval      time.Duration         // Minimum time between two trial requests to one endpoint.
	AccountWeights     map[fleet.Account]int // Weights by which accounts share a full queue; absent accounts have weight one.
	Policy             Policy                // Endpoint selection; nil for TwoChoices.
}

// withDefaults returns c with defaults filled in and values clamped to their bounds.
func (c Config) withDefaults() Config {
	c.QueueLimit = intDefault(c.QueueLimit, DefaultQueueLimit)
	c.RetryBurst = intDefault(c.RetryBurst, DefaultRetryBurst)
	c.MaxAttempts = min(intDefault(c.MaxAttempts, DefaultMaxAttempts), maxAttemptsBound)
	c.MaxAttempts = max(c.MaxAttempts, 1)
	c.RetryShare = min(max(c.RetryShare, 0), 1)
	if c.HedgeQuantile == 0 {
		c.HedgeQuantile = DefaultHedgeQuantile
	}
	if c.ZoneSpillThreshold <= 0 {
		c.ZoneSpillThreshold = DefaultZoneSpillThreshold
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

// weight returns an account's queue weight.
func (c *Config) weight(a fleet.Account) float64 {
	if w := c.AccountWeights[a]; w > 0 {
		return float64(w)
	}
	return 1
}
