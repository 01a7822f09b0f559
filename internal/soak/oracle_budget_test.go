package soak

import (
	"testing"
	"time"
)

// leaves makes a caller leave a second after it has sent a request that takes 3 s; its upstream ends the work later
// by some time.
func leaves(later time.Duration) func(a *Attempt, run *Run) {
	return func(a *Attempt, run *Run) {
		a.Status, a.Stamp, a.Whole, a.GaveUp, a.Ended = 0, "", false, true, a.Sent.Add(time.Second)
		run.Lasts, run.Given = 3*time.Second, 4*time.Second
		run.Outcome, run.Status, run.Ended = OutcomeDropped, 0, a.Ended.Add(later)
	}
}

func TestWorkForCallersThatHaveGone(t *testing.T) {
	for name, c := range map[string]struct {
		cases  int
		later  time.Duration
		change func(w *world, a *Attempt, run *Run)
		want   int
	}{
		"ended at once":            {8, 100 * time.Millisecond, nil, 0},
		"goes on, a few":           {goneAllowed, time.Second, nil, 0},
		"goes on":                  {goneAllowed + 1, time.Second, nil, 1},
		"ends by itself meanwhile": {8, time.Second, func(_ *world, _ *Attempt, run *Run) { run.Lasts = 1200 * time.Millisecond }, 0},
		"not idempotent":           {8, time.Second, func(_ *world, a *Attempt, _ *Run) { a.Safe = false }, 0},
		"the link is cut": {8, time.Second, func(w *world, _ *Attempt, _ *Run) {
			w.r.Windows = append(w.r.Windows, Window{Kind: WindowLink, Upstream: "u", From: w.at(5), To: w.at(6)})
		}, 0},
		"the machine is disrupted": {8, time.Second, func(w *world, _ *Attempt, _ *Run) { w.window(WindowMachine, "m", 4, 5) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			for range c.cases {
				w.ask(5, "/a/x", "old", func(a *Attempt, run *Run) {
					leaves(c.later)(a, run)
					if c.change != nil {
						c.change(w, a, run)
					}
				})
			}
			w.want(map[Rule]int{RuleGone: c.want})
		})
	}
}

func TestRequestsThatArriveAfterTheirCallersHaveGone(t *testing.T) {
	w := newWorld(t)
	late := func(a *Attempt, run *Run) {
		leaves(time.Second)(a, run)
		run.Arrived = a.Ended.Add(goneSlack + 10*time.Millisecond)
	}
	for range goneAllowed {
		w.ask(5, "/a/x", "old", late)
	}
	w.want(nil)
	w.ask(5, "/a/x", "old", late)
	w.want(map[Rule]int{RuleGone: goneAllowed + 1})
}

func TestMoreAttemptsThanTheRouteAllows(t *testing.T) {
	w := newWorld(t)
	sendEverywhere := func() {
		id := w.ask(5, "/a/x", "old", nil)
		for _, upstream := range []string{"v", "w"} {
			w.r.Runs = append(w.r.Runs, Run{Request: id, Upstream: upstream, Service: "old", Arrived: w.at(5.05)})
		}
	}
	for range attemptsAllowed {
		sendEverywhere()
	}
	w.want(nil)
	sendEverywhere()
	w.want(map[Rule]int{RuleBudget: attemptsAllowed + 1})
	w.r.Ended["w"] = w.at(5)
	w.want(nil)
}

func TestMoreTimeThanTheCallerHas(t *testing.T) {
	w := newWorld(t)
	long := func(_ *Attempt, run *Run) { run.Given = 4600 * time.Millisecond }
	for range deadlinesAllowed {
		w.ask(5, "/a/x", "old", long)
	}
	w.want(nil)
	w.ask(5, "/a/x", "old", long)
	w.want(map[Rule]int{RuleBudget: deadlinesAllowed + 1})
	for range deadlinesFactor * deadlinesAllowed {
		w.ask(5, "/a/x", "old", func(_ *Attempt, run *Run) { run.Given = 4 * time.Second })
	}
	w.want(nil)
}

func TestRetriesBeyondTheSharedBudget(t *testing.T) {
	w := newWorld(t)
	terms := DefaultTerms()
	retried := func(at float64) {
		id := w.ask(at, "/a/x", "old", nil)
		w.r.Runs = append(w.r.Runs, Run{Request: id, Upstream: "v", Service: "old", Arrived: w.at(at + 0.05), Refused: true})
	}
	// Of n retried requests in a window, 0.2 n + 62 are allowed: 77 of 77, not 78 of 78.
	const most = 77
	for range most {
		retried(5)
	}
	w.want(nil)
	retried(5 + terms.RetryWindow.Seconds() + 1) // In the next window.
	w.want(nil)
	retried(5.1)
	w.want(map[Rule]int{RuleBudget: 1})
	for range 5 { // Requests before it count for it.
		w.ask(-2, "/a/x", "old", nil)
	}
	w.want(nil)
}
