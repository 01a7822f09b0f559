package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var bound = Bound{Window: 10 * time.Second, Ratio: 0.2, Extra: 62}

// A service fails all at once, and every request is to be retried.
func TestRetriesOfAFailedServiceStayWithinTheBound(t *testing.T) {
	now := time.Unix(100, 0)
	b := New(bound, now.Add(-bound.Window))
	var retries []time.Time
	requests := 0
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		b.Sent(now, false)
		requests++
		if b.Allows(now, 1) {
			b.Sent(now, true)
			retries = append(retries, now)
		}
	}
	perWindow := int(bound.Window / (10 * time.Millisecond))
	most := int(bound.Ratio*float64(perWindow) + bound.Extra)
	for i, at := range retries {
		n := 0
		for _, other := range retries[i:] {
			if other.Sub(at) < bound.Window {
				n++
			}
		}
		if n > most {
			t.Fatalf("%d retries within %s, bound %d", n, bound.Window, most)
		}
	}
	if len(retries) < most {
		t.Errorf("only %d retries in three windows, bound %d in each", len(retries), most)
	}
}

func TestIsolatedInstanceSpendsItsOwnShare(t *testing.T) {
	now := time.Unix(100, 0)
	b := New(bound, now.Add(-bound.Window))
	n := 0
	for b.Allows(now, 1.0/44) {
		b.Sent(now, true)
		n++
	}
	if n > int(bound.Extra/44)+1 {
		t.Errorf("%d retries without a request, its share is %d", n, int(bound.Extra/44))
	}
}

// All instances are killed while a service fails, and restart without a count of the retries
// that they have sent.
func TestRestartDoesNotSpendTheWindowTwice(t *testing.T) {
	start := time.Unix(100, 0)
	killed := start.Add(7 * time.Second)
	retries, requests := 0, 0
	b := New(bound, start.Add(-bound.Window))
	for now := start; now.Before(start.Add(bound.Window)); now = now.Add(10 * time.Millisecond) {
		if now.Equal(killed) {
			b = New(bound, now)
		}
		b.Sent(now, false)
		requests++
		for b.Allows(now, 1) {
			b.Sent(now, true)
			retries++
		}
	}
	if most := int(bound.Ratio*float64(requests) + bound.Extra); retries > most {
		t.Errorf("%d retries in a window with a restart, bound %d", retries, most)
	}
}

// A service that was healthy for long fails; its budget is spent, all instances are killed at
// some time in the window, and the service goes on failing.
func TestRestartLeavesASpentBudgetSpent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 10 * time.Millisecond
		start := time.Unix(100, 0)
		fails := start.Add(bound.Window)
		killed := fails.Add(time.Duration(rapid.IntRange(1, int(bound.Window/step)-1).Draw(t, "steps")) * step)
		b := New(bound, start.Add(-bound.Window))
		retries, requests := 0, 0
		for now := start; now.Before(fails.Add(bound.Window)); now = now.Add(step) {
			if now.Equal(killed) {
				b = New(bound, now)
			}
			b.Sent(now, false)
			if now.Before(fails) {
				continue
			}
			requests++
			for b.Allows(now, 1) {
				b.Sent(now, true)
				retries++
			}
		}
		if most := int(bound.Ratio*float64(requests) + bound.Extra); retries > most {
			t.Fatalf("%d retries in a window with a restart at %s, bound %d", retries, killed.Sub(fails), most)
		}
	})
}

func TestCountsLeaveTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		b := New(bound, now.Add(-bound.Window))
		for range rapid.IntRange(0, 300).Draw(t, "sent") {
			now = now.Add(time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "gap")))
			b.Sent(now, rapid.Bool().Draw(t, "retry"))
			if requests, retries := b.sent.Sums(now); requests < 0 || retries < 0 {
				t.Fatalf("counts %d and %d", requests, retries)
			}
		}
		if requests, retries := b.sent.Sums(now.Add(2 * bound.Window)); requests != 0 || retries != 0 {
			t.Fatalf("two windows later %d and %d are left", requests, retries)
		}
	})
}
