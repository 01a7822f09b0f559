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
		"first beat":                  {time.Time{}, start, false},
		"regular":                     {start, start.Add(interval), false},
		"late":                        {start, start.Add(MinPause - time.Millisecond), false},
		"stopped":                     {start, start.Add(MinPause), true},
		"suspended: time of day":      {start.Round(0), start.Round(0).Add(4 * time.Second), true},
		"time of day set back":        {start.Round(0).Add(4 * time.Second), start.Round(0), false},
		"set back while it is paused": {start, start.Add(MinPause), true},
	} {
		var d Detector
		if !tc.last.IsZero() {
			d.Beat(tc.last)
		}
		if got := d.MayBeStale(tc.now); got != tc.paused {
			t.Errorf("%s: doubtful before the beat: %v", name, got)
		}
		if got := d.Beat(tc.now); got != tc.paused {
			t.Errorf("%s: paused %v", name, got)
		}
		if got := d.MayBeStale(tc.now); got != tc.paused {
			t.Errorf("%s: doubtful after the beat: %v", name, got)
		}
	}
}

// The load that it answers: a machine five times slower, on which taking in everything that
// was read takes longer than a pause.
func TestSlowWorkIsNotOnePauseAfterTheOther(t *testing.T) {
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

func TestDoubtEndsWithNewsOrWithTheGrace(t *testing.T) {
	start := time.Now()
	woken := start.Add(4 * time.Second)
	var d Detector
	d.Beat(start)
	d.Beat(woken)
	if !d.MayBeStale(woken.Add(RefreshTimeout - time.Millisecond)) {
		t.Error("no doubt before any news")
	}
	if d.Beat(woken.Add(RefreshTimeout)); d.MayBeStale(woken.Add(RefreshTimeout)) {
		t.Error("doubt goes on after the grace")
	}
	d.Beat(woken.Add(8 * time.Second))
	if d.Refreshed(woken); !d.MayBeStale(woken.Add(8 * time.Second)) {
		t.Error("doubt ends with news that was asked for before the pause")
	}
	if d.Refreshed(woken.Add(8 * time.Second)); d.MayBeStale(woken.Add(8 * time.Second)) {
		t.Error("doubt goes on after news")
	}
}
