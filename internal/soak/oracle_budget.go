package soak

import (
	"fmt"
	"slices"
	"time"
)

// Allowances of the rules on work that is not wanted.
const (
	goneSlack        = 500 * time.Millisecond // From a caller's close to the end of work for it.
	goneAllowed      = 3                      // Requests that reach an upstream later than that.
	goneFactor       = 4                      // One in so many may still be at work then.
	attemptsAllowed  = 3                      // Requests that run at more upstreams than their route allows.
	deadlinesAllowed = 20                     // Requests that are given more time than their caller has, unless they are few of all.
	deadlinesFactor  = 5                      // One in so many.
	deadlineSlack    = 500 * time.Millisecond
)

// judgeGone looks for work that is begun, or goes on, for callers that have gone.
func (j *judge) judgeGone() {
	var late []Finding
	lasting, working := 0, 0
	for k := range j.Attempts {
		a := &j.Attempts[k]
		gone := a.Ended.Add(goneSlack)
		if !a.GaveUp || j.touch(a.Machine, a.Sent, gone) == outOfTouch {
			continue
		}
		for _, run := range j.runs[a.ID] {
			switch {
			case run.Arrived.After(gone):
				late = append(late, Finding{
					Rule: RuleGone, Request: a.ID, Machine: a.Machine, At: run.Arrived, Beyond: run.Arrived.Sub(gone),
					Text: fmt.Sprintf("reached %s %.3f s after its caller had left", run.Upstream, run.Arrived.Sub(a.Ended).Seconds()),
				})
			case !a.Safe || run.Refused || !run.Arrived.Add(min(run.Lasts, run.Given)).After(gone) || j.upstreamDisturbed(run.Upstream, a.Sent, gone):
			default:
				lasting++
				if run.Ended.IsZero() || run.Ended.After(gone) {
					working++
				}
			}
		}
	}
	if len(late) > goneAllowed {
		j.findings = append(j.findings, late...)
	}
	if working > goneAllowed && goneFactor*working > lasting {
		j.add(Finding{Rule: RuleGone, Text: fmt.Sprintf("upstreams are still at work on %d of %d idempotent requests half a second after their callers have left", working, lasting)})
	}
}

// judgeAttempts looks for requests that run at more upstreams than their route allows.
func (j *judge) judgeAttempts() {
	var found []Finding
	for k := range j.Attempts {
		a := &j.Attempts[k]
		var at []string
		for _, run := range j.runs[a.ID] {
			if !run.Refused && !slices.Contains(at, run.Upstream) && !j.upstreamDisturbed(run.Upstream, a.Sent, a.Ended) {
				at = append(at, run.Upstream)
			}
		}
		if len(at) > maxAttempts {
			found = append(found, Finding{Rule: RuleBudget, Request: a.ID, Machine: a.Machine, At: a.Sent, Text: fmt.Sprintf("ran at %v; its route allows %d", at, maxAttempts)})
		}
	}
	if len(found) > attemptsAllowed {
		j.findings = append(j.findings, found...)
	}
}

// judgeDeadlines looks for requests that are passed on with more time than their caller has.
func (j *judge) judgeDeadlines() {
	var found []Finding
	all := 0
	for k := range j.Attempts {
		a := &j.Attempts[k]
		for _, run := range j.runs[a.ID] {
			if j.touch(a.Machine, a.Sent, run.Arrived) == outOfTouch {
				continue
			}
			all++
			if over := run.Given - a.Deadline; over > deadlineSlack {
				found = append(found, Finding{Rule: RuleBudget, Request: a.ID, Machine: a.Machine, At: run.Arrived, Beyond: over, Text: fmt.Sprintf("%s was given %v, its caller has %v", run.Upstream, run.Given, a.Deadline)})
			}
		}
	}
	if len(found) > deadlinesAllowed && deadlinesFactor*len(found) > all {
		j.findings = append(j.findings, found...)
	}
}

// judgeRetries looks for windows in which a service gets more arrivals beyond the first of each request than the
// budget that all instances share.
func (j *judge) judgeRetries() {
	requests, repeats := map[string][]time.Time{}, map[string][]time.Time{}
	for k := range j.Attempts {
		a := &j.Attempts[k]
		for v := len(j.Versions) - 1; v >= 0; v-- {
			if j.Versions[v].Acked.After(a.Sent) {
				continue
			}
			if r, ok := j.Versions[v].route(a.Host, a.Path); ok {
				for _, service := range r.Services {
					requests[service] = append(requests[service], a.Sent)
				}
			}
			break
		}
		runs := slices.SortedFunc(slices.Values(j.runs[a.ID]), func(a, b Run) int { return a.Arrived.Compare(b.Arrived) })
		for i, run := range runs {
			if i > 0 {
				repeats[run.Service] = append(repeats[run.Service], run.Arrived)
			}
		}
	}
	for service, list := range repeats {
		slices.SortFunc(list, time.Time.Compare)
		slices.SortFunc(requests[service], time.Time.Compare)
		for _, end := range list {
			n := countBetween(list, end.Add(-j.terms.RetryWindow), end)
			allowed := j.terms.RetryRatio*float64(j.mostRequests(requests[service], end)) + float64(j.terms.RetryExtra)
			if float64(n) > allowed {
				j.add(Finding{Rule: RuleBudget, At: end, Text: fmt.Sprintf("%d retries reached %s within %v, %.0f are allowed", n, service, j.terms.RetryWindow, allowed)})
				break // The following windows overlap.
			}
		}
	}
}

// mostRequests returns the number of requests in the retry window up to a time, in the one before it, or in the
// one half a window before it, whichever is the largest.
func (j *judge) mostRequests(sent []time.Time, end time.Time) int {
	most := 0
	for _, back := range []time.Duration{0, j.terms.RetryWindow / 2, j.terms.RetryWindow} {
		to := end.Add(-back)
		most = max(most, countBetween(sent, to.Add(-j.terms.RetryWindow), to))
	}
	return most
}

// countBetween returns how many of some sorted times are after from and not after to.
func countBetween(list []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(list, from, compareAfter)
	last, _ := slices.BinarySearchFunc(list, to, compareAfter)
	return last - first
}

// compareAfter sorts a time that equals the target before it, so that a search finds the first later one.
func compareAfter(at, target time.Time) int {
	if at.After(target) {
		return 1
	}
	return -1
}
