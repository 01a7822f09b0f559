package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// announcedLimit is a span in which an upstream named one limit in all its answers.
type announcedLimit struct {
	rate        float64
	first, last time.Time // Arrivals of the first and the last request whose answer named it.
}

// arrival is a request that reached an upstream.
type arrival struct {
	run     Run
	process processID
	sent    time.Time
}

// checkLimits looks for spans in which an upstream got more requests than its limit allows, from all machines
// together that knew of it. A restart, freeze or cut of a machine excuses that machine.
func (j *judge) checkLimits() {
	arrivals := map[string][]arrival{}
	informed := map[string]map[processID]time.Time{} // When a process first passed on an answer of an upstream that named a limit.
	for k := range j.Attempts {
		a := &j.Attempts[k]
		p := processID{a.Machine, a.Life}
		for _, run := range j.runs[a.ID] {
			arrivals[run.Upstream] = append(arrivals[run.Upstream], arrival{run, p, a.Sent})
			if run.Limit == nil || !strings.HasSuffix(a.Stamp, "."+run.Upstream+"."+a.ID) {
				continue
			}
			if informed[run.Upstream] == nil {
				informed[run.Upstream] = map[processID]time.Time{}
			}
			if at, ok := informed[run.Upstream][p]; !ok || a.Ended.Before(at) {
				informed[run.Upstream][p] = a.Ended
			}
		}
	}
	for upstream, list := range arrivals {
		slices.SortFunc(list, func(a, b arrival) int { return a.run.Arrived.Compare(b.run.Arrived) })
		for _, limit := range announcedLimits(list) {
			j.checkLimit(upstream, limit, list, informed[upstream])
		}
	}
}

// announcedLimits returns the spans in which an upstream named a limit, from its arrivals in the order of time.
func announcedLimits(list []arrival) []announcedLimit {
	var out []announcedLimit
	open := false
	for _, a := range list {
		limit := a.run.Limit
		switch {
		case limit == nil:
			open = false
		case open && out[len(out)-1].rate == *limit:
			out[len(out)-1].last = a.run.Arrived
		default:
			out = append(out, announcedLimit{*limit, a.run.Arrived, a.run.Arrived})
			open = true
		}
	}
	return out
}

func (j *judge) checkLimit(upstream string, limit announcedLimit, list []arrival, informed map[processID]time.Time) {
	var counted []arrival
	from := limit.first.Add(j.terms.StableWindow)
	for _, a := range list {
		at, ok := informed[a.process]
		if !ok || a.run.Arrived.Before(at.Add(limitSlack)) || a.run.Arrived.Before(from) || a.run.Arrived.After(limit.last) {
			continue
		}
		since := a.run.Arrived.Add(-max(j.terms.StableWindow, limitWindow))
		if j.heldUp(a.run) || j.starved(since, a.run.Arrived) || j.disrupted(a.process.machine, since, a.run.Arrived) {
			continue
		}
		counted = append(counted, a)
	}
	allowed := limitFactor*limit.rate*limitWindow.Seconds() + limitExtra
	for i, a := range counted {
		n, _ := slices.BinarySearchFunc(counted, a.run.Arrived.Add(limitWindow), func(a arrival, end time.Time) int {
			return cmp.Or(a.run.Arrived.Compare(end), 1)
		})
		if n -= i; float64(n) > allowed {
			j.add(Finding{
				Rule: RuleLimit, Request: a.run.Request, Machine: a.process.machine, At: a.run.Arrived,
				Text: fmt.Sprintf("%d requests reached %s in %v from processes that knew its limit of %g a second; %g are allowed", n, upstream, limitWindow, limit.rate, allowed),
			})
			return // The spans that follow overlap.
		}
	}
}

// starved reports whether the run itself got no processor time in a span.
func (j *judge) starved(from, to time.Time) bool {
	return slices.ContainsFunc(j.Windows, func(w Window) bool { return w.Kind == WindowStarved && w.From.Before(to) && w.To.After(from) })
}
