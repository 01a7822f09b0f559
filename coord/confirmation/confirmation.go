// Package confirmation tracks how old the configuration in force may be.
//
// An instance confirms its configuration by reads of the store, or by the word of another instance whose own
// configuration is confirmed. If the age is a at a time t, the configuration in force is one that the store held at
// some time not before t-a, or a later one.
//
// A store that was restored from a copy may hold an older configuration than instances have in force. A read of it
// confirms nothing while another instance is known to have a later version, and the reads after a restoration are
// held until the versions of the other instances are known.
//
// Times are readings of a clock that includes the time spent suspended.
package confirmation

import (
	"cmp"
	"slices"
	"time"
)

// maxPending bounds the confirmations that wait for their version.
const maxPending = 4

// Config holds the times of a Tracker.
type Config struct {
	AskAfter time.Duration // Age of the configuration from which other instances are asked.
	AskEvery time.Duration // Interval of asking.
	HoldFor  time.Duration // How long reads of a restored store are held at most.
}

// Tracker tracks the age of one instance's configuration. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	inForce uint32
	at      time.Duration // Latest confirmation of the configuration in force.
	known   bool          // There is one.
	pending []pending     // Sorted by version; the times increase too.

	later   uint32        // Latest version that another instance had in force.
	laterAt time.Duration // When that was learned.

	era       uint64 // Latest one that a read had.
	holding   bool   // Reads of this era do not count yet.
	heldSince time.Duration
	held      *pending // Latest of them; nil for none.

	asked   bool
	askedAt time.Duration
}

// pending is a confirmation that counts once its version, or a later one, is in force.
type pending struct {
	version uint32
	at      time.Duration
}

// New returns the Tracker of an instance that has no configuration yet.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg}
}

// SetConfig changes the times.
func (t *Tracker) SetConfig(cfg Config) { t.cfg = cfg }

// Confirm records that the store held no later version than this one at a time. Times may arrive in any order.
func (t *Tracker) Confirm(at time.Duration, version uint32) {
	version = max(version, t.later)
	if version <= t.inForce {
		t.count(at)
		return
	}
	t.wait(pending{version: version, at: at})
}

// ConfirmRead records a read of the store that was sent at a time and had its effect since: the store then held no
// later version than this one. era is how often the store had been restored before.
//
// The first read of an era, and those that follow, are held until Settle. The era 0 is that of a store that never was
// restored.
func (t *Tracker) ConfirmRead(now, at time.Duration, version uint32, era uint64) {
	switch {
	case era < t.era:
		return
	case era > t.era:
		t.era, t.holding, t.heldSince, t.held = era, true, now, nil
	}
	if max(version, t.inForce) < t.later && at >= t.laterAt {
		t.known = false // The store holds an older copy, which earlier reads may have confirmed.
		return
	}
	if !t.holding {
		t.Confirm(at, version)
		return
	}
	if t.held == nil || at > t.held.at {
		t.held = &pending{version: version, at: at}
	}
}

// Held reports whether reads of a restored store are held, and since when.
func (t *Tracker) Held() (since time.Duration, ok bool) {
	return t.heldSince, t.holding
}

// Settle ends the holding of reads if all other instances have been heard since it began, or after HoldFor.
func (t *Tracker) Settle(now time.Duration, heardAll bool) {
	if !t.holding || !heardAll && now-t.heldSince < t.cfg.HoldFor {
		return
	}
	t.holding = false
	if t.held != nil {
		t.Confirm(t.held.at, t.held.version)
		t.held = nil
	}
}

// Heard records a version that another instance has in force. While it is later than the one in force here, further
// confirmations wait for it. The present one stays, and ages: a change takes a moment to every instance.
func (t *Tracker) Heard(now time.Duration, version uint32) {
	if version > t.later {
		t.later, t.laterAt = version, now
	}
}

// InForce records that a version came into force. Confirmations that waited for it count now.
func (t *Tracker) InForce(version uint32) {
	t.inForce = max(t.inForce, version)
	if t.inForce < t.later {
		return
	}
	n := 0
	for ; n < len(t.pending) && t.pending[n].version <= t.inForce; n++ {
		t.count(t.pending[n].at)
	}
	t.pending = slices.Delete(t.pending, 0, n)
}

// Age returns the age of the configuration in force. ok is false while it is not confirmed at all.
func (t *Tracker) Age(now time.Duration) (age time.Duration, ok bool) {
	if !t.known {
		return 0, false
	}
	return max(now-t.at, 0), true
}

// ConfirmedAt returns the time from which the age counts. ok is false while there is none.
func (t *Tracker) ConfirmedAt() (at time.Duration, ok bool) {
	return t.at, t.known
}

// Ask reports whether to ask other instances now. It counts on the caller to do so.
func (t *Tracker) Ask(now time.Duration) bool {
	age, known := t.Age(now)
	if known && age <= t.cfg.AskAfter || t.asked && now-t.askedAt < t.cfg.AskEvery {
		return false
	}
	t.asked, t.askedAt = true, now
	return true
}

func (t *Tracker) count(at time.Duration) {
	if !t.known || at > t.at {
		t.at, t.known = at, true
	}
}

// wait keeps a confirmation unless another one is both earlier in force and later dated.
func (t *Tracker) wait(p pending) {
	for _, other := range t.pending {
		if other.version <= p.version && other.at >= p.at {
			return
		}
	}
	t.pending = slices.DeleteFunc(t.pending, func(other pending) bool { return other.version >= p.version && other.at <= p.at })
	t.pending = append(t.pending, p)
	slices.SortFunc(t.pending, func(a, b pending) int { return cmp.Compare(a.version, b.version) })
	if n := len(t.pending); n > maxPending {
		t.pending = slices.Delete(t.pending, n-2, n-1) // The first comes into force next, the last is the freshest.
	}
}
