package health

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// actions are what may happen to a world, by name.
func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"rounds": func(t *rapid.T) { // Several nodes talk to their judges without loss.
			subset := rapid.SliceOfDistinct(rapid.IntRange(0, len(w.nodes)-1), rapid.ID).Draw(t, "nodes")
			for range rapid.IntRange(1, 12).Draw(t, "rounds") {
				w.now = w.now.Add(500 * time.Millisecond)
				for _, i := range subset {
					if w.nodes[i].alive {
						w.exchange(w.nodes[i])
						w.check()
					}
				}
			}
		},
		"tick": func(t *rapid.T) {
			if n := w.drawNode("node"); n.alive {
				w.post(n.self.Ref, n.carrier.Tick(w.clock(n)))
			}
		},
		"deliver": func(t *rapid.T) { // Late, doubled and replayed messages alike.
			if len(w.mail) == 0 {
				return
			}
			back := min(rapid.IntRange(0, 40).Draw(t, "back"), len(w.mail)-1)
			w.deliver(w.mail[len(w.mail)-1-back])
		},
		"want": func(t *rapid.T) {
			u := rapid.SampledFrom(w.truth).Draw(t, "endpoint")
			zone := rapid.SampledFrom([]fleet.Zone{"", "", "a", "b", "c"}).Draw(t, "zone")
			w.want(w.drawNode("judge"), KeyOf(u.Endpoint), zone, rapid.IntRange(0, 3).Draw(t, "removed") > 0)
		},
		"assign": func(t *rapid.T) { // A node takes another instance for the judge.
			n, judge := w.drawNode("node"), w.drawNode("judge")
			if n.alive {
				n.judgeRef = judge.self.Ref
				w.configure(n)
			}
		},
		"session": w.session,
	}
}

// session lets every node follow one of two judges for a while. The judges change their
// minds, and some nodes miss some verdicts.
func (w *world) session(t *rapid.T) {
	alive := slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return !n.alive })
	judges := []*node{
		rapid.SampledFrom(alive).Draw(t, "first"),
		rapid.SampledFrom(alive).Draw(t, "second"),
	}
	for _, n := range alive {
		n.judgeRef = judges[rapid.IntRange(0, 1).Draw(t, "side")].self.Ref
		w.configure(n)
	}
	for range rapid.IntRange(1, 24).Draw(t, "rounds") {
		w.now = w.now.Add(time.Duration(rapid.IntRange(500, 800).Draw(t, "ms")) * time.Millisecond)
		missing := rapid.IntRange(0, 3*len(alive)).Draw(t, "missing")
		if rapid.IntRange(0, 2).Draw(t, "change") == 0 {
			w.changeMind(t, rapid.SampledFrom(judges).Draw(t, "judge"))
		}
		for i, n := range alive {
			if i != missing {
				w.exchange(n)
				w.check()
			}
		}
	}
}

// changeMind makes a judge want another set of endpoints removed.
func (w *world) changeMind(t *rapid.T, judge *node) {
	for _, u := range w.truth {
		w.want(judge, KeyOf(u.Endpoint), "", rapid.Bool().Draw(t, "removed"))
	}
}

// listActions let endpoints drain, warm up and come back while the lists lag and differ.
func (w *world) listActions(actions map[string]func(*rapid.T)) {
	actions["truth"] = func(t *rapid.T) {
		i := rapid.IntRange(0, len(w.truth)-1).Draw(t, "endpoint")
		w.truth[i].State = rapid.SampledFrom([]fleet.UpstreamState{fleet.UpstreamReady, fleet.UpstreamCold, fleet.UpstreamLeaving}).Draw(t, "state")
	}
	actions["listing"] = func(t *rapid.T) {
		if n := w.drawNode("node"); n.alive {
			n.list = slices.Clone(w.truth)
			w.configure(n)
		}
	}
}

// rosterActions let instances restart, join and go while the rosters lag and differ.
func (w *world) rosterActions(actions map[string]func(*rapid.T)) {
	actions["restart"] = func(t *rapid.T) {
		n := w.drawNode("node")
		if !n.alive || len(w.nodes) > 14 {
			return
		}
		n.alive = false
		fresh := w.start(string(n.self.Ref.ID), uint64(n.self.Ref.Incarnation)+1)
		fresh.self.Zone = n.self.Zone
		fresh.carrier.self.Zone = n.self.Zone
		w.newRoster(fresh)
	}
	actions["join"] = func(t *rapid.T) {
		if len(w.nodes) > 14 {
			return
		}
		w.newRoster(w.start(fmt.Sprintf("j%d", len(w.nodes)), 1))
	}
	actions["strike"] = func(t *rapid.T) { // Struck off while it may still be running.
		carriers := slices.Clone(w.rosters[len(w.rosters)-1].carriers)
		if len(carriers) < 2 || len(w.rosters) > 12 {
			return
		}
		i := rapid.IntRange(0, len(carriers)-1).Draw(t, "carrier")
		w.rosters = append(w.rosters, roster{carriers: slices.Delete(carriers, i, i+1)})
	}
	actions["roster"] = func(t *rapid.T) {
		n := w.drawNode("node")
		if n.alive && n.roster < len(w.rosters)-1 {
			n.roster = rapid.IntRange(n.roster+1, len(w.rosters)-1).Draw(t, "generation")
			w.configure(n)
		}
	}
}

// newRoster adds a roster in which an instance takes the place of its earlier life, or a new one.
func (w *world) newRoster(fresh *node) {
	carriers := slices.Clone(w.rosters[len(w.rosters)-1].carriers)
	carriers = slices.DeleteFunc(carriers, func(c fleet.Instance) bool { return c.Ref.ID == fresh.self.Ref.ID })
	w.rosters = append(w.rosters, roster{carriers: append(carriers, fresh.self)})
	fresh.roster = len(w.rosters) - 1
	w.configure(fresh)
}

func runWorld(t *testing.T, extend func(*world, map[string]func(*rapid.T))) {
	most := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		actions := w.actions()
		extend(w, actions)
		actions[""] = func(*rapid.T) { w.check() }
		rt.Repeat(actions)
		most = max(most, w.most)
	})
	if most == 0 {
		t.Fatal("no run ejected anything")
	}
}

func TestFloorHoldsInAnySplit(t *testing.T) {
	runWorld(t, func(*world, map[string]func(*rapid.T)) {})
}

func TestFloorHoldsWhileListsDiffer(t *testing.T) {
	runWorld(t, (*world).listActions)
}

func TestFloorHoldsWhileRostersDiffer(t *testing.T) {
	runWorld(t, (*world).rosterActions)
}

func TestFloorHoldsWhileEverythingDiffers(t *testing.T) {
	runWorld(t, func(w *world, actions map[string]func(*rapid.T)) {
		w.listActions(actions)
		w.rosterActions(actions)
	})
}

func TestSharesNeverExceedTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		carriers := rapid.IntRange(1, 40).Draw(t, "carriers")
		budget := rapid.IntRange(-5, 400).Draw(t, "budget")
		left, total := carriers, 0
		for left > 0 {
			heard := rapid.IntRange(1, left).Draw(t, "heard")
			left -= heard
			total += share(budget, carriers, heard)
		}
		if total > max(budget, 0) {
			t.Fatalf("sides may eject %d slots, budget is %d", total, budget)
		}
	})
}

// TestSharesFitTheBudgetWhenJudgesKnowOfDifferentEndedLives checks the shares when each judge
// counts a set of carriers without some of its lives that have ended, and not all judges
// know of the same ones.
func TestSharesFitTheBudgetWhenJudgesKnowOfDifferentEndedLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 60).Draw(t, "budget")
		carriers := rapid.IntRange(1, 20).Draw(t, "carriers")
		ended := rapid.IntRange(0, carriers).Draw(t, "ended")
		unheard := carriers - ended
		held := 0
		for judge := range rapid.IntRange(1, 5).Draw(t, "judges") {
			heard := rapid.IntRange(0, unheard).Draw(t, "heard")
			known := rapid.IntRange(0, ended).Draw(t, "known to have ended")
			unheard -= heard
			part := share(budget, carriers-known, heard)
			held += part
			t.Logf("judge %d of %d carriers hears %d and holds %d", judge, carriers-known, heard, part)
		}
		if held > budget {
			t.Fatalf("judges hold %d slots, budget %d", held, budget)
		}
	})
}
