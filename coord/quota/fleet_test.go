package quota

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/accounts"
	"pgregory.net/rapid"
)

var (
	epoch      = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	testConfig = Config{Window: 5 * time.Second, Excess: 0.1, Tolerance: 20}
)

// testFleet plays a fleet in virtual time: its instances report to each other over links that delay, lose and duplicate
// messages.
type testFleet struct {
	random    *rand.Rand
	now       time.Time
	queue     eventQueue
	queued    int
	instances []*testInstance
	limits    map[accounts.ID]Limit
	inForce   map[accounts.ID][]limitChange
	runs      map[accounts.ID][]time.Time
	loss      float64 // Share of the messages.
	late      float64 // Share of the messages that take up to 400 ms; others take up to 40 ms.
	returned  float64 // Share of the requests that don't run.
	used      uint64  // IDs of instances.
}

type testInstance struct {
	id   uint64
	l    *Limiter
	side int // Of a partition; instances of different sides don't reach each other.
	gone bool
}

type limitChange struct {
	at    time.Time
	limit Limit
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if c := q[i].at.Compare(q[j].at); c != 0 {
		return c < 0
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newTestFleet(seed uint64, instances int, full bool, limits map[accounts.ID]Limit) *testFleet {
	f := &testFleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: epoch, limits: limits,
		inForce: map[accounts.ID][]limitChange{}, runs: map[accounts.ID][]time.Time{},
	}
	for range instances {
		f.start(full)
	}
	f.setLimits(limits)
	f.setPeers()
	return f
}

func (f *testFleet) after(d time.Duration, run func()) {
	f.queued++
	heap.Push(&f.queue, event{f.now.Add(d), f.queued, run})
}

func (f *testFleet) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.random.Int64N(int64(most-least)+1))
}

func (f *testFleet) runUntil(end time.Time) {
	for len(f.queue) > 0 && f.queue[0].at.Before(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *testFleet) start(full bool) *testInstance {
	f.used++
	i := &testInstance{id: f.used, l: New(testConfig, f.now, full, rand.NewPCG(f.random.Uint64(), 2))}
	f.instances = append(f.instances, i)
	f.after(f.between(0, 500*time.Millisecond), func() { f.tick(i) })
	return i
}

func (f *testFleet) remove(i *testInstance) {
	i.gone = true
	for k, other := range f.instances {
		if other == i {
			f.instances = append(f.instances[:k:k], f.instances[k+1:]...)
			return
		}
	}
}

func (f *testFleet) setPeers() {
	for _, i := range f.instances {
		i.l.SetPeers(f.now, len(f.instances)-1)
	}
}

// setLimits replaces the limits; each instance uses the new ones within 500 ms.
func (f *testFleet) setLimits(limits map[accounts.ID]Limit) {
	for a := range f.limits {
		f.inForce[a] = append(f.inForce[a], limitChange{f.now.Add(500 * time.Millisecond), limits[a]})
	}
	for a, limit := range limits {
		if _, known := f.limits[a]; !known {
			f.inForce[a] = append(f.inForce[a], limitChange{f.now.Add(500 * time.Millisecond), limit})
		}
	}
	f.limits = limits
	for _, i := range f.instances {
		if f.now.Equal(epoch) {
			i.l.SetLimits(f.now, limits)
			continue
		}
		f.after(f.between(0, 500*time.Millisecond), func() { i.l.SetLimits(f.now, limits) })
	}
}

func (f *testFleet) tick(i *testInstance) {
	if i.gone {
		return
	}
	f.after(500*time.Millisecond, func() { f.tick(i) })
	i.l.SetPeers(f.now, len(f.instances)-1)
	f.send(i)
}

func (f *testFleet) send(i *testInstance) {
	uses := i.l.Report(f.now, 40)
	for _, to := range f.instances {
		if to == i {
			continue
		}
		for copies := 1 + min(f.random.IntN(20)/19, 1); copies > 0; copies-- {
			delay := f.between(time.Millisecond, 40*time.Millisecond)
			if f.random.Float64() < f.late {
				delay = f.between(40*time.Millisecond, 400*time.Millisecond)
			}
			if to.side != i.side || f.random.Float64() < f.loss {
				continue
			}
			f.after(delay, func() {
				if !to.gone {
					to.l.Heard(f.now, i.id)
					to.l.HandleReport(f.now, i.id, uses)
				}
			})
		}
	}
}

func (f *testFleet) request(i *testInstance, a accounts.ID) bool {
	ok, _ := i.l.Take(f.now, a, f.random.IntN(3))
	switch {
	case !ok:
		return false
	case f.random.Float64() < f.returned:
		f.after(f.between(0, 100*time.Millisecond), func() {
			if !i.gone {
				i.l.Return(f.now, a)
				f.send(i)
			}
		})
	default:
		f.runs[a] = append(f.runs[a], f.now)
	}
	f.send(i)
	return true
}

// load sends an account's requests at a mean rate a second, in groups that arrive together.
func (f *testFleet) load(a accounts.ID, rate float64, group int, to func() *testInstance) {
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(group)*float64(time.Second)), func() {
		for range group {
			if len(f.instances) > 0 {
				f.request(to(), a)
			}
		}
		f.load(a, rate, group, to)
	})
}

func (f *testFleet) anyInstance() *testInstance { return f.instances[f.random.IntN(len(f.instances))] }

// allowed returns the most requests of an account in the window from a time on. A lowered limit binds a window after it
// has come into force.
func (f *testFleet) allowed(a accounts.ID, from time.Time) float64 {
	most, previous := 0.0, Limit{}
	for _, c := range f.inForce[a] {
		if previous.Rate > 0 && c.at.Add(testConfig.Window).After(from) {
			most = max(most, bound(previous))
		} else if previous.Rate <= 0 && c.at.Add(testConfig.Window).After(from) && c.at.After(epoch.Add(time.Second)) {
			return math.Inf(1) // Without a limit until then.
		}
		previous = c.limit
	}
	if previous.Rate <= 0 {
		return math.Inf(1)
	}
	return max(most, bound(previous))
}

func bound(l Limit) float64 {
	return (l.Rate*testConfig.Window.Seconds()+max(l.Burst, 1))*(1+testConfig.Excess) + testConfig.Tolerance
}

type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// check compares the requests that ran with the bound.
func (f *testFleet) check(t fataler) {
	t.Helper()
	for a, runs := range f.runs {
		for k, from := range runs {
			n := 0
			for _, at := range runs[k:] {
				if at.Sub(from) >= testConfig.Window {
					break
				}
				n++
			}
			if allowed := f.allowed(a, from); float64(n) > allowed {
				t.Fatalf("account %d: %d requests in the window from %v on, %g are allowed; limits %+v", a, n, from.Sub(epoch), allowed, f.inForce[a])
			}
		}
	}
}

func drawLimit(t *rapid.T) Limit {
	return Limit{
		Rate:  rapid.SampledFrom([]float64{0, 0.25, 0.7, 1, 3.5, 12, 40, 100}).Draw(t, "rate"),
		Burst: rapid.SampledFrom([]float64{0, 1, 2.5, 10, 60, 200}).Draw(t, "burst"),
	}
}

// Random fleets under faults stay within the bound.
func TestFleetsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		size := rapid.IntRange(1, 12).Draw(t, "instances")
		limits := map[accounts.ID]Limit{}
		for a := range accounts.ID(3) {
			limits[a] = drawLimit(t)
		}
		f := newTestFleet(seed, size, rapid.Bool().Draw(t, "full"), limits)
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		f.late = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "late")
		f.returned = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "returned")
		for a := range accounts.ID(3) {
			to := f.anyInstance
			if rapid.Bool().Draw(t, "at one") {
				to = func() *testInstance { return f.instances[0] }
			}
			rate := rapid.SampledFrom([]float64{0.5, 5, 40, 150, 400}).Draw(t, "load")
			f.load(a, rate, rapid.IntRange(1, 10).Draw(t, "group"), to)
		}
		end := epoch
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			end = end.Add(rapid.SampledFrom([]time.Duration{700 * time.Millisecond, 3 * time.Second, 6 * time.Second}).Draw(t, "wait"))
			f.runUntil(end)
			f.fault(t, rapid.IntRange(0, 5).Draw(t, "fault"))
		}
		f.runUntil(end.Add(8 * time.Second))
		f.check(t)
	})
}

// fault causes one fault.
func (f *testFleet) fault(t *rapid.T, kind int) {
	switch kind {
	case 0: // A partition in two.
		for _, i := range f.instances {
			i.side = f.random.IntN(2)
		}
	case 1: // It ends.
		for _, i := range f.instances {
			i.side = 0
		}
	case 2: // An instance joins and takes over what another one knows.
		from := f.anyInstance()
		i := f.start(false)
		i.side = from.side
		i.l.SetLimits(f.now, f.limits)
		f.setPeers()
		f.after(f.between(time.Millisecond, 600*time.Millisecond), func() {
			if !from.gone {
				i.l.Adopt(f.now, from.l.Handover(f.now), true)
			}
		})
	case 3: // One fails or leaves; the others learn it later.
		if len(f.instances) > 1 {
			f.remove(f.anyInstance())
		}
	case 4: // All lose power and start again.
		old := len(f.instances)
		for len(f.instances) > 0 {
			f.remove(f.instances[0])
		}
		for range old {
			f.start(false).l.SetLimits(f.now, f.limits)
		}
		f.setPeers()
	case 5:
		limits := map[accounts.ID]Limit{}
		for a := range accounts.ID(3) {
			limits[a] = drawLimit(t)
		}
		f.setLimits(limits)
	}
}

// Without faults, at least four fifths of a limit are usable.
func TestLimitsAreUsable(t *testing.T) {
	for name, tc := range map[string]struct {
		instances int
		limit     Limit
		seconds   float64
		atOne     bool
		load      float64 // As a share of the rate.
	}{
		"one instance":                       {1, Limit{20, 10}, 30, true, 2},
		"spread":                             {30, Limit{50, 30}, 15, false, 2},
		"spread, many times the limit":       {30, Limit{50, 30}, 15, false, 12},
		"spread, high rate":                  {20, Limit{300, 50}, 10, false, 3},
		"all at one instance":                {88, Limit{30, 20}, 10, true, 2},
		"all at one instance, no burst":      {40, Limit{30, 0}, 15, true, 2},
		"all at one instance, many times":    {40, Limit{30, 20}, 15, true, 12},
		"less than one a second an instance": {40, Limit{5, 5}, 30, false, 2},
		"fraction, spread":                   {20, Limit{0.3, 1}, 200, false, 2},
		"fraction, at one":                   {20, Limit{0.3, 0.5}, 200, true, 2},
		"fraction, many times":               {20, Limit{0.5, 1}, 100, false, 100},
		"demand just below the limit":        {30, Limit{50, 50}, 15, false, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(7, tc.instances, false, map[accounts.ID]Limit{1: tc.limit})
			to := f.anyInstance
			if tc.atOne {
				to = func() *testInstance { return f.instances[0] }
			}
			f.load(1, tc.load*tc.limit.Rate, 1, to)
			const settled = 3 * time.Second // Buckets begin empty, and nothing is credited at first.
			end := epoch.Add(settled + time.Duration(tc.seconds*float64(time.Second)))
			f.runUntil(end)
			f.check(t)
			ran := 0
			for _, at := range f.runs[1] {
				if at.Sub(epoch) >= settled {
					ran++
				}
			}
			usable := tc.limit.Rate * tc.seconds * min(tc.load, 1)
			t.Logf("%d of %.0f", ran, usable)
			if float64(ran) < 0.8*usable {
				t.Errorf("%d requests ran of %.0f", ran, usable)
			}
		})
	}
}

// Two sides of a partition may each spend a stored burst and then their part of the rate.
func TestPartitionOfFullBuckets(t *testing.T) {
	for _, limit := range []Limit{{0.25, 200}, {1, 1}, {5, 60}, {40, 30}, {100, 200}} {
		for seed := range uint64(5) {
			f := newTestFleet(seed, 12, true, map[accounts.ID]Limit{1: limit})
			f.runUntil(epoch.Add(4 * time.Second))
			for k, i := range f.instances {
				i.side = k % 2
			}
			f.load(1, 150, 1, f.anyInstance)
			f.runUntil(f.now.Add(20 * time.Second))
			f.check(t)
			if ran := float64(len(f.runs[1])); ran < 0.8*limit.Rate*20 {
				t.Errorf("limit %+v: %g requests ran in 20 s", limit, ran)
			}
			for _, i := range f.instances {
				i.side = 0
			}
			f.runUntil(f.now.Add(8 * time.Second))
			f.check(t)
		}
	}
}

// Few of the requests that arrive between reports run.
func TestManyRequestsBetweenReports(t *testing.T) {
	for seed := range uint64(3) {
		f := newTestFleet(seed, 80, false, map[accounts.ID]Limit{1: {Rate: 2, Burst: 2}})
		f.load(1, 300, 1, f.anyInstance)
		f.runUntil(epoch.Add(4 * time.Second))
		f.load(1, 5000, 1, f.anyInstance)
		f.runUntil(epoch.Add(10 * time.Second))
		f.check(t)
	}
}
