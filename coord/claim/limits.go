package claim

import "time"

// Limits bounds what a Machine keeps and sets its times.
type Limits struct {
	MaxKeys        int           // Keys in the table.
	MaxBytes       int           // Bytes of the table, by its own estimate.
	MaxAnswerBytes int           // Largest answer kept for callers that retry.
	ResendFirst    time.Duration // Wait before the first resend; it doubles from there.
	ResendMost     time.Duration // Longest wait between resends while a caller waits.
	SealTime       time.Duration // Time before a deadline at which a home that has no grant gives up; then the wait for the seal's confirmation.
	GrantTime      time.Duration // Longest wait of a home for a grant, so that its caller has time left for another key.
}

// Default limits.
const (
	DefaultMaxKeys        = 60_000
	DefaultMaxBytes       = 24 << 20
	DefaultMaxAnswerBytes = 16 << 10
	DefaultResendFirst    = 100 * time.Millisecond
	DefaultResendMost     = time.Second
	DefaultSealTime       = 300 * time.Millisecond
	DefaultGrantTime      = 600 * time.Millisecond
)

// sealReserveShare is the part of MaxKeys and MaxBytes, as a divisor, that is kept free for seals.
const sealReserveShare = 8

// DefaultLimits returns the limits of an entry instance.
func DefaultLimits() Limits {
	return Limits{
		MaxKeys:        DefaultMaxKeys,
		MaxBytes:       DefaultMaxBytes,
		MaxAnswerBytes: DefaultMaxAnswerBytes,
		ResendFirst:    DefaultResendFirst,
		ResendMost:     DefaultResendMost,
		SealTime:       DefaultSealTime,
		GrantTime:      DefaultGrantTime,
	}
}

// withDefaults replaces each zero by its default.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	l.MaxKeys = orDefault(l.MaxKeys, d.MaxKeys)
	l.MaxBytes = orDefault(l.MaxBytes, d.MaxBytes)
	l.MaxAnswerBytes = orDefault(l.MaxAnswerBytes, d.MaxAnswerBytes)
	l.ResendFirst = orDefault(l.ResendFirst, d.ResendFirst)
	l.ResendMost = orDefault(l.ResendMost, d.ResendMost)
	l.SealTime = orDefault(l.SealTime, d.SealTime)
	l.GrantTime = orDefault(l.GrantTime, d.GrantTime)
	return l
}

func orDefault[T int | time.Duration](value, otherwise T) T {
	if value <= 0 {
		return otherwise
	}
	return value
}
