package quota

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/accounts"
)

// Level is the level of a bucket that is not full.
type Level struct {
	_       struct{} `cbor:",toarray"`
	Account accounts.ID
	Tokens  float32 // Negative after too many requests.
}

// Handover returns the levels of all buckets that are not full.
func (l *Limiter) Handover(now time.Time) []Level {
	l.advance(now)
	var levels []Level
	for a, limit := range l.limits {
		if limit.Rate <= 0 {
			continue
		}
		b := l.buckets[a]
		if b == nil && l.full {
			continue
		}
		if b = l.bucket(a, limit); b.tokens < l.capacity(limit) {
			levels = append(levels, Level{Account: a, Tokens: float32(b.tokens)})
		}
	}
	return levels
}

// Adopt takes over the levels of an instance that has run for longer, each account's once. With complete, buckets that
// are not listed are full.
func (l *Limiter) Adopt(now time.Time, levels []Level, complete bool) {
	if l.full {
		return
	}
	l.advance(now)
	if l.adoptedAt.IsZero() {
		l.adoptedAt = now
	}
	adopt := func(a accounts.ID, tokens float64) {
		limit := l.limits[a]
		if limit.Rate <= 0 || tokens != tokens {
			return
		}
		b := l.bucket(a, limit)
		if b.adopted {
			return
		}
		b.adopted = true
		b.tokens = tokens
		l.add(b, limit, -float64(b.taken-b.returned)) // The sender may not have heard of these.
	}
	for _, v := range levels {
		adopt(v.Account, float64(v.Tokens))
	}
	if !complete {
		return
	}
	for a, b := range l.buckets {
		if !b.adopted {
			adopt(a, l.capacity(l.limits[a]))
		}
	}
	l.full = true
}
