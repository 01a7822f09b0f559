package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/accounts"
)

// newTestLimiter returns a Limiter that has known its peers for long enough to credit.
func newTestLimiter(full bool, peers int, limits map[accounts.ID]Limit) (*Limiter, time.Time) {
	l := New(testConfig, epoch, full, rand.NewPCG(1, 2))
	l.SetLimits(epoch, limits)
	l.SetPeers(epoch, peers)
	now := epoch.Add(maxGap)
	for p := range peers {
		l.Heard(now, uint64(p))
	}
	l.SetPeers(now, peers)
	return l, now
}

// takeAll takes requests until one is rejected.
func takeAll(l *Limiter, now time.Time, a accounts.ID, urgency int) int {
	for n := 0; ; n++ {
		if ok, _ := l.Take(now, a, urgency); !ok {
			return n
		}
	}
}

func TestTokens(t *testing.T) {
	const a = accounts.ID(1)
	limit := Limit{Rate: 10, Burst: 20}
	full := int((&Limiter{cfg: testConfig}).capacity(limit))
	if full < 20 {
		t.Fatalf("a full bucket holds %d requests, the burst is 20", full)
	}
	for name, tc := range map[string]struct {
		full  bool
		peers int
		do    func(l *Limiter, now time.Time) time.Time
		want  int
	}{
		"first start":  {true, 0, func(_ *Limiter, now time.Time) time.Time { return now }, full},
		"empty":        {false, 0, func(_ *Limiter, now time.Time) time.Time { return now }, 0},
		"own rate":     {false, 0, func(_ *Limiter, now time.Time) time.Time { return now.Add(1050 * time.Millisecond) }, 10},
		"silent peers": {false, 4, func(_ *Limiter, now time.Time) time.Time { return now.Add(1050 * time.Millisecond) }, 2},
		"a peer is heard": {false, 1, func(l *Limiter, now time.Time) time.Time {
			l.Heard(now.Add(500*time.Millisecond), 0)
			l.Heard(now.Add(1050*time.Millisecond), 0)
			return now.Add(1050 * time.Millisecond)
		}, 10},
		"a gap is not credited": {false, 1, func(l *Limiter, now time.Time) time.Time {
			l.Heard(now.Add(1150*time.Millisecond), 0)
			return now.Add(1150 * time.Millisecond)
		}, 5},
		"a peer's use": {true, 1, func(l *Limiter, now time.Time) time.Time {
			l.HandleReport(now, 0, []Use{{Account: a, Taken: 5, Recent: 5}})
			return now
		}, full - 5},
		"a duplicate, and a late report": {true, 1, func(l *Limiter, now time.Time) time.Time {
			for _, n := range []uint32{5, 5, 3, 5} {
				l.HandleReport(now, 0, []Use{{Account: a, Taken: n, Recent: n}})
			}
			return now
		}, full - 5},
		"a lost report": {true, 1, func(l *Limiter, now time.Time) time.Time {
			l.HandleReport(now, 0, []Use{{Account: a, Taken: 1, Recent: 1}})
			l.HandleReport(now, 0, []Use{{Account: a, Taken: 7, Recent: 7}})
			return now
		}, full - 7},
		"a count that wraps": {true, 1, func(l *Limiter, now time.Time) time.Time {
			l.HandleReport(now, 0, []Use{{Account: a, Taken: 1<<32 - 1, Recent: 2}})
			l.HandleReport(now, 0, []Use{{Account: a, Taken: 2, Recent: 5}})
			return now
		}, full - 5},
		"a count of unknown age": {true, 1, func(l *Limiter, now time.Time) time.Time {
			l.HandleReport(now, 0, []Use{{Account: a, Taken: 1000, Recent: 1}})
			return now
		}, full - 1},
		"use in a gap": {true, 1, func(l *Limiter, now time.Time) time.Time {
			l.HandleReport(now, 0, []Use{{Account: a, Taken: 1, Recent: 1}})
			now = now.Add(1150 * time.Millisecond)
			l.Heard(now, 0)
			l.HandleReport(now, 0, []Use{{Account: a, Taken: 9, Recent: 9}})
			return now
		}, full},
		"a peer's return": {true, 1, func(l *Limiter, now time.Time) time.Time {
			l.HandleReport(now, 0, []Use{{Account: a, Taken: 5, Recent: 5}})
			l.HandleReport(now, 0, []Use{{Account: a, Taken: 5, Returned: 3, Recent: 5}})
			return now
		}, full - 2},
		"own return": {true, 0, func(l *Limiter, now time.Time) time.Time {
			takeAll(l, now, a, 0)
			l.Return(now, a)
			l.Return(now, a)
			return now
		}, 2},
		"a return without a request": {true, 0, func(l *Limiter, now time.Time) time.Time {
			takeAll(l, now, a, 0)
			for range 2 * full {
				l.Return(now, a)
			}
			return now
		}, full},
		"lowered": {true, 0, func(l *Limiter, now time.Time) time.Time {
			l.SetLimits(now, map[accounts.ID]Limit{a: {Rate: 1, Burst: 1}}) // And one of what is stored for late contributions.
			return now
		}, 2},
		"raised": {false, 0, func(l *Limiter, now time.Time) time.Time {
			l.SetLimits(now, map[accounts.ID]Limit{a: {Rate: 40, Burst: 60}})
			return now.Add(1010 * time.Millisecond)
		}, 40},
		"removed and added": {false, 0, func(l *Limiter, now time.Time) time.Time {
			now = now.Add(testConfig.Window)
			takeAll(l, now, a, 0)
			l.SetLimits(now, nil)
			l.SetLimits(now, map[accounts.ID]Limit{a: limit})
			return now
		}, full},
		"added at once after a start": {false, 0, func(l *Limiter, now time.Time) time.Time {
			l.SetLimits(now, nil)
			l.SetLimits(now, map[accounts.ID]Limit{a: limit})
			return now
		}, 0},
		"adopted": {false, 0, func(l *Limiter, now time.Time) time.Time {
			l.Adopt(now, []Level{{Account: a, Tokens: 4.5}}, true)
			l.Adopt(now, []Level{{Account: a, Tokens: 9}}, true)
			return now
		}, 4},
		"adopted full": {false, 0, func(l *Limiter, now time.Time) time.Time {
			l.Adopt(now, nil, true)
			return now
		}, full},
		"adopted, with use that is included": {false, 1, func(l *Limiter, now time.Time) time.Time {
			l.Adopt(now, []Level{{Account: a, Tokens: 8.5}}, true)
			l.HandleReport(now, 0, []Use{{Account: a, Taken: 6, Recent: 6}})
			l.HandleReport(now, 0, []Use{{Account: a, Taken: 9, Recent: 9}})
			return now
		}, 5},
		"adopted in part": {false, 0, func(l *Limiter, now time.Time) time.Time {
			l.Adopt(now, []Level{{Account: 2, Tokens: 4}}, false)
			return now
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, now := newTestLimiter(tc.full, tc.peers, map[accounts.ID]Limit{a: limit})
			now = tc.do(l, now)
			if got := takeAll(l, now, a, 0); got != tc.want {
				t.Errorf("%d requests may run, want %d", got, tc.want)
			}
		})
	}
}

func TestAccountsWithoutALimit(t *testing.T) {
	l, now := newTestLimiter(false, 3, map[accounts.ID]Limit{1: {Rate: 0, Burst: 5}})
	for _, a := range []accounts.ID{1, 2} {
		for range 1000 {
			if ok, _ := l.Take(now, a, 0); !ok {
				t.Fatalf("a request of account %d was rejected", a)
			}
		}
		l.Return(now, a)
	}
	if uses := l.Report(now, 10); len(uses) > 0 || l.Load(now, 1) != 0 {
		t.Errorf("reported %v, load %g", uses, l.Load(now, 1))
	}
}

func TestRetryAfterSaysWhenThereIsRoom(t *testing.T) {
	l, now := newTestLimiter(true, 0, map[accounts.ID]Limit{1: {Rate: 2, Burst: 1}})
	takeAll(l, now, 1, 0)
	_, wait := l.Take(now, 1, 0)
	if ok, _ := l.Take(now.Add(wait-10*time.Millisecond), 1, 0); ok {
		t.Errorf("a request ran before %v", wait)
	}
	if ok, _ := l.Take(now.Add(wait+time.Millisecond), 1, 0); !ok {
		t.Errorf("no request ran after %v", wait)
	}
}

// At the limit, more urgent requests are served first.
func TestUrgentRequestsTakePrecedence(t *testing.T) {
	l, now := newTestLimiter(false, 0, map[accounts.ID]Limit{1: {Rate: 20, Burst: 10}})
	served := [2]int{}
	const seconds = 20
	for step := range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		if step%2 == 0 { // 50 a second that are less urgent, 10 that are more urgent.
			if ok, _ := l.Take(now, 1, 3); ok {
				served[1]++
			}
		}
		if step%10 == 5 {
			if ok, _ := l.Take(now, 1, 1); ok {
				served[0]++
			}
		}
	}
	if served[0] < 9*seconds || served[0]+served[1] < 18*seconds {
		t.Errorf("served %d of %d more urgent requests, %d in all of %d", served[0], 10*seconds, served[0]+served[1], 20*seconds)
	}
}

func TestReportsAreBoundedAndRepeated(t *testing.T) {
	limits := map[accounts.ID]Limit{}
	for a := range accounts.ID(10) {
		limits[a] = Limit{Rate: 10, Burst: 10}
	}
	l, now := newTestLimiter(true, 1, limits)
	for a := range accounts.ID(10) {
		l.Take(now, a, 0)
	}
	var got []accounts.ID
	for l.HasChanges() {
		uses := l.Report(now, 4)
		if len(uses) > 4 {
			t.Fatalf("%d uses in a report of 4", len(uses))
		}
		for _, u := range uses {
			got = append(got, u.Account)
		}
	}
	if slices.Sort(got); len(slices.Compact(got)) != 10 {
		t.Errorf("reported %v", got)
	}
	repeated := 0
	for range 10 {
		now = now.Add(repeatInterval)
		repeated += len(l.Report(now, 40))
	}
	if repeated != 20 {
		t.Errorf("%d repeated counts, want 2 of each account", repeated)
	}
}

// Instances that don't report to each other use equal parts.
func TestSeparateInstances(t *testing.T) {
	const instances, seconds = 40, 30
	limit := Limit{Rate: 20, Burst: 10}
	ran := 0
	for k := range instances {
		l := New(testConfig, epoch, true, rand.NewPCG(uint64(k), 3))
		l.SetLimits(epoch, map[accounts.ID]Limit{1: limit})
		l.SetPeers(epoch, instances-1)
		l.SetSeparate(epoch, true)
		for now := epoch; now.Sub(epoch) < seconds*time.Second; now = now.Add(20 * time.Millisecond) {
			if ok, _ := l.Take(now, 1, 0); ok {
				ran++
			}
		}
	}
	if most := limit.Rate*seconds*(1+testConfig.Excess) + limit.Burst + testConfig.Tolerance; float64(ran) > most || float64(ran) < 0.8*limit.Rate*seconds {
		t.Errorf("%d requests ran in %d s at a rate of %g", ran, seconds, limit.Rate)
	}
}

func TestLoad(t *testing.T) {
	l, now := newTestLimiter(true, 1, map[accounts.ID]Limit{1: {Rate: 10, Burst: 100}})
	for range 240 { // Each instance uses half of the limit.
		now = now.Add(100 * time.Millisecond)
		l.Heard(now, 0)
		if now.UnixMilli()/100%2 == 0 {
			l.Take(now, 1, 0)
		}
	}
	if load := l.Load(now, 1); load < 0.3 || load > 0.7 {
		t.Errorf("load %g, want 0.5", load)
	}
}

func BenchmarkTake(b *testing.B) {
	limits := make(map[accounts.ID]Limit)
	for a := range accounts.ID(10_000) {
		limits[a] = Limit{Rate: 10, Burst: 20}
	}
	l, now := newTestLimiter(true, 87, limits)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		a := accounts.ID(n * 7919 % 10_000)
		l.Heard(now, uint64(n%87))
		l.HandleReport(now, uint64(n%87), []Use{{Account: a, Taken: uint32(n), Recent: 1}})
		l.Take(now, a, 0)
		l.Report(now, 40)
	}
}
