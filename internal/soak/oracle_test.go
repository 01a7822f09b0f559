package soak

import (
	"fmt"
	"testing"
	"time"
)

// world builds records around a fixed time.
type world struct {
	t  *testing.T
	t0 time.Time
	r  Records
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, t0: time.Unix(1_800_000_000, 0)}
	w.r = Records{Left: map[string]time.Time{}, Ended: map[string]time.Time{}}
	w.version(1, -100, map[string]string{"/a/": "old"})
	return w
}

func (w *world) at(seconds float64) time.Time {
	return w.t0.Add(time.Duration(seconds * float64(time.Second)))
}

// version adds a version with routes to services, acknowledged at a time in seconds.
func (w *world) version(number uint32, acked float64, routes map[string]string) {
	v := Version{Number: number, Routes: map[string]Route{}, Sent: w.at(acked), Acked: w.at(acked)}
	for prefix, service := range routes {
		v.Routes[prefix] = Route{Host: "h", Prefix: prefix, Services: []string{service}, Safe: true, Timeout: 3 * time.Second}
	}
	w.r.Versions = append(w.r.Versions, v)
}

// ask adds an attempt that a service answers 100 ms later; a service "" stands for a 404.
func (w *world) ask(sent float64, path, service string, change func(a *Attempt, run *Run)) string {
	id := fmt.Sprintf("%016x", len(w.r.Attempts))
	a := Attempt{ID: id, Host: "h", Path: path, Safe: true, Machine: "m", Life: 1, Sent: w.at(sent), Ended: w.at(sent + 0.1), Deadline: 4 * time.Second, Status: 200, Stamp: "stamp.u." + id, Whole: true}
	run := Run{Request: id, Upstream: "u", Service: service, Host: "h", Path: path, Arrived: w.at(sent + 0.01), Ended: w.at(sent + 0.09), Outcome: OutcomeAnswered, Status: 200}
	if service == "" {
		a.Status, a.Stamp, a.Whole = 404, "", false
	}
	if change != nil {
		change(&a, &run)
	}
	w.r.Attempts = append(w.r.Attempts, a)
	if service != "" {
		w.r.Runs = append(w.r.Runs, run)
	}
	return id
}

func (w *world) window(kind WindowKind, machine string, from, to float64) {
	w.r.Windows = append(w.r.Windows, Window{Kind: kind, Machine: machine, From: w.at(from), To: w.at(to)})
}

// want checks the number of findings by rule.
func (w *world) want(want map[Rule]int) {
	w.t.Helper()
	got := map[Rule]int{}
	for _, f := range Judge(DefaultTerms(), w.r) {
		got[f.Rule]++
		w.t.Logf("%s: %s", f.Rule, f.Text)
	}
	for _, rule := range []Rule{RuleConfig, RuleRegress, RuleShare, RuleDenied, RuleLost, RuleOwnEnd, RuleTwice, RuleRefused, RuleUnasked, RuleKey, RuleRoute, RuleDrain, RuleBudget, RuleGone, RuleMixed, RuleOverdue, RuleReplaced} {
		if got[rule] != want[rule] {
			w.t.Errorf("%s: %d findings, want %d", rule, got[rule], want[rule])
		}
	}
}

func TestConfigBoundIsFromTheAcknowledgement(t *testing.T) {
	w := newWorld(t)
	w.version(2, 0, map[string]string{"/a/": "new"})
	w.ask(1.99, "/a/x", "old", nil)
	w.want(nil)
	w.ask(2.01, "/a/x", "old", nil)
	w.want(map[Rule]int{RuleConfig: 1})
}

func TestConfigOfAddedAndRemovedRoutes(t *testing.T) {
	w := newWorld(t)
	w.version(2, 0, map[string]string{"/b/": "new"})
	w.ask(3, "/b/x", "", nil)
	w.want(map[Rule]int{RuleConfig: 1})
	w.ask(3, "/a/x", "old", nil)
	w.want(map[Rule]int{RuleConfig: 2})
}

func TestConfigMayBeNewerThanAcknowledged(t *testing.T) {
	w := newWorld(t)
	w.version(2, 5, map[string]string{"/a/": "new"})
	w.r.Versions[1].Sent = w.at(4)
	w.ask(4.5, "/a/x", "new", nil)
	w.want(nil)
}

func TestConfigHoldsOnlyInTouch(t *testing.T) {
	for _, kind := range []WindowKind{WindowStore, WindowMachine, WindowMachineStop, WindowStarved} {
		w := newWorld(t)
		w.version(2, 0, map[string]string{"/a/": "new"})
		w.window(kind, "m", 1, 4)
		w.ask(6.9, "/a/x", "old", nil)
		w.want(nil)
		w.ask(7.1, "/a/x", "old", nil)
		w.want(map[Rule]int{RuleConfig: 1})
	}
}

func TestConfigOfOtherMachinesIsJudged(t *testing.T) {
	w := newWorld(t)
	w.version(2, 0, map[string]string{"/a/": "new"})
	w.window(WindowMachine, "another", 1, 4)
	w.ask(3, "/a/x", "old", nil)
	w.want(map[Rule]int{RuleConfig: 1})
}

func TestConfigBoundIsStretchedByAnUnstableCore(t *testing.T) {
	w := newWorld(t)
	w.version(2, 0, map[string]string{"/a/": "new"})
	w.window(WindowStoreSome, "", -1, 20)
	w.ask(6.9, "/a/x", "old", nil)
	w.want(nil)
	w.ask(7.1, "/a/x", "old", nil)
	w.want(map[Rule]int{RuleConfig: 1})
}

func TestRegressHoldsOutOfTouchAndWithinOneProcess(t *testing.T) {
	w := newWorld(t)
	w.version(2, 0, map[string]string{"/a/": "new"})
	w.ask(0.5, "/a/x", "new", nil)
	w.ask(0.7, "/a/x", "old", nil)
	w.ask(1, "/a/x", "old", func(a *Attempt, _ *Run) { a.Life = 2 })
	w.want(nil)
	w.ask(1, "/a/x", "old", nil)
	w.want(map[Rule]int{RuleRegress: 1})
}

func TestDeniedNeedsMoreThanAFew(t *testing.T) {
	w := newWorld(t)
	for range deniedAllowed {
		w.ask(5, "/a/x", "", nil)
	}
	w.want(nil)
	w.ask(5, "/a/x", "", nil)
	w.want(map[Rule]int{RuleDenied: deniedAllowed + 1, RuleConfig: 0})
}

func TestShareOfAddedRoutes(t *testing.T) {
	w := newWorld(t)
	w.version(2, 0, map[string]string{"/a/": "old", "/b/": "new"})
	for range shareRequests {
		w.ask(5, "/a/x", "old", nil)
		w.ask(5, "/b/x", "", func(a *Attempt, _ *Run) { a.Status = 503 })
	}
	w.want(map[Rule]int{RuleShare: 1})
}

func TestTwiceRefusedUnaskedRouteMixed(t *testing.T) {
	w := newWorld(t)
	id := w.ask(1, "/a/x", "old", func(a *Attempt, _ *Run) { a.Safe = false })
	w.r.Runs = append(w.r.Runs, Run{Request: id, Upstream: "v", Service: "old", Arrived: w.at(1.05), Refused: true})
	w.want(nil)
	w.r.Runs = append(w.r.Runs, Run{Request: id, Upstream: "v", Service: "old", Arrived: w.at(1.05)})
	w.want(map[Rule]int{RuleTwice: 1})
	w.ask(1, "/a/x", "old", func(a *Attempt, _ *Run) { a.Safe, a.Status, a.Stamp = false, 503, "" })
	w.want(map[Rule]int{RuleTwice: 1, RuleRefused: 1})
	w.r.Runs = append(w.r.Runs, Run{Request: "none", Upstream: "u", Service: "old"})
	w.want(map[Rule]int{RuleTwice: 1, RuleRefused: 1, RuleUnasked: 1})
	w.ask(1, "/a/x", "third", nil)
	w.want(map[Rule]int{RuleTwice: 1, RuleRefused: 1, RuleUnasked: 1, RuleRoute: 1})
	w.ask(1, "/a/x", "old", func(a *Attempt, _ *Run) { a.Whole = false })
	w.want(map[Rule]int{RuleTwice: 1, RuleRefused: 1, RuleUnasked: 1, RuleRoute: 1, RuleMixed: 1})
}

// lost makes an attempt one that ends without an answer while its upstream is at work.
func (w *world) lost(lasted float64) func(a *Attempt, run *Run) {
	return func(a *Attempt, run *Run) {
		a.Status, a.Stamp, a.Whole, a.Err, a.Ended = 0, "", false, "EOF", a.Sent.Add(time.Duration(lasted*float64(time.Second)))
		run.Outcome, run.Status, run.Ended = OutcomeDropped, 0, a.Ended
	}
}

func TestLostAroundAPlannedStop(t *testing.T) {
	w := newWorld(t)
	w.window(WindowMachineStop, "m", 10, 16.5)
	w.ask(13.1, "/a/x", "old", w.lost(2.5))
	w.want(map[Rule]int{RuleLost: 1})
}

func TestLostAroundAPlannedStopIsExcused(t *testing.T) {
	for name, change := range map[string]func(w *world, a *Attempt, run *Run){
		"sent early, at work in the last sixth of grace": func(w *world, a *Attempt, run *Run) {
			a.Sent, run.Arrived, run.Ended, a.Ended = w.at(12.9), w.at(12.9), w.at(15.1), w.at(15.1)
		},
		"the upstream broke off":  func(_ *world, _ *Attempt, run *Run) { run.Outcome = OutcomeBroken },
		"the deadline is reached": func(_ *world, a *Attempt, _ *Run) { a.Deadline = time.Second },
		"an own answer at the deadline": func(_ *world, a *Attempt, _ *Run) {
			a.Status, a.Err, a.Deadline = 504, "", a.Ended.Sub(a.Sent)+15*time.Millisecond
		},
		"the route's timeout is reached": func(w *world, a *Attempt, run *Run) { a.Ended = a.Sent.Add(3 * time.Second); run.Ended = a.Ended },
		"unplanned disruption":           func(w *world, _ *Attempt, _ *Run) { w.window(WindowMachine, "m", 8, 10.5) },
		"no processor time":              func(w *world, _ *Attempt, _ *Run) { w.window(WindowStarved, "", 8, 10.5) },
		"the caller gave up":             func(_ *world, a *Attempt, _ *Run) { a.GaveUp = true },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.window(WindowMachineStop, "m", 10, 16.5)
			w.ask(13.1, "/a/x", "old", func(a *Attempt, run *Run) {
				w.lost(2.5)(a, run)
				change(w, a, run)
			})
			w.want(nil)
		})
	}
}

// A request that the second of two stops cut off in the last sixth of its grace was judged by the first.
func TestLostAroundTheSecondOfTwoStopsIsJudgedByIt(t *testing.T) {
	for sent, want := range map[float64]int{14.2: 0, 15.2: 1} { // At 2.2 and 3.2 s of the second stop.
		w := newWorld(t)
		w.window(WindowMachineStop, "m", 9, 11.9)
		w.window(WindowMachineStop, "m", 12, 18)
		w.ask(sent, "/a/x", "old", func(a *Attempt, run *Run) {
			a.Status, a.Stamp, a.Whole, a.Err = 0, "", false, "unexpected EOF"
			a.Deadline, a.Ended = 10*time.Second, w.at(17.1)
			run.Outcome, run.Ended = OutcomeDropped, w.at(17.1)
		})
		w.want(map[Rule]int{RuleLost: want})
	}
}

func TestLostAroundAPlannedStopIsNotExcusedByTheStore(t *testing.T) {
	w := newWorld(t)
	w.window(WindowMachineStop, "m", 10, 16.5)
	w.window(WindowStore, "", 10, 15)
	w.ask(13.1, "/a/x", "old", w.lost(2.5))
	w.want(map[Rule]int{RuleLost: 1})
}

func TestReadAndNotAnsweredAroundAPlannedStop(t *testing.T) {
	for reason, want := range map[string]int{"unexpected EOF": 1, "EOF": 1, "connection reset by peer": 0} {
		w := newWorld(t)
		w.window(WindowMachineStop, "m", 10, 16.5)
		w.ask(13.4, "/a/x", "", func(a *Attempt, _ *Run) {
			a.Status, a.Err, a.Ended = 0, reason, a.Sent.Add(400*time.Millisecond)
		})
		w.want(map[Rule]int{RuleLost: want})
	}
}

// A request on a connection that has fallen silent never reaches its upstream; the rules count that as a reset of the
// connections of all machines.
func TestReadAndNotAnsweredBehindADisruptedLinkIsExcused(t *testing.T) {
	for name, c := range map[string]struct {
		from, to float64 // Of the disruption; the request is sent at 1 s, and its connection ends at 4 s.
		want     int
	}{
		"before":          {0.5, 0.5, 0},
		"while it waits":  {2, 2, 0},
		"long before":     {-3, -2.5, 1},
		"after its close": {4.5, 5, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.window(WindowMachineStop, "m", 0, 10)
			w.r.Windows = append(w.r.Windows, Window{Kind: WindowLink, Upstream: "u", From: w.at(c.from), To: w.at(c.to)})
			w.ask(1, "/a/x", "old", func(a *Attempt, run *Run) {
				a.Status, a.Stamp, a.Whole, a.Err, a.Ended = 0, "", false, "unexpected EOF", w.at(4)
				run.Refused = true
			})
			w.want(map[Rule]int{RuleLost: c.want})
		})
	}
}

func TestAnswerInPlaceOfAnUpstreamAtWorkAfterSIGTERM(t *testing.T) {
	w := newWorld(t)
	w.window(WindowMachineStop, "m", 10, 16.5)
	w.ask(13.1, "/a/x", "old", func(a *Attempt, run *Run) {
		w.lost(1)(a, run)
		a.Status, a.Err = 504, ""
	})
	w.want(map[Rule]int{RuleReplaced: 1})
}

func TestLostOnKeptConnectionsNeedsMoreThanThree(t *testing.T) {
	w := newWorld(t)
	kept := func(a *Attempt, run *Run) {
		w.lost(0.5)(a, run)
		a.Kept = true
	}
	for range lostKeptAllowed {
		w.ask(20, "/a/x", "old", kept)
	}
	w.want(nil)
	w.ask(20, "/a/x", "old", kept)
	w.want(map[Rule]int{RuleLost: lostKeptAllowed + 1})
}

func TestDrainBoundIsFromTheAcknowledgement(t *testing.T) {
	w := newWorld(t)
	w.r.Left["u"] = w.at(10)
	w.ask(11.9, "/a/x", "old", nil)
	w.want(nil)
	w.ask(12.1, "/a/x", "old", nil)
	w.want(map[Rule]int{RuleDrain: 1})
	w.window(WindowStore, "", 8, 8.5)
	w.want(nil)
}

// What a cut link holds up arrives late, which the rules excuse.
func TestDrainIsExcusedBehindADisruptedLink(t *testing.T) {
	for name, c := range map[string]struct {
		from, to float64 // Of the disruption; the request arrives at 12.11 s, 0.11 s late.
		want     int
	}{
		"while it is on its way": {11, 12.1, 0},
		"just before":            {9, 9.5, 0},
		"long before":            {8, 9, 1},
		"afterwards":             {12.2, 13, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.r.Left["u"] = w.at(10)
			w.ask(12.1, "/a/x", "old", nil)
			w.r.Windows = append(w.r.Windows, Window{Kind: WindowLink, Upstream: "u", From: w.at(c.from), To: w.at(c.to)})
			w.want(map[Rule]int{RuleDrain: c.want})
		})
	}
}

func TestOwnEnds(t *testing.T) {
	for name, c := range map[string]struct {
		machine string
		at      float64
		want    int
	}{
		"calm":                      {"m", 9.9, 1},
		"while it is stopped":       {"m", 12, 0},
		"just after its start":      {"m", 16.9, 0},
		"later":                     {"m", 17.1, 1},
		"while another is stopped":  {"n", 12, 1},
		"after a reload, in calm":   {"m", 21, 1},
		"while the store is silent": {"m", 31, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.window(WindowMachineStop, "m", 10, 16)
			w.window(WindowReload, "m", 20, 20)
			w.window(WindowStore, "", 30, 34)
			w.r.OwnEnds = []OwnEnd{{c.machine, w.at(c.at), "exit status 1"}}
			w.want(map[Rule]int{RuleOwnEnd: c.want})
		})
	}
}

func TestRequestsThatOutlastTheirTimeout(t *testing.T) {
	w := newWorld(t)
	for range overdueAllowed {
		w.ask(5, "/a/x", "old", func(a *Attempt, _ *Run) { a.Ended = a.Sent.Add(3700 * time.Millisecond) })
	}
	w.want(map[Rule]int{RuleOverdue: 1})
}

// An announcement binds the process that passed it on, whatever the store and the links do, and no other.
func TestDrainBoundIsFromAnAnnouncement(t *testing.T) {
	for name, c := range map[string]struct {
		sent   float64 // The answer that announces arrives at 10.1 s; the bound is 2 s.
		change func(w *world, a *Attempt, run *Run)
		want   int
	}{
		"within the bound":    {12.05, nil, 0},
		"beyond the bound":    {12.15, nil, 1},
		"refused there":       {12.15, func(_ *world, _ *Attempt, run *Run) { run.Refused = true }, 1},
		"the store is silent": {12.15, func(w *world, _ *Attempt, _ *Run) { w.window(WindowStore, "", 8, 14) }, 1},
		"the machine is cut off": {12.15, func(w *world, _ *Attempt, _ *Run) {
			w.window(WindowMachine, "m", 8, 14)
		}, 1},
		"the process was frozen": {12.15, func(w *world, _ *Attempt, _ *Run) {
			w.r.Windows = append(w.r.Windows, Window{Kind: WindowMachine, Machine: "m", Frozen: true, From: w.at(11), To: w.at(11.5)})
		}, 0},
		"it was frozen before": {12.15, func(w *world, _ *Attempt, _ *Run) {
			w.r.Windows = append(w.r.Windows, Window{Kind: WindowMachine, Machine: "m", Frozen: true, From: w.at(9), To: w.at(9.5)})
		}, 1},
		"another process":  {12.15, func(_ *world, a *Attempt, _ *Run) { a.Life = 2 }, 0},
		"another machine":  {12.15, func(_ *world, a *Attempt, _ *Run) { a.Machine = "n" }, 0},
		"another upstream": {12.15, func(_ *world, a *Attempt, run *Run) { run.Upstream, a.Stamp = "v", "stamp.v."+a.ID }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.ask(10, "/a/x", "old", func(a *Attempt, _ *Run) { a.Leaving = true })
			w.ask(c.sent, "/a/x", "old", func(a *Attempt, run *Run) {
				if c.change != nil {
					c.change(w, a, run)
				}
			})
			w.want(map[Rule]int{RuleDrain: c.want})
		})
	}
}

func TestHoldOffAllowsTwoRequests(t *testing.T) {
	for name, c := range map[string]struct {
		sent   []float64 // The upstream turns a request away at 10.1 s, for 2 s.
		change func(w *world, a *Attempt, run *Run)
		want   int
	}{
		"within half a second":   {[]float64{10.2, 10.3, 10.4, 10.5}, nil, 0},
		"two":                    {[]float64{10.7, 11}, nil, 0},
		"three":                  {[]float64{10.7, 11, 12}, nil, 1},
		"after the time":         {[]float64{10.7, 11, 12.2, 12.3}, nil, 0},
		"from another machine":   {[]float64{10.7, 11, 12}, func(_ *world, a *Attempt, _ *Run) { a.Machine = "n" }, 0},
		"the machine is cut off": {[]float64{10.7, 11, 12}, func(w *world, _ *Attempt, _ *Run) { w.window(WindowMachine, "m", 10.5, 11) }, 0},
		"the store is silent":    {[]float64{10.7, 11, 12}, func(w *world, _ *Attempt, _ *Run) { w.window(WindowStore, "", 10.5, 11) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.ask(10, "/a/x", "old", func(a *Attempt, run *Run) {
				a.Status, a.Stamp, a.Whole = 503, "", false
				run.Refused, run.HoldOff, run.Ended, run.Status = true, 2*time.Second, w.at(10.1), 503
			})
			for _, sent := range c.sent {
				w.ask(sent, "/a/x", "old", func(a *Attempt, run *Run) {
					if c.change != nil {
						c.change(w, a, run)
					}
				})
			}
			w.want(map[Rule]int{RuleBudget: c.want})
		})
	}
}

func TestLimitBindsAllMachinesThatKnowIt(t *testing.T) {
	every := func(from, to, step float64) (list []float64) {
		for at := from; at < to; at += step {
			list = append(list, at)
		}
		return list
	}
	for name, c := range map[string]struct {
		sent   []float64 // The upstream names a limit of 2 a second from 10 s on; 17 requests in 4 s are allowed.
		change func(w *world, a *Attempt, run *Run)
		want   int
	}{
		"as many as the limit":              {every(10, 24, 0.5), nil, 0},
		"half as many again":                {every(10, 24, 0.334), nil, 0},
		"twice as many":                     {every(10, 24, 0.24), nil, 1},
		"17 at once":                        {append([]float64{10}, every(15, 15.017, 0.001)...), nil, 0},
		"18 at once":                        {append([]float64{10}, every(15, 15.018, 0.001)...), nil, 1},
		"18 at once, within stable_window":  {append([]float64{10}, every(12, 12.018, 0.001)...), nil, 0},
		"from machines that do not know it": {append([]float64{10}, every(15, 15.03, 0.001)...), func(_ *world, a *Attempt, _ *Run) { a.Machine = a.ID }, 0},
		"divided between two machines": {every(10, 24, 0.24), func(_ *world, a *Attempt, _ *Run) {
			if len(a.ID)%2 == 0 {
				a.Machine = "n"
			}
		}, 1},
		"the machine is cut off": {every(10, 24, 0.24), func(w *world, _ *Attempt, _ *Run) { w.window(WindowMachine, "m", 10.5, 24) }, 0},
		"the store is silent":    {every(10, 24, 0.24), func(w *world, _ *Attempt, _ *Run) { w.window(WindowStore, "", 10.5, 24) }, 1},
		"it names none":          {every(10, 24, 0.24), func(_ *world, _ *Attempt, run *Run) { run.Limit = nil }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			rate := 2.0
			for _, sent := range c.sent {
				w.ask(sent, "/a/x", "old", func(a *Attempt, run *Run) {
					run.Limit = &rate
					if c.change != nil {
						c.change(w, a, run)
					}
				})
			}
			w.want(map[Rule]int{RuleLimit: c.want})
		})
	}
}

func TestMemoryBeyondTheLimit(t *testing.T) {
	w := newWorld(t)
	terms := DefaultTerms()
	terms.MemoryBytes = 100 << 20
	for bytes, want := range map[int64]int{terms.MemoryBytes: 0, terms.MemoryBytes + 1: 1} {
		w.r.Memory = map[string]int64{"m": bytes}
		if got := Judge(terms, w.r); len(got) != want {
			t.Errorf("%d bytes: %v", bytes, got)
		}
	}
}
