package health

import "time"

// Config holds the times of the protocol. Carriers and judges of a fleet use the same values.
type Config struct {
	Interval       time.Duration // Between two Evidence messages while there are attempts to report.
	UrgentInterval time.Duration // Between two Evidence messages while there are failed attempts to report.
	KeepAlive      time.Duration // Between two Evidence messages without attempts.
	Lease          time.Duration // A verdict's life, from the sending of the evidence that it answers.
	VoteLease      time.Duration // A carrier's loan to a judge, from the sending of evidence.
	DriftMargin    time.Duration // Drift of two clocks over one Loan.
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

// heardFor is the time since a judge's message for which it may rely on a carrier that echoed it.
func (c Config) voteValidity() time.Duration {
	return c.VoteLease - c.Lease - c.DriftMargin
}

// spentFor is the time for which an ejection that a verdict named counts against the budget.
func (c Config) chargeDuration() time.Duration {
	return c.Lease + c.DriftMargin
}
