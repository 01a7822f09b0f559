package claim

import "time"

// Limits holds the size limits and timeouts of a Machine.
type Limits struct {
	MaxKeys        int // Keys in the table.
	MaxBytes       int // Estimated bytes of the table.
	MaxAnswerBytes int // Largest answer stored for callers that retry.

	// InitialResendDelay is the delay before the first resend; it doubles with each one.
	InitialResendDelay time.Duration
	// MaxResendDelay bounds the delay while a caller waits or the machine is stopping.
	MaxResendDelay time.Duration
	// SealTimeout is how long before the caller's deadline a home without a grant seals the key,
	// and then how long its callers wait at most for the witness to confirm the seal.
	SealTimeout time.Duration
	// GrantTimeout bounds a home's wait for a grant, so that its caller has time left to try
	// another key.
	GrantTimeout time.Duration
}

// Default limits.
const (
	DefaultMaxKeys            = 60_000
	DefaultMaxBytes           = 24 << 20
	DefaultMaxAnswerBytes     = 16 << 10
	DefaultInitialResendDelay = 100 * time.Millisecond
	DefaultMaxResendDelay     = time.Second
	DefaultSealTimeout        = 300 * time.Millisecond
	DefaultGrantTimeout       = 600 * time.Millisecond
)

// sealReserveDivisor sets how far seals and outcomes may exceed MaxKeys and MaxBytes: by the limit
// divided by it. So there is room for them when the table is full for new claims and submissions.
const sealReserveDivisor = 8

// DefaultLimits returns the limits that an instance uses by default.
func DefaultLimits() Limits {
	return Limits{
		MaxKeys:            DefaultMaxKeys,
		MaxBytes:           DefaultMaxBytes,
		MaxAnswerBytes:     DefaultMaxAnswerBytes,
		InitialResendDelay: DefaultInitialResendDelay,
		MaxResendDelay:     DefaultMaxResendDelay,
		SealTimeout:        DefaultSealTimeout,
		GrantTimeout:       DefaultGrantTimeout,
	}
}

// withDefaults replaces each value that is not positive with its default.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	l.MaxKeys = orDefault(l.MaxKeys, d.MaxKeys)
	l.MaxBytes = orDefault(l.MaxBytes, d.MaxBytes)
	l.MaxAnswerBytes = orDefault(l.MaxAnswerBytes, d.MaxAnswerBytes)
	l.InitialResendDelay = orDefault(l.InitialResendDelay, d.InitialResendDelay)
	l.MaxResendDelay = orDefault(l.MaxResendDelay, d.MaxResendDelay)
	l.SealTimeout = orDefault(l.SealTimeout, d.SealTimeout)
	l.GrantTimeout = orDefault(l.GrantTimeout, d.GrantTimeout)
	return l
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
