package soak

import (
	"testing"
	"time"
)

// accountsWorld has a version with accounts a (key "ka") and b ("kb"), in which /a/ needs a key and /free/ doesn't, and
// from 0 s on one in which a key of a has moved to b, another is removed, and a third is new.
func accountsWorld(t *testing.T) *world {
	t.Helper()
	w := newWorld(t)
	w.r.Versions = nil
	w.version(1, -100, map[string]string{"/a/": "old", "/free/": "old"})
	w.version(2, 0, map[string]string{"/a/": "old", "/free/": "old"})
	for k, accounts := range []map[string][]string{
		{"a": {"ka", "moved", "removed"}, "b": {"kb"}, "empty": {}},
		{"a": {"ka"}, "b": {"kb", "moved", "added"}, "empty": {}},
	} {
		v := &w.r.Versions[k]
		v.Accounts = accounts
		free := v.Routes["/free/"]
		free.Anonymous = true
		v.Routes["/free/"] = free
	}
	return w
}

func present(key string) Credential { return Credential{CredentialPresent, key} }

func TestRunsForAccounts(t *testing.T) {
	absent, malformed := Credential{}, Credential{State: CredentialMalformed}
	for name, c := range map[string]struct {
		sent       float64 // The second version is acknowledged at 0 s; a key's change is bound 2 s later.
		path       string
		credential Credential
		accounts   []string
		change     func(w *world, a *Attempt, run *Run)
		want       map[Rule]int
	}{
		"its account":                           {5, "/a/", present("ka"), []string{"a"}, nil, nil},
		"its account, on an anonymous route":    {5, "/free/", present("ka"), []string{"a"}, nil, nil},
		"another account":                       {5, "/a/", present("ka"), []string{"b"}, nil, map[Rule]int{RuleUnasked: 1}},
		"an account that there never was":       {5, "/a/", present("ka"), []string{"x"}, nil, map[Rule]int{RuleUnasked: 1}},
		"no account":                            {5, "/a/", present("ka"), nil, nil, map[Rule]int{RuleUnasked: 1}},
		"an anonymous route drops the account":  {5, "/free/", present("ka"), nil, nil, map[Rule]int{RuleUnasked: 1}},
		"the caller's own account name as well": {5, "/a/", present("ka"), []string{"a", "a"}, nil, map[Rule]int{RuleUnasked: 1}},
		"an account name without a key":         {5, "/free/", absent, []string{"a"}, nil, map[Rule]int{RuleUnasked: 1}},
		"without a key":                         {5, "/a/", absent, nil, nil, map[Rule]int{RuleUnasked: 1}},
		"without a key, on an anonymous route":  {5, "/free/", absent, nil, nil, nil},
		"malformed":                             {5, "/a/", malformed, nil, nil, map[Rule]int{RuleUnasked: 1}},
		"malformed, on an anonymous route":      {5, "/free/", malformed, nil, nil, map[Rule]int{RuleUnasked: 1}},
		"malformed, with an account":            {5, "/a/", malformed, []string{"a"}, nil, map[Rule]int{RuleUnasked: 1}},
		"a key that never was":                  {5, "/a/", present("never"), []string{"a"}, nil, map[Rule]int{RuleRoute: 1}},
		"a key that never was, anonymous route": {5, "/free/", present("never"), nil, nil, map[Rule]int{RuleRoute: 1}},
		"a key that is not yet":                 {-1, "/a/", present("added"), []string{"b"}, nil, map[Rule]int{RuleRoute: 1}},
		"a moved key, before":                   {-1, "/a/", present("moved"), []string{"a"}, nil, nil},
		"a moved key, too early":                {-1, "/a/", present("moved"), []string{"b"}, nil, map[Rule]int{RuleUnasked: 1}},
		"a moved key, within the bound":         {1.9, "/a/", present("moved"), []string{"a"}, nil, nil},
		"a moved key, new owner":                {0.1, "/a/", present("moved"), []string{"b"}, nil, nil},
		"a moved key, beyond the bound":         {2.1, "/a/", present("moved"), []string{"a"}, nil, map[Rule]int{RuleUnasked: 1}},
		"a moved key, out of touch": {2.1, "/a/", present("moved"), []string{"a"}, func(w *world, _ *Attempt, _ *Run) {
			w.window(WindowMachine, "m", 1, 3)
		}, nil},
		"a moved key, restored store": {2.1, "/a/", present("moved"), []string{"a"}, func(w *world, _ *Attempt, _ *Run) {
			w.window(WindowStore, "", 1, 3)
		}, nil},
		"another account, out of touch": {2.1, "/a/", present("moved"), []string{"x"}, func(w *world, _ *Attempt, _ *Run) {
			w.window(WindowMachine, "m", 1, 3)
		}, map[Rule]int{RuleUnasked: 1}},
		"a key that never was, out of touch": {2.1, "/a/", present("never"), []string{"a"}, func(w *world, _ *Attempt, _ *Run) {
			w.window(WindowMachine, "m", 1, 3)
		}, map[Rule]int{RuleRoute: 1}},
		"a removed key, within the bound": {1.9, "/a/", present("removed"), []string{"a"}, nil, nil},
		"a removed key, beyond the bound": {2.1, "/a/", present("removed"), []string{"a"}, nil, map[Rule]int{RuleConfig: 1}},
		"a removed key, sent before the bound ends": {2.1, "/a/", present("removed"), []string{"a"}, func(w *world, a *Attempt, _ *Run) {
			a.Began = w.at(1.5)
		}, nil},
		"a removed key, out of touch": {2.1, "/a/", present("removed"), []string{"a"}, func(w *world, _ *Attempt, _ *Run) {
			w.window(WindowMachine, "m", 1, 3)
		}, nil},
		"a key of no account, turned away": {5, "/a/", present("never"), []string{"a"}, func(_ *world, _ *Attempt, run *Run) { run.Refused = true }, nil},
		"a key in the header": {5, "/a/", present("ka"), []string{"a"}, func(_ *world, _ *Attempt, run *Run) {
			run.KeyIn = "header"
		}, map[Rule]int{RuleUnasked: 1}},
		"a key in the trailer, turned away": {5, "/a/", present("ka"), []string{"a"}, func(_ *world, _ *Attempt, run *Run) {
			run.KeyIn, run.Refused = "trailer", true
		}, map[Rule]int{RuleUnasked: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			w := accountsWorld(t)
			w.ask(c.sent, c.path+"x", "old", func(a *Attempt, run *Run) {
				a.Credential, run.Accounts = c.credential, c.accounts
				if c.change != nil {
					c.change(w, a, run)
				}
			})
			w.want(c.want)
		})
	}
}

func TestRevocationBindsMachinesThatAreOutOfTouch(t *testing.T) {
	terms := DefaultTerms()
	terms.RevokeWithin = 5 * time.Second
	for sent, want := range map[float64]int{4.9: 0, 5.1: 1} {
		for _, key := range []string{"removed", "moved"} {
			w := accountsWorld(t)
			w.window(WindowMachine, "m", 1, 8)
			w.window(WindowStore, "", 1, 8)
			w.ask(sent, "/a/x", "old", func(a *Attempt, run *Run) { a.Credential, run.Accounts = present(key), []string{"a"} })
			if got := Judge(terms, w.r); len(got) != want {
				t.Errorf("%s, sent at %.1f s: %v", key, sent, got)
			}
		}
	}
}

func TestUnauthorized(t *testing.T) {
	for name, c := range map[string]struct {
		sent       float64
		path       string
		credential Credential
		window     *Window
		want       int
	}{
		"a known key":                       {5, "/a/", present("ka"), nil, 1},
		"a known key, anonymous":            {5, "/free/", present("ka"), nil, 1},
		"an unknown key":                    {5, "/a/", present("never"), nil, 0},
		"an unknown key, anonymous":         {5, "/free/", present("never"), nil, 0},
		"no key":                            {5, "/a/", Credential{}, nil, 0},
		"no key, anonymous":                 {5, "/free/", Credential{}, nil, 1},
		"malformed":                         {5, "/a/", Credential{State: CredentialMalformed}, nil, 0},
		"added, within the bound":           {1.9, "/a/", present("added"), nil, 0},
		"added, beyond the bound":           {2.1, "/a/", present("added"), nil, 1},
		"added, the machine is cut off":     {2.1, "/a/", present("added"), &Window{Kind: WindowMachine, Machine: "m"}, 1},
		"added, the store is silent":        {2.1, "/a/", present("added"), &Window{Kind: WindowStore, What: "store-silent"}, 1},
		"added, the store is restored":      {2.1, "/a/", present("added"), &Window{Kind: WindowStore, What: windowRestored}, 0},
		"always known, restored":            {2.1, "/a/", present("ka"), &Window{Kind: WindowStore, What: windowRestored}, 1},
		"removed, before":                   {-1, "/a/", present("removed"), nil, 1},
		"removed, within the bound":         {1, "/a/", present("removed"), nil, 0},
		"removed just after it was sent":    {-0.05, "/a/", present("removed"), nil, 0},
		"moved, as both versions hold it":   {0, "/a/", present("moved"), nil, 1},
		"moved, while the machine is alone": {1, "/a/", present("moved"), &Window{Kind: WindowMachine, Machine: "m"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := accountsWorld(t)
			if c.window != nil {
				c.window.From, c.window.To = w.at(1), w.at(3)
				w.r.Windows = append(w.r.Windows, *c.window)
			}
			id := w.ask(c.sent, c.path+"x", "", func(a *Attempt, _ *Run) { a.Status, a.Credential = 401, c.credential })
			w.want(map[Rule]int{RuleDenied: c.want})
			w.r.Runs = append(w.r.Runs, Run{Request: id, Upstream: "u", Service: "old", Arrived: w.at(c.sent), Refused: true})
			w.want(map[Rule]int{RuleDenied: c.want})
		})
	}
}

func TestUnauthorizedAfterARun(t *testing.T) {
	w := accountsWorld(t)
	w.ask(0.5, "/a/x", "old", func(a *Attempt, run *Run) {
		a.Credential, run.Accounts = present("removed"), []string{"a"}
		a.Status, a.Stamp, a.Whole = 401, "", false
	})
	w.want(map[Rule]int{RuleRefused: 1})
}

func TestUnauthorizedWithoutAccountsIsDenied(t *testing.T) {
	w := newWorld(t)
	for range deniedAllowed + 1 {
		w.ask(5, "/a/x", "", func(a *Attempt, _ *Run) { a.Status = 401 })
	}
	w.want(map[Rule]int{RuleDenied: deniedAllowed + 1})
}

func TestLeaks(t *testing.T) {
	for place, rule := range map[LeakPlace]Rule{
		LeakUpstream: RuleUnasked, LeakLink: RuleKey, LeakStore: RuleKey, LeakLog: RuleKey, LeakMetrics: RuleKey, LeakAnswer: RuleKey,
	} {
		w := accountsWorld(t)
		w.r.Leaks = []Leak{{Place: place, Machine: "m", Upstream: "u", At: w.at(5)}}
		w.want(map[Rule]int{rule: 1})
	}
}

func TestEarlyAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		early  Early
		change func(w *world, a *Attempt, run *Run)
		want   map[Rule]int
	}{
		"complete, arrives": {EarlyComplete, nil, nil},
		"complete 413, arrives": {EarlyComplete, func(_ *world, a *Attempt, run *Run) {
			a.Status, run.Status = 413, 413
		}, nil},
		"complete, lost":            {EarlyComplete, func(_ *world, a *Attempt, _ *Run) { a.Status, a.Stamp, a.Whole = 0, "", false }, map[Rule]int{RuleLost: 1}},
		"complete, replaced by 502": {EarlyComplete, func(_ *world, a *Attempt, _ *Run) { a.Status, a.Stamp, a.Whole = 502, "", false }, map[Rule]int{RuleLost: 1}},
		"complete 413, cut short": {EarlyComplete, func(_ *world, a *Attempt, run *Run) {
			a.Status, run.Status, a.Whole = 413, 413, false
		}, map[Rule]int{RuleLost: 1}},
		"complete, the caller left": {EarlyComplete, func(_ *world, a *Attempt, _ *Run) { a.Status, a.Stamp, a.Whole, a.GaveUp = 0, "", false, true }, nil},
		"complete, lost in a stop": {EarlyComplete, func(w *world, a *Attempt, _ *Run) {
			w.window(WindowMachineStop, "m", 4.9, 6)
			a.Status, a.Stamp, a.Whole = 502, "", false
		}, nil},
		"part, as complete": {EarlyPart, func(_ *world, a *Attempt, run *Run) {
			a.Whole, run.Outcome, run.Status = false, OutcomeBroken, 0
		}, map[Rule]int{RuleMixed: 1}},
		"part, answered 502": {EarlyPart, func(_ *world, a *Attempt, run *Run) {
			a.Status, a.Stamp, a.Whole, run.Outcome, run.Status = 502, "", false, OutcomeBroken, 0
		}, nil},
		"part, broken off": {EarlyPart, func(_ *world, a *Attempt, run *Run) {
			a.Status, a.Stamp, a.Whole, run.Outcome, run.Status = 0, "", false, OutcomeBroken, 0
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.ask(5, "/a/x", "old", func(a *Attempt, run *Run) {
				run.Early = c.early
				if c.change != nil {
					c.change(w, a, run)
				}
			})
			w.want(c.want)
		})
	}
}
