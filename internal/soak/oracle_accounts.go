package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// CredentialState is what a request carries to say on whose account it runs.
type CredentialState int

// States of a request's credential.
const (
	CredentialAbsent    CredentialState = iota
	CredentialMalformed                 // Repeated, of another scheme, or without a key.
	CredentialPresent
)

// Credential is the credential of a request.
type Credential struct {
	State CredentialState
	Key   string // If one is present.
}

// LeakPlace is where a key was seen that must stay in the instance that read it.
type LeakPlace string

// Places of leaks.
const (
	LeakUpstream LeakPlace = "upstream" // In the bytes that an upstream received.
	LeakLink     LeakPlace = "link"     // In a datagram between instances.
	LeakStore    LeakPlace = "store"    // In a value that an instance wrote to the store.
	LeakLog      LeakPlace = "log"
	LeakMetrics  LeakPlace = "metrics"
	LeakAnswer   LeakPlace = "answer" // In what a caller received.
)

// Leak is a key that was seen outside the instance that read it.
type Leak struct {
	Place             LeakPlace
	Machine, Upstream string // Whichever is known.
	At                time.Time
	Text              string
}

// owner returns the account that holds a key in a version.
func (v *Version) owner(key string) (string, bool) {
	for name, keys := range v.Accounts {
		if slices.Contains(keys, key) {
			return name, true
		}
	}
	return "", false
}

// hasAccounts reports whether a version enables accounts.
func (v *Version) hasAccounts() bool { return v.Accounts != nil }

// runsAs reports whether a version allows a request to run with the account names that its upstream received.
func (v *Version) runsAs(a *Attempt, accounts []string) bool {
	if !v.hasAccounts() {
		return true
	}
	switch a.Credential.State {
	case CredentialPresent:
		owner, ok := v.owner(a.Credential.Key)
		return ok && len(accounts) == 1 && accounts[0] == owner
	case CredentialMalformed:
		return false
	default:
		r, ok := v.route(a.Host, a.Path)
		return ok && r.Anonymous && len(accounts) == 0
	}
}

// rejects reports whether a version allows a 401 for a request.
func (v *Version) rejects(a *Attempt) bool {
	if !v.hasAccounts() {
		return false
	}
	switch a.Credential.State {
	case CredentialPresent:
		_, ok := v.owner(a.Credential.Key)
		return !ok
	case CredentialMalformed:
		return true
	default:
		r, ok := v.route(a.Host, a.Path)
		return !ok || !r.Anonymous
	}
}

// began returns when the first byte of a request was sent. Its key may be checked from then on.
func (a *Attempt) began() time.Time {
	if a.Began.IsZero() {
		return a.Sent
	}
	return a.Began
}

// inForce returns the versions that may be in force for a request from its sending until a time.
func (j *judge) inForce(a *Attempt, until time.Time) []Version {
	oldest := 0
	if t := j.touch(a.Machine, a.began(), until); t != outOfTouch {
		oldest = j.oldest(a.began(), j.within(t))
	}
	if j.terms.RevokeWithin > 0 {
		oldest = max(oldest, j.oldest(a.began(), j.terms.RevokeWithin))
	}
	return j.versions(oldest, until)
}

// confirmed returns the versions that may have led to a 401 for a request. An instance that cannot show that its
// configuration was the store's at most ApplyWithin ago answers 503 instead; a restored store shows an older one.
func (j *judge) confirmed(a *Attempt) []Version {
	from := a.began().Add(-j.terms.StableWindow)
	if slices.ContainsFunc(j.Windows, func(w Window) bool {
		return w.What == windowRestored && !w.From.After(a.Ended) && !w.To.Before(from)
	}) {
		return j.versions(0, a.Ended)
	}
	return j.versions(j.oldest(a.began(), j.terms.ApplyWithin), a.Ended)
}

// versions returns the versions from an index on that were sent by a time.
func (j *judge) versions(oldest int, until time.Time) []Version {
	oldest = max(oldest, 0)
	end := oldest
	for end < len(j.Versions) && !j.Versions[end].Sent.After(until) {
		end++
	}
	return j.Versions[oldest:end]
}

// checkAccounts looks for requests that ran for the wrong account or without one, for keys where none may be, and
// for requests with a known key that were answered 401.
func (j *judge) checkAccounts() {
	if !j.accounts {
		return
	}
	seen := map[string]bool{} // Upstreams at which a request with a key was recorded.
	for k := range j.Attempts {
		a := &j.Attempts[k]
		for _, run := range j.runs[a.ID] {
			if run.KeyIn != "" {
				seen[run.Upstream] = true
				j.addRun(RuleUnasked, a, run, 0, "a key reached %s in the %s", run.Upstream, run.KeyIn)
			}
			j.checkRun(a, run)
		}
		j.checkUnauthorized(a)
	}
	for _, l := range j.Leaks {
		f := Finding{Rule: RuleKey, Machine: l.Machine, At: l.At, Text: fmt.Sprintf("a key in the bytes of: %s %s", l.Place, l.Text)}
		if l.Place == LeakUpstream {
			if seen[l.Upstream] {
				continue
			}
			f.Rule = RuleUnasked
		}
		j.add(f)
	}
}

func (j *judge) addRun(rule Rule, a *Attempt, run Run, beyond time.Duration, format string, args ...any) {
	j.add(Finding{Rule: rule, Request: a.ID, Machine: a.Machine, At: run.Arrived, Beyond: beyond, Text: fmt.Sprintf(format, args...)})
}

// checkRun judges the account for which a request ran.
func (j *judge) checkRun(a *Attempt, run Run) {
	candidates := j.inForce(a, run.Arrived)
	if !slices.ContainsFunc(candidates, func(v Version) bool { return v.hasAccounts() }) {
		return
	}
	credential := a.Credential
	switch {
	case len(run.Accounts) > 1:
		j.addRun(RuleUnasked, a, run, 0, "%s received several account names: %q", run.Upstream, run.Accounts)
		return
	case credential.State != CredentialPresent && len(run.Accounts) > 0 && !run.Refused:
		j.addRun(RuleUnasked, a, run, 0, "without a valid credential, ran for the account %q", run.Accounts)
		return
	}
	if run.Refused || slices.ContainsFunc(candidates, func(v Version) bool { return v.runsAs(a, run.Accounts) }) {
		return
	}
	if credential.State != CredentialPresent {
		j.addRun(RuleUnasked, a, run, 0, "ran without a valid credential on a route that needs one")
		return
	}
	known := false
	for k := range candidates {
		_, ok := candidates[k].owner(credential.Key)
		known = known || ok
	}
	if known {
		j.addRun(RuleUnasked, a, run, 0, "ran for the account %q, which held the key in no version that may be in force", run.Accounts)
		return
	}
	for v := len(j.Versions) - 1; v >= 0; v-- {
		if _, ok := j.Versions[v].owner(credential.Key); !ok || j.Versions[v].Sent.After(run.Arrived) {
			continue
		}
		removed := j.Versions[v+1]
		j.addRun(RuleConfig, a, run, a.began().Sub(removed.Acked), "ran for the account %q; version %08x, without the key, was acknowledged %.3f s before the request was sent",
			run.Accounts, removed.Number, a.began().Sub(removed.Acked).Seconds())
		return
	}
	j.addRun(RuleRoute, a, run, 0, "ran for the account %q with a key that no version held", run.Accounts)
}

// checkUnauthorized judges a 401 of the fleet's own.
func (j *judge) checkUnauthorized(a *Attempt) {
	if a.Status != http.StatusUnauthorized || a.Stamp != "" {
		return
	}
	if run, ok := j.lastRun(a); ok {
		j.addRun(RuleRefused, a, run, 0, "answered 401 and ran at %s", run.Upstream)
	}
	if !slices.ContainsFunc(j.confirmed(a), func(v Version) bool { return v.rejects(a) }) {
		j.add(Finding{Rule: RuleDenied, Request: a.ID, Machine: a.Machine, At: a.Sent, Text: fmt.Sprintf("%s%s answered 401, which no version that may be in force allows", a.Host, a.Path)})
	}
}

// checkEarly looks for complete answers that an upstream sent before it had read the request, and that the caller
// didn't get.
func (j *judge) checkEarly() {
	for k := range j.Attempts {
		a := &j.Attempts[k]
		run, ok := j.lastRun(a)
		if !ok || run.Early != EarlyComplete || a.GaveUp || a.Status == run.Status && a.Whole {
			continue
		}
		executed := 0
		for _, r := range j.runs[a.ID] {
			if !r.Refused {
				executed++
			}
		}
		took := a.Ended.Sub(a.began()) + deadlineMargin
		if executed > 1 || took >= a.Deadline || j.interrupted(a, run) {
			continue
		}
		j.addRun(RuleLost, a, run, 0, "a complete early answer %d of %s did not arrive: status %d, %s", run.Status, run.Upstream, a.Status, strings.TrimSpace(a.Err))
	}
}

// interrupted reports whether the machine, its process or the links of the upstream were disrupted around a request.
func (j *judge) interrupted(a *Attempt, run Run) bool {
	from := a.began().Add(-j.terms.StableWindow)
	if ended, ok := j.Ended[run.Upstream]; ok && !ended.After(a.Ended) {
		return true
	}
	return slices.ContainsFunc(j.Windows, func(w Window) bool {
		if w.From.After(a.Ended) || w.To.Before(from) {
			return false
		}
		switch w.Kind {
		case WindowStarved:
			return true
		case WindowMachine, WindowMachineStop:
			return w.Machine == a.Machine
		case WindowLink:
			return w.Upstream == run.Upstream
		}
		return false
	})
}
