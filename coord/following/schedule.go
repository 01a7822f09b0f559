package following

import "time"

// Schedule holds the times by which the instances of a zone keep their knowledge of the store fresh. A store that doesn't
// respond and one without changes look the same to a watch that waits. So watches are short, and knowledge is fresh only
// for a bounded time after a response.
//
// A change that is made as the store falls silent for all followers of a zone is in force at the others after, at most,
// a response's way from the store, Fresh, the turns of the instances that the store turns away too, and a read. These add up to
// less than the bound for a store that takes a twentieth of it to respond and turns a third of the instances away.
type Schedule struct {
	Batch    time.Duration // Delay after changes, before the next watch.
	Interval time.Duration // From one response of the store to the next.
	Answer   time.Duration // How much later a response may come before the watch is given up.
	Fresh    time.Duration // Age up to which knowledge of the store is fresh.
	Step     time.Duration // Between the turns in which others read the store once knowledge is not fresh.
}

const (
	// maxInterval is less than the 30 s that the store lets a watch wait.
	maxInterval = 25 * time.Second
	// maxTurn is the last turn. Turns double: the instances before it are more than a third of a zone of 95.
	maxTurn = 5
)

// NewSchedule returns the schedule for a bound on the time from a change to its effect.
func NewSchedule(bound time.Duration) Schedule {
	bound = min(bound, 2*maxInterval)
	return Schedule{Batch: bound / 4, Interval: bound / 2, Answer: bound / 4, Fresh: bound * 3 / 5, Step: bound / 20}
}

// Wait returns how long a watch waits for a change, if the store's last response came some time ago and it takes some
// time to respond.
func (s Schedule) Wait(sinceResponse, latency time.Duration) time.Duration {
	return max(s.Interval-sinceResponse-latency, s.Interval/10)
}

// BatchDelay returns how long to wait after changes, before the next watch. graceEnd is when the first of the
// registrations that are missing since an outage is given up; zero if none is missing. Those that are back by then have to
// be seen: the delay ends well before, and later ones are short.
func (s Schedule) BatchDelay(now, graceEnd time.Time) time.Duration {
	if !now.Before(graceEnd) {
		return s.Batch
	}
	return min(max(graceEnd.Sub(now)-s.Batch/2, s.Step/2), s.Batch)
}

// IsFresh reports whether knowledge of an age is fresh.
func (s Schedule) IsFresh(age time.Duration) bool { return age <= s.Fresh }
