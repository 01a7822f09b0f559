package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// watchful is a world that knows which instances a majority of their neighbours have heard
// at all times.
type watchful struct {
	*world
	harmed     map[fleet.InstanceID]bool // Was at some time not heard by such a majority.
	generation map[fleet.InstanceID]uint64
	stored     uint64
	overlay    *overlay // Of the stored roster.
}

// note updates what is known and checks what must hold after every event.
func (w *watchful) note() {
	w.t.Helper()
	if w.overlay == nil || w.stored != w.store.Generation {
		w.overlay = newOverlay(w.store.Instances)
	}
	o := w.overlay
	for _, i := range w.store.Instances {
		if !w.majorityHears(o, i.Ref) {
			w.harmed[i.Ref.ID] = true
		}
	}
	for _, id := range w.order {
		p := w.running[id]
		if p == nil || p.over {
			continue
		}
		w.checkView(id, p)
	}
	if w.store.Generation < w.stored {
		w.t.Fatalf("stored generation fell from %d to %d", w.stored, w.store.Generation)
	}
	w.stored = w.store.Generation
}

func (w *watchful) majorityHears(o *overlay, r fleet.Ref) bool {
	p := w.running[r.ID]
	if p == nil || p.paused {
		return false
	}
	neighbours := o.of(r)
	hear := 0
	for _, n := range neighbours {
		q := w.running[n.Ref.ID]
		if q != nil && !q.paused && !w.cut[[2]fleet.InstanceID{r.ID, n.Ref.ID}] {
			hear++
		}
	}
	return 2*hear >= len(neighbours)
}

func (w *watchful) checkView(id fleet.InstanceID, p *process) {
	w.t.Helper()
	m := p.machine
	if m.roster.Generation < w.generation[id] {
		w.t.Fatalf("%s went from generation %d to %d", id, w.generation[id], m.roster.Generation)
	}
	w.generation[id] = m.roster.Generation
	if p.rejoins > 0 && !w.harmed[id] {
		w.t.Fatalf("%s was evicted though a majority of its neighbours heard it", id)
	}
	for _, member := range m.Members() {
		if member.Status == StatusDead && !w.harmed[member.Instance.Ref.ID] {
			w.t.Fatalf("%s holds %v for dead though a majority of its neighbours heard it", id, member.Instance.Ref)
		}
	}
}

func (w *watchful) walk(t *rapid.T) {
	for range rapid.IntRange(1, 60).Draw(t, "ticks") {
		w.step()
		w.note()
	}
}

func TestNobodyHeardByAMajorityIsEvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 14).Draw(t, "instances")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		w := &watchful{world: newWorld(t, size, zones), harmed: map[fleet.InstanceID]bool{}, generation: map[fleet.InstanceID]uint64{}}
		w.settle(3 * time.Second)
		any := func(t *rapid.T) fleet.InstanceID { return rapid.SampledFrom(w.order).Draw(t, "instance") }
		next := size
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { w.note() },
			"cut": func(t *rapid.T) {
				w.cut[[2]fleet.InstanceID{any(t), any(t)}] = true
			},
			"mute": func(t *rapid.T) {
				from := any(t)
				for _, to := range w.order {
					if rapid.Bool().Draw(t, "cut") {
						w.cut[[2]fleet.InstanceID{from, to}] = true
					}
				}
			},
			"heal":  func(*rapid.T) { clear(w.cut) },
			"away":  func(*rapid.T) { w.away = true },
			"back":  func(*rapid.T) { w.away = false },
			"lose":  func(*rapid.T) { w.loseNext = true },
			"pause": func(t *rapid.T) { w.pause(any(t), true) },
			"wake":  func(t *rapid.T) { w.pause(any(t), false) },
			"crash": func(t *rapid.T) {
				id := any(t)
				w.harmed[id] = true
				w.running[id] = nil
			},
			"join": func(*rapid.T) {
				w.start(instanceOf(next, zones))
				w.harmed[w.order[len(w.order)-1]] = false
				next++
			},
			"double": func(*rapid.T) { w.inbox = append(w.inbox, w.inbox...) },
			"late":   func(t *rapid.T) { w.inbox = rapid.Permutation(w.inbox).Draw(t, "order") },
			"walk":   w.walk,
		})
		w.recover()
	})
}

func (w *watchful) pause(id fleet.InstanceID, paused bool) {
	if p := w.running[id]; p != nil {
		p.paused = paused
		w.harmed[id] = true
	}
}

// list hands every machine the platform's list of what runs.
func (w *watchful) list() {
	var running []fleet.Instance
	for _, id := range w.order {
		if p := w.running[id]; p != nil {
			running = append(running, p.machine.Self())
		}
	}
	for _, i := range running {
		w.run(i.Ref.ID, w.running[i.Ref.ID].machine.Listed(w.now, running))
	}
}

// recover ends every fault and requires that all agree again.
func (w *watchful) recover() {
	w.t.Helper()
	clear(w.cut)
	w.away, w.loseNext = false, false
	running := 0
	for _, id := range w.order {
		w.pause(id, false)
		if w.running[id] != nil {
			running++
		}
	}
	if running == 0 {
		return
	}
	w.list()
	w.settle(3 * time.Minute)
	w.agreed()
	w.allAlive()
}
