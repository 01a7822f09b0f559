package pause

import (
	"testing"
	"time"
)

func TestPauses(t *testing.T) {
	start := time.Now()
	const interval = 500 * time.Millisecond
	for name, tc := range map[string]struct {
		last, now time.Time
		paused    bool
	}{
		"first heartbeat":                  {time.Time{}, start, false},
		"regular":                          {start, start.Add(interval), false},
		"late":                             {start, start.Add(MinPause - time.Millisecond), false},
		"stopped":                          {start, start.Add(MinPause), true},
		"suspended: wall clock":            {start.Round(0), start.Round(0).Add(4 * time.Second), true},
		"wall clock set back":              {start.Round(0).Add(4 * time.Second), start.Round(0), false},
		"wall clock set back while paused": {start, start.Add(MinPause), true},
	} {
		var d Detector
		if !tc.last.IsZero() {
			d.Beat(tc.last)
		}
		if got := d.MayBeStale(tc.now); got != tc.paused {
			t.Errorf("%s: stale before the heartbeat: %v", name, got)
		}
		if got := d.Beat(tc.now); got != tc.paused {
			t.Errorf("%s: paused %v", name, got)
		}
		if got := d.MayBeStale(tc.now); got != tc.paused {
			t.Errorf("%s: stale after the heartbeat: %v", name, got)
		}
	}
}

// On a machine five times slower, each full refresh takes longer than the shortest pause.
func TestSlowRefreshIsNotAnotherPause(t *testing.T) {
	now := time.Now()
	var d Detector
	d.Beat(now)
	pauses := 0
	const work, spent = 2 * time.Second, 20 * time.Second
	for at := time.Duration(0); at < spent; at += work {
		if d.Beat(now.Add(at)) {
			pauses++
			d.Refreshed(now.Add(at))
		}
	}
	if most := int(spent / Cooldown); pauses == 0 || pauses > most {
		t.Errorf("%d pauses in %s, at most %d", pauses, spent, most)
	}
}

func TestStateIsStaleUntilRefreshOrTimeout(t *testing.T) {
	start := time.Now()
	resumed := start.Add(4 * time.Second)
	var d Detector
	d.Beat(start)
	d.Beat(resumed)
	if !d.MayBeStale(resumed.Add(RefreshTimeout - time.Millisecond)) {
		t.Error("not stale before a refresh")
	}
	if d.Beat(resumed.Add(RefreshTimeout)); d.MayBeStale(resumed.Add(RefreshTimeout)) {
		t.Error("still stale after the timeout")
	}
	d.Beat(resumed.Add(8 * time.Second))
	if d.Refreshed(resumed); !d.MayBeStale(resumed.Add(8 * time.Second)) {
		t.Error("not stale after a refresh that was requested before the pause")
	}
	if d.Refreshed(resumed.Add(8 * time.Second)); d.MayBeStale(resumed.Add(8 * time.Second)) {
		t.Error("still stale after a refresh")
	}
}
