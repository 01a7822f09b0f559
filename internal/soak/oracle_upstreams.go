package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// judgeDrain looks for requests that reached an upstream that had left.
func (j *judge) judgeDrain() {
	asked := map[string]*Attempt{}
	for k := range j.Attempts {
		asked[j.Attempts[k].ID] = &j.Attempts[k]
	}
	for _, run := range j.Runs {
		left, ok := j.Left[run.Upstream]
		a := asked[run.Request]
		if !ok || a == nil || run.Arrived.Before(left.Add(j.terms.DrainWithin)) {
			continue
		}
		if j.heldUp(run) || j.touch(a.Machine, left, left) != inTouch || j.touch(a.Machine, a.Sent, run.Arrived) != inTouch {
			continue
		}
		j.add(Finding{
			Rule: RuleDrain, Request: run.Request, Machine: a.Machine, At: run.Arrived, Beyond: run.Arrived.Sub(left.Add(j.terms.DrainWithin)),
			Text: fmt.Sprintf("reached %s %.3f s after its leaving was acknowledged", run.Upstream, run.Arrived.Sub(left).Seconds()),
		})
	}
}

// heldUp reports whether a request may have been late at an upstream because of the link to it.
func (j *judge) heldUp(run Run) bool {
	from := run.Arrived.Add(-j.terms.StableWindow)
	return slices.ContainsFunc(j.Windows, func(w Window) bool {
		return w.Kind == WindowLink && w.Upstream == run.Upstream && w.From.Before(run.Arrived) && w.To.After(from)
	})
}

// judgeAnnounced looks for requests that reached an upstream after an answer that the same process had passed on
// had said that the upstream is leaving.
func (j *judge) judgeAnnounced() {
	type teller struct {
		processID
		upstream string
	}
	told := map[teller]time.Time{}
	for k := range j.Attempts {
		a := &j.Attempts[k]
		if !a.Leaving {
			continue
		}
		for _, run := range j.runs[a.ID] {
			key := teller{processID{a.Machine, a.Life}, run.Upstream}
			if at, ok := told[key]; strings.HasSuffix(a.Stamp, "."+run.Upstream+"."+a.ID) && (!ok || a.Ended.Before(at)) {
				told[key] = a.Ended
			}
		}
	}
	for k := range j.Attempts {
		a := &j.Attempts[k]
		for _, run := range j.runs[a.ID] {
			at, ok := told[teller{processID{a.Machine, a.Life}, run.Upstream}]
			if !ok || !a.Sent.After(at.Add(j.terms.DrainWithin)) || j.frozen(a.Machine, at, run.Arrived) {
				continue
			}
			j.add(Finding{
				Rule: RuleDrain, Request: run.Request, Machine: a.Machine, At: a.Sent, Beyond: a.Sent.Sub(at.Add(j.terms.DrainWithin)),
				Text: fmt.Sprintf("reached %s, sent %.3f s after an answer through the same process had said that it leaves", run.Upstream, a.Sent.Sub(at).Seconds()),
			})
		}
	}
}

// frozen reports whether a machine's process stood still during a span.
func (j *judge) frozen(machine string, from, to time.Time) bool {
	return slices.ContainsFunc(j.Windows, func(w Window) bool {
		return w.Frozen && w.Machine == machine && w.From.Before(to) && w.To.After(from)
	})
}

// judgeHoldOffs looks for requests that reached an upstream from a machine in the time for which it wanted none. A
// restart, freeze or cut of the machine excuses them.
func (j *judge) judgeHoldOffs() {
	type pair struct{ machine, upstream string }
	arrivals := map[pair][]Run{}
	for k := range j.Attempts {
		a := &j.Attempts[k]
		for _, run := range j.runs[a.ID] {
			key := pair{a.Machine, run.Upstream}
			arrivals[key] = append(arrivals[key], run)
		}
	}
	for key, list := range arrivals {
		slices.SortFunc(list, func(a, b Run) int { return a.Arrived.Compare(b.Arrived) })
		for _, told := range list {
			late := slices.DeleteFunc(slices.Clone(list), func(run Run) bool {
				return told.HoldOff == 0 || !run.Arrived.After(told.Ended.Add(holdOffSlack)) || !run.Arrived.Before(told.Ended.Add(told.HoldOff))
			})
			if len(late) <= holdOffAllowed || j.disrupted(key.machine, told.Ended, late[holdOffAllowed].Arrived) {
				continue
			}
			j.add(Finding{
				Rule: RuleBudget, Request: late[holdOffAllowed].Request, Machine: key.machine, At: late[holdOffAllowed].Arrived,
				Text: fmt.Sprintf("%d requests reached %s in the %v for which it wanted none, from %.3f s after its answer on", len(late), key.upstream, told.HoldOff, late[0].Arrived.Sub(told.Ended).Seconds()),
			})
			break // The following answers of the upstream tell the same.
		}
	}
}

// disrupted reports whether a machine, its process or its links were disrupted, or the process stopped, during a span.
func (j *judge) disrupted(machine string, from, to time.Time) bool {
	return slices.ContainsFunc(j.Windows, func(w Window) bool {
		return (w.Kind == WindowMachine || w.Kind == WindowMachineStop) && w.Machine == machine && w.From.Before(to) && w.To.After(from)
	})
}
