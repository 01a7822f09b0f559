package boottime

import (
	"testing"
	"time"
)

func TestNowAdvances(t *testing.T) {
	const rounds = 1000
	from, since := Now(), time.Now()
	for range rounds {
		at := Now()
		if at < from {
			t.Fatalf("clock went back from %v to %v", from, at)
		}
		from = at
	}
	if first := Now(); time.Since(since) < 0 || first <= 0 {
		t.Errorf("clock reads %v", first)
	}
}
