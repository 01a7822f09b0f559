package claim

import "time"

// Limits bounds what a Machine keeps and sets its times.
type Limits struct {
	MaxKeys            int           // Keys in the table.
	MaxBytes           int           // Bytes of the table, by its own estimate.
	MaxAnswerBytes     int           // Largest answer kept for callers that retry.
	InitialResendDelay time.Duration // Wait before the first resend; it doubles from there.
	MaxResendDelay     time.Duration // Longest wait between resends while a caller waits.
	SealTimeout        time.Duration // Time before a deadline at which a home that has no grant gives up; then the wait for the seal's confirmation.
	GrantTimeout       time.Duration // Longest wait of a home for a grant, so that its caller has time left for another key.
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

// sealReserveShare is the part of MaxKeys and MaxBytes, as a divisor, that is kept free for seals.
const sealReserveDivisor = 8

// DefaultLimits returns the limits of an entry instance.
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

// withDefaults replaces each zero by its default.
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
