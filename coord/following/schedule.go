package following

import "time"

// Schedule holds the times by which a follower keeps its knowledge of the store confirmed. A store
// that doesn't respond and one without changes look the same to a watch that waits. So watches are
// short, and a follower's knowledge counts as confirmed only for a bounded time after a response.
type Schedule struct {
	Batch  time.Duration // Delay after changes, before the next watch.
	Wait   time.Duration // How long a watch waits for a change.
	Answer time.Duration // How much longer than Wait the response to a watch may take.
}

// maxWait is less than the 30 s that the store lets a watch wait.
const maxWait = 25 * time.Second

// NewSchedule returns the schedule for a bound on the time from a change to its effect. The times add
// up to the bound, so that a store that stops responding at any moment is noticed within it.
func NewSchedule(bound time.Duration) Schedule {
	return Schedule{Batch: bound / 4, Wait: min(bound/2, maxWait), Answer: bound / 4}
}

// WatchLimit returns how long after its start a watch without a response is given up.
func (s Schedule) WatchLimit() time.Duration {
	return s.Wait + s.Answer
}

// Confirmed reports whether the knowledge of a follower is confirmed: the store's last response
// came no longer ago than a batch and a watch may take.
func (s Schedule) Confirmed(now, lastResponse time.Time) bool {
	return now.Sub(lastResponse) <= s.Batch+s.WatchLimit()
}
