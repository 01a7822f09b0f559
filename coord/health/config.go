package health

import "time"

// Config holds the times of the protocol. All carriers and evaluators of a fleet use the same values.
type Config struct {
	Interval       time.Duration // Between two Evidence messages while there are attempts to report.
	UrgentInterval time.Duration // Between two Evidence messages while there are failed attempts to report.
	KeepAlive      time.Duration // Between two Evidence messages without attempts.
	Lease          time.Duration // Validity of a decision, from when the evidence that it answers was sent.
	VoteLease      time.Duration // Validity of a carrier's vote for an evaluator, from when the evidence was sent.
	DriftMargin    time.Duration // Largest drift between two clocks over one VoteLease.
	Hold           time.Duration // First time out of service before trial requests.
	HoldMax        time.Duration // Longest time out of service before trial requests.
	HoldDecay      time.Duration // Time in service after which one doubling of Hold is undone.
}

// DefaultConfig returns the times that the daemon uses.
func DefaultConfig() Config {
	return Config{
		Interval:       250 * time.Millisecond,
		UrgentInterval: 50 * time.Millisecond,
		KeepAlive:      500 * time.Millisecond,
		Lease:          3 * time.Second,
		VoteLease:      4500 * time.Millisecond,
		DriftMargin:    100 * time.Millisecond,
		Hold:           10 * time.Second,
		HoldMax:        10 * time.Minute,
		HoldDecay:      10 * time.Minute,
	}
}

// voteValidity is the time, from when an evaluator sent a decision, for which it may count the vote of
// a carrier that acknowledged the decision. A decision that relies on the vote then expires
// before the vote does.
func (c Config) voteValidity() time.Duration {
	return c.VoteLease - c.Lease - c.DriftMargin
}

// chargeDuration is the time for which a removal in a decision counts against the budget.
func (c Config) chargeDuration() time.Duration {
	return c.Lease + c.DriftMargin
}
