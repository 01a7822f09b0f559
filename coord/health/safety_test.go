package health

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// actions returns the random events by name. rapid picks them from the sorted names, so renaming
// one changes the cases drawn from the fixed seed.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"rounds": func(t *rapid.T) { // Several nodes exchange messages with their evaluators without loss.
			subset := rapid.SliceOfDistinct(rapid.IntRange(0, len(sim.nodes)-1), rapid.ID).Draw(t, "nodes")
			for range rapid.IntRange(1, 12).Draw(t, "rounds") {
				sim.now = sim.now.Add(500 * time.Millisecond)
				for _, i := range subset {
					if sim.nodes[i].alive {
						sim.exchange(sim.nodes[i])
						sim.check()
					}
				}
			}
		},
		"tick": func(t *rapid.T) {
			if n := sim.drawNode("node"); n.alive {
				sim.post(n.self.Ref, n.carrier.Tick(sim.clock(n)))
			}
		},
		"deliver": func(t *rapid.T) { // Including late, duplicated and replayed messages.
			if len(sim.messages) == 0 {
				return
			}
			back := min(rapid.IntRange(0, 40).Draw(t, "back"), len(sim.messages)-1)
			sim.deliver(sim.messages[len(sim.messages)-1-back])
		},
		"want": func(t *rapid.T) {
			u := rapid.SampledFrom(sim.actual).Draw(t, "endpoint")
			zone := rapid.SampledFrom([]fleet.Zone{"", "", "a", "b", "c"}).Draw(t, "zone")
			sim.setRemoved(sim.drawNode("evaluator"), KeyOf(u.Endpoint), zone, rapid.IntRange(0, 3).Draw(t, "removed") > 0)
		},
		"assign": func(t *rapid.T) { // A node's assignment names another instance as evaluator.
			n, evaluator := sim.drawNode("node"), sim.drawNode("evaluator")
			if n.alive {
				n.evaluatorRef = evaluator.self.Ref
				sim.configure(n)
			}
		},
		"session": sim.session,
	}
}

// session splits the nodes between two evaluators for a while. The evaluators change the
// endpoints they want removed, and some nodes miss some decisions.
func (sim *simulation) session(t *rapid.T) {
	alive := slices.DeleteFunc(slices.Clone(sim.nodes), func(n *node) bool { return !n.alive })
	evaluators := []*node{
		rapid.SampledFrom(alive).Draw(t, "first"),
		rapid.SampledFrom(alive).Draw(t, "second"),
	}
	for _, n := range alive {
		n.evaluatorRef = evaluators[rapid.IntRange(0, 1).Draw(t, "side")].self.Ref
		sim.configure(n)
	}
	for range rapid.IntRange(1, 24).Draw(t, "rounds") {
		sim.now = sim.now.Add(time.Duration(rapid.IntRange(500, 800).Draw(t, "ms")) * time.Millisecond)
		skipped := rapid.IntRange(0, 3*len(alive)).Draw(t, "missing")
		if rapid.IntRange(0, 2).Draw(t, "change") == 0 {
			sim.redrawRemovals(t, rapid.SampledFrom(evaluators).Draw(t, "evaluator"))
		}
		for i, n := range alive {
			if i != skipped {
				sim.exchange(n)
				sim.check()
			}
		}
	}
}

// redrawRemovals makes an evaluator want another set of endpoints removed.
func (sim *simulation) redrawRemovals(t *rapid.T, evaluator *node) {
	for _, u := range sim.actual {
		sim.setRemoved(evaluator, KeyOf(u.Endpoint), "", rapid.Bool().Draw(t, "removed"))
	}
}

// listActions adds events in which endpoints drain, warm up and return while the instances' lists lag and differ.
func (sim *simulation) listActions(actions map[string]func(*rapid.T)) {
	actions["truth"] = func(t *rapid.T) {
		i := rapid.IntRange(0, len(sim.actual)-1).Draw(t, "endpoint")
		sim.actual[i].State = rapid.SampledFrom([]fleet.UpstreamState{fleet.UpstreamReady, fleet.UpstreamCold, fleet.UpstreamDraining}).Draw(t, "state")
	}
	actions["listing"] = func(t *rapid.T) {
		if n := sim.drawNode("node"); n.alive {
			n.list = slices.Clone(sim.actual)
			sim.configure(n)
		}
	}
}

// rosterActions adds events in which instances restart, join and leave while the instances' rosters lag and differ.
func (sim *simulation) rosterActions(actions map[string]func(*rapid.T)) {
	actions["restart"] = func(t *rapid.T) {
		n := sim.drawNode("node")
		if !n.alive || len(sim.nodes) > 14 {
			return
		}
		n.alive = false
		fresh := sim.start(string(n.self.Ref.ID), uint64(n.self.Ref.Incarnation)+1)
		fresh.self.Zone = n.self.Zone
		fresh.carrier.self.Zone = n.self.Zone
		sim.newRoster(fresh)
	}
	actions["join"] = func(t *rapid.T) {
		if len(sim.nodes) > 14 {
			return
		}
		sim.newRoster(sim.start(fmt.Sprintf("j%d", len(sim.nodes)), 1))
	}
	actions["strike"] = func(t *rapid.T) { // Removed from the roster while it may still be running.
		carriers := slices.Clone(sim.rosters[len(sim.rosters)-1].carriers)
		if len(carriers) < 2 || len(sim.rosters) > 12 {
			return
		}
		i := rapid.IntRange(0, len(carriers)-1).Draw(t, "carrier")
		sim.rosters = append(sim.rosters, roster{carriers: slices.Delete(carriers, i, i+1)})
	}
	actions["roster"] = func(t *rapid.T) {
		n := sim.drawNode("node")
		if n.alive && n.roster < len(sim.rosters)-1 {
			n.roster = rapid.IntRange(n.roster+1, len(sim.rosters)-1).Draw(t, "generation")
			sim.configure(n)
		}
	}
}

// newRoster adds a roster with a new instance, or with a new incarnation in place of the earlier one.
func (sim *simulation) newRoster(fresh *node) {
	carriers := slices.Clone(sim.rosters[len(sim.rosters)-1].carriers)
	carriers = slices.DeleteFunc(carriers, func(c fleet.Instance) bool { return c.Ref.ID == fresh.self.Ref.ID })
	sim.rosters = append(sim.rosters, roster{carriers: append(carriers, fresh.self)})
	fresh.roster = len(sim.rosters) - 1
	sim.configure(fresh)
}

func runSimulation(t *testing.T, extend func(*simulation, map[string]func(*rapid.T))) {
	maxRemoved := 0
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		actions := sim.actions()
		extend(sim, actions)
		actions[""] = func(*rapid.T) { sim.check() }
		rt.Repeat(actions)
		maxRemoved = max(maxRemoved, sim.maxRemoved)
	})
	if maxRemoved == 0 {
		t.Fatal("no run ejected an endpoint")
	}
}

func TestFloorHoldsInAnyPartition(t *testing.T) {
	runSimulation(t, func(*simulation, map[string]func(*rapid.T)) {})
}

func TestFloorHoldsWhileListsDiffer(t *testing.T) {
	runSimulation(t, (*simulation).listActions)
}

func TestFloorHoldsWhileRostersDiffer(t *testing.T) {
	runSimulation(t, (*simulation).rosterActions)
}

func TestFloorHoldsWhileListsAndRostersDiffer(t *testing.T) {
	runSimulation(t, func(sim *simulation, actions map[string]func(*rapid.T)) {
		sim.listActions(actions)
		sim.rosterActions(actions)
	})
}

func TestSharesNeverExceedTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		carriers := rapid.IntRange(1, 40).Draw(t, "carriers")
		budget := rapid.IntRange(-5, 400).Draw(t, "budget")
		left, total := carriers, 0
		for left > 0 {
			votes := rapid.IntRange(1, left).Draw(t, "votes")
			left -= votes
			total += budgetShare(budget, carriers, votes)
		}
		if total > max(budget, 0) {
			t.Fatalf("evaluators may remove %d slots, budget is %d", total, budget)
		}
	})
}

// Each evaluator leaves the incarnations that it knows to have ended out of the number of carriers.
// The shares must fit the budget also when the evaluators know different ones.
func TestSharesFitTheBudgetWithDifferentEndedIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 60).Draw(t, "budget")
		carriers := rapid.IntRange(1, 20).Draw(t, "carriers")
		ended := rapid.IntRange(0, carriers).Draw(t, "ended")
		freeVotes := carriers - ended
		held := 0
		for evaluator := range rapid.IntRange(1, 5).Draw(t, "evaluators") {
			votes := rapid.IntRange(0, freeVotes).Draw(t, "votes")
			known := rapid.IntRange(0, ended).Draw(t, "known to have ended")
			freeVotes -= votes
			part := budgetShare(budget, carriers-known, votes)
			held += part
			t.Logf("evaluator %d of %d carriers holds %d votes and may remove %d slots", evaluator, carriers-known, votes, part)
		}
		if held > budget {
			t.Fatalf("evaluators may remove %d slots, budget %d", held, budget)
		}
	})
}
