package following

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A store that stops responding at any moment of a follower's cycle of watches is noticed within the
// bound. While it responds in time, the knowledge stays confirmed.
func TestScheduleNoticesSilentStoreWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := time.Duration(rapid.Int64Range(int64(10*time.Millisecond), int64(time.Hour)).Draw(t, "bound"))
		s := NewSchedule(bound)
		if s.Batch <= 0 || s.Wait <= 0 || s.Answer <= 0 || s.Wait > 30*time.Second {
			t.Fatalf("%+v", s)
		}
		now := time.Unix(1000, 0)
		responded := now
		for range rapid.IntRange(0, 20).Draw(t, "watches") {
			if rapid.Bool().Draw(t, "changes") {
				now = now.Add(s.Batch)
			}
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(s.WatchLimit())).Draw(t, "watch")))
			if !s.Confirmed(now, responded) {
				t.Fatalf("not confirmed %s after a response, by a watch in time", now.Sub(responded))
			}
			responded = now
		}
		silent := now
		if rapid.Bool().Draw(t, "changes before the silence") {
			now = now.Add(s.Batch)
		}
		now = now.Add(s.WatchLimit())
		if got := now.Sub(silent); got > bound {
			t.Fatalf("noticed after %s of %s", got, bound)
		}
		if now = silent.Add(bound + 1); s.Confirmed(now, responded) {
			t.Fatalf("confirmed %s after the last response", now.Sub(responded))
		}
	})
}
