package following

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestScheduleKeepsKnowledgeFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := time.Duration(rapid.Int64Range(int64(10*time.Millisecond), int64(time.Hour)).Draw(t, "bound"))
		s := NewSchedule(bound)
		if s.Batch <= 0 || s.Interval <= 0 || s.Answer <= 0 || s.Step <= 0 || s.Interval > 30*time.Second {
			t.Fatalf("%+v", s)
		}
		now := time.Unix(1000, 0)
		responded := now
		latency := time.Duration(rapid.Int64Range(0, int64(s.Interval/4)).Draw(t, "latency"))
		for range rapid.IntRange(1, 20).Draw(t, "watches") {
			if rapid.Bool().Draw(t, "changes") {
				now = now.Add(s.Batch)
			}
			now = now.Add(s.Wait(now.Sub(responded), latency) + latency)
			if !s.IsFresh(now.Sub(responded)) {
				t.Fatalf("not fresh %s after a response, by a watch in time", now.Sub(responded))
			}
			responded = now
		}
		if s.IsFresh(bound) {
			t.Fatal("fresh without a response for the whole bound")
		}
	})
}

// Guards against an upstream that is given up although it has registered again: the follower slept through the end of the
// grace period.
func TestNextWatchBeginsBeforeTheGracePeriodEnds(t *testing.T) {
	s := NewSchedule(2 * time.Second)
	end := time.Unix(1000, 0)
	for before, want := range map[time.Duration]time.Duration{
		1600 * time.Millisecond: s.Batch, 750 * time.Millisecond: s.Batch, 600 * time.Millisecond: 350 * time.Millisecond,
		200 * time.Millisecond: s.Step / 2, time.Millisecond: s.Step / 2, 0: s.Batch, -time.Second: s.Batch,
	} {
		if got := s.BatchDelay(end.Add(-before), end); got != want {
			t.Errorf("%s before the end: a delay of %s, want %s", before, got, want)
		}
	}
	if got := s.BatchDelay(end, time.Time{}); got != s.Batch {
		t.Errorf("nothing is missing: a delay of %s", got)
	}
}

// storeModel is a store, the zones of a fleet and the knowledge of their instances, in steps of a message's way.
type storeModel struct {
	bound, latency time.Duration
	schedule       Schedule
	former         bool // Instances take over only after followers report that they do not follow any more.
	now            time.Time
	zones          [][]*modelInstance
	changedAt      time.Time // Zero before the change.
	reads          int       // By instances that the schedule does not have watch.
}

type modelInstance struct {
	key        string
	machine    *Machine
	follows    bool
	following  bool // As reported.
	knownAt    time.Time
	turnedAway bool
	callEnds   time.Time // Of the call that is under way; zero for none.
	nextCall   time.Time
	hasChange  bool
}

const modelStep = 5 * time.Millisecond

// step advances the model by a message's way.
func (m *storeModel) step() {
	m.now = m.now.Add(modelStep)
	for _, zone := range m.zones {
		for _, in := range zone {
			m.advance(in)
		}
		m.exchange(zone)
	}
}

// advance lets an instance call the store, and hands it the response of a call. A call waits for the change unless it has it.
func (m *storeModel) advance(in *modelInstance) {
	changed := !m.changedAt.IsZero() && !in.hasChange
	switch {
	case !in.callEnds.IsZero():
		if changed && in.follows && in.callEnds.After(m.now.Add(m.latency)) {
			in.callEnds = m.now.Add(m.latency)
		}
		if m.now.Before(in.callEnds) || in.turnedAway {
			return
		}
		in.callEnds, in.knownAt, in.following = time.Time{}, m.now, in.follows
		in.hasChange = in.hasChange || changed
		in.nextCall = m.now
		if changed {
			in.nextCall = m.now.Add(m.schedule.Batch)
		}
	case in.follows && !m.now.Before(in.nextCall):
		in.callEnds = m.now.Add(m.latency)
		if in.following {
			in.callEnds = in.callEnds.Add(m.schedule.Wait(m.now.Sub(in.knownAt), m.latency))
		} else {
			m.reads++
		}
	}
}

// exchange lets the instances of a zone hear each other and decide.
func (m *storeModel) exchange(zone []*modelInstance) {
	var latest time.Time
	has := false
	var peers []Peer
	for _, in := range zone {
		if has = has || in.hasChange && in.follows; in.knownAt.After(latest) {
			latest = in.knownAt
		}
		in.following = in.following && m.schedule.IsFresh(m.now.Sub(in.knownAt))
		peers = append(peers, Peer{Key: in.key, Following: in.following})
	}
	for _, in := range zone {
		in.hasChange = in.hasChange || has
		v := View{Peers: peers, Schedule: m.schedule, KnownAt: latest}
		if m.former {
			v.KnownAt = time.Time{}
		}
		if on := in.machine.ShouldFollow(m.now, v); on != in.follows {
			in.follows = on
			if !on {
				in.following, in.callEnds = false, time.Time{}
			}
		}
	}
}

// playSilence has the store fall silent for a third of the instances, the followers of all zones among them, and a change made
// then or somewhat later. It returns how long the change takes to all others.
func playSilence(m *storeModel, zones, perZone int, phase, later time.Duration) time.Duration {
	m.now = time.Unix(1000, 0)
	for z := range zones {
		var zone []*modelInstance
		for k := range perZone {
			key := fmt.Sprintf("instances/%d-%03d", z, k)
			zone = append(zone, &modelInstance{key: key, machine: New(key), knownAt: m.now})
		}
		m.zones = append(m.zones, zone)
	}
	for end := m.now.Add(2*m.bound + phase); m.now.Before(end); {
		m.step()
	}
	for _, zone := range m.zones {
		for k, in := range zone {
			in.turnedAway = k < max(perZone/3, 1)
		}
	}
	for end := m.now.Add(later); m.now.Before(end); {
		m.step()
	}
	m.changedAt, m.reads = m.now, 0
	for m.now.Sub(m.changedAt) < 4*m.bound {
		if m.step(); m.inForce() {
			return m.now.Sub(m.changedAt)
		}
	}
	return 4 * m.bound
}

func (m *storeModel) inForce() bool {
	for _, zone := range m.zones {
		for _, in := range zone {
			if !in.turnedAway && !in.hasChange {
				return false
			}
		}
	}
	return true
}

// A change is in force within its bound wherever the store's silence begins: when a watch begins, waits, or is due, and
// also just after other changes.
func TestChangeIsInForceWhereverSilenceBegins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 2 * time.Second
		perZone := rapid.IntRange(3, 50).Draw(t, "instances of a zone")
		m := &storeModel{
			bound: bound, schedule: NewSchedule(bound),
			latency: rapid.SampledFrom([]time.Duration{4 * time.Millisecond, 30 * time.Millisecond, bound / 20}).Draw(t, "latency"),
		}
		phase := time.Duration(rapid.IntRange(0, 1500).Draw(t, "phase")) * time.Millisecond
		later := time.Duration(rapid.IntRange(0, 1500).Draw(t, "later")) * time.Millisecond
		zones := rapid.IntRange(1, 2).Draw(t, "zones")
		if took := playSilence(m, zones, perZone, phase, later); took > bound {
			t.Fatalf("in force after %s", took)
		}
		// Those of the first turn that the store serves and of the one before them, which may not have heard of it yet.
		if most := 4 * zones * (max(perZone/3, 1) + 1); m.reads > most {
			t.Fatalf("%d reads of the store by %d zones of %d instances, want at most %d", m.reads, zones, perZone, most)
		}
	})
}

// Guards against a model that cannot tell the rules apart: the others waited until the followers had given up their watches and
// said so.
func TestModelFindsFormerTakeover(t *testing.T) {
	const bound = 2 * time.Second
	worst := time.Duration(0)
	for phase := time.Duration(0); phase < time.Second; phase += 50 * time.Millisecond {
		s := NewSchedule(bound)
		s.Fresh = bound
		worst = max(worst, playSilence(&storeModel{bound: bound, latency: 4 * time.Millisecond, schedule: s, former: true}, 1, 6, phase, 0))
	}
	if worst <= bound {
		t.Errorf("in force after %s at the latest", worst)
	}
}
