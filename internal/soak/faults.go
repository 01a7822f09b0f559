package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/damaskcove/damaskcove/coord/following"
	"github.com/damaskcove/damaskcove/platform/standin"
)

// fault is one kind of disruption or of planned work. play returns when it is over.
type fault struct {
	name string
	play func(r *run, random *rand.Rand) error
}

// faultKeysMove is the fault that changes the keys of accounts; it needs accounts in the configuration.
const faultKeysMove = "keys-move"

// faults are the kinds from which a schedule is drawn.
var faults = []fault{
	{"store-silent", func(r *run, random *rand.Rand) error {
		return r.storeFault("store-silent", standin.State{Fault: standin.Silent}, 4500*time.Millisecond, random)
	}},
	{"store-busy", func(r *run, random *rand.Rand) error {
		return r.storeFault("store-busy", standin.State{Fault: standin.Unavailable}, 4500*time.Millisecond, random)
	}},
	{"store-reset", func(r *run, random *rand.Rand) error {
		return r.storeFault("store-reset", standin.State{Fault: standin.Reset}, 4500*time.Millisecond, random)
	}},
	{"store-slow", func(r *run, random *rand.Rand) error {
		return r.storeFault("store-slow", standin.State{Fault: standin.Slow, Latency: 60 * storeLatency}, 4500*time.Millisecond, random)
	}},
	{"store-lost", func(r *run, random *rand.Rand) error {
		return r.storeFault("store-lost", standin.State{Fault: standin.Lossy, Share: 0.35}, 4500*time.Millisecond, random)
	}},
	{"store-compact", storeCompact},
	{"store-restored", storeRestored},
	{"store-nodes", storeNodes},
	{"store-mute", storeMute},
	{"core-cut", coreCut},
	{"node-cut", nodeCut},
	{"lossy", lossy},
	{"one-way", oneWay},
	{"roll-term", rollTerm},
	{"mass-term", massTerm},
	{"term-series", termSeries},
	{"node-kill", func(r *run, random *rand.Rand) error { return r.kill(r.pick(random, 1), 3500*time.Millisecond) }},
	{"herd-kill", func(r *run, random *rand.Rand) error { return r.kill(r.share(random, 0.55), 2*time.Second) }},
	{"after-ack-kill", func(r *run, random *rand.Rand) error {
		if err := r.operator.randomChange(); err != nil {
			return err
		}
		return r.kill(r.pick(random, 2), 3*time.Second)
	}},
	{"freeze", freeze},
	{"reload", reload},
	{"add-nodes", addNodes},
	{"config-storm", configStorm},
	{"big-config", bigConfig},
	{"release", release},
	{"scale-in", scaleIn},
	{"hold-off", holdOff},
	{"limit", limitRate},
	{"leave-unheard", leaveUnheard},
	{"leave-cut-off", leaveCutOff},
	{"leave-and-return", leaveAndReturn},
	{"join-and-leave", joinAndLeave},
	{"store-followers", storeFollowers},
	{"scale-out", scaleOut},
	{"reuse", reuse},
	{"srv-crash", srvCrash},
	{"srv-grey", srvGrey},
	{"srv-slow", srvSlow},
	{"answer-lost", answerLost},
	{"srv-garble", func(r *run, random *rand.Rand) error {
		r.disturb("garble", r.pickUpstreams(random, 0.3), 6500*time.Millisecond, func(u *upstream) { u.garbled = 0.2 }, func(u *upstream) { u.garbled = 0 })
		return nil
	}},
	{"srv-cut", srvCut},
	{"srv-mute", func(r *run, random *rand.Rand) error {
		r.disturbLinks("mute", r.pickUpstreams(random, 0.4), 0, (*link).mute, func(*link) {})
		return nil
	}},
	{"srv-reset", func(r *run, random *rand.Rand) error {
		for range 4 {
			r.disturbLinks("reset", r.pickUpstreams(random, 0.3), 100*time.Millisecond, (*link).reset, func(*link) {})
			time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		}
		return nil
	}},
	{"srv-delay", func(r *run, random *rand.Rand) error {
		delay := time.Duration(20+random.IntN(400)) * time.Millisecond
		r.disturbLinks("delay", r.pickUpstreams(random, 0.3), 6*time.Second,
			func(l *link) { l.set(linkState{delay: delay}) }, func(l *link) { l.set(linkState{}) })
		return nil
	}},
	{"slow-bodies", func(r *run, _ *rand.Rand) error {
		r.slowBodies.Store(true)
		defer r.slowBodies.Store(false)
		time.Sleep(8 * time.Second)
		return nil
	}},
	{"odd-entries", oddEntries},
	{"big-bodies", func(r *run, _ *rand.Rand) error {
		r.large.Store(true)
		defer r.large.Store(false)
		time.Sleep(5 * time.Second)
		return nil
	}},
	{"burst", func(r *run, _ *rand.Rand) error {
		r.burst.Store(true)
		defer r.burst.Store(false)
		time.Sleep(3 * time.Second)
		return nil
	}},
	{faultKeysMove, keysMove},
	{"early-answers", earlyAnswers},
	{"endless", endlessBytes},
	{"give-up", func(r *run, _ *rand.Rand) error {
		r.impatient.Store(true)
		defer r.impatient.Store(false)
		time.Sleep(5500 * time.Millisecond)
		return nil
	}},
}

// scheduled is a fault with its start.
type scheduled struct {
	fault fault
	at    time.Duration // After the callers' start.
	seed  uint64
}

const (
	minFaults, maxFaults = 1, 7
	quietStart           = 2 * time.Second
	quietEnd             = 10 * time.Second // What follows the last fault is judged too.
)

// FaultNames returns the names of all faults.
func FaultNames() []string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// pool returns the faults of some names, all if there are none.
func pool(names []string) ([]fault, error) {
	if len(names) == 0 {
		return faults, nil
	}
	var list []fault
	for _, name := range names {
		k := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if k < 0 {
			return nil, fmt.Errorf("there is no fault %q; there are %s", name, strings.Join(FaultNames(), ", "))
		}
		list = append(list, faults[k])
	}
	return list, nil
}

// schedule draws the faults of a run.
func schedule(o Options, random *rand.Rand) ([]scheduled, error) {
	pool, err := pool(o.Faults)
	if err != nil {
		return nil, err
	}
	var list []scheduled
	span := o.Duration - quietStart - quietEnd
	for range minFaults + random.IntN(maxFaults-minFaults+1) {
		list = append(list, scheduled{pool[random.IntN(len(pool))], quietStart + time.Duration(random.Int64N(int64(span))), random.Uint64()})
	}
	slices.SortFunc(list, func(a, b scheduled) int { return int(a.at - b.at) })
	return list, nil
}

// pick returns n random machines.
func (r *run) pick(random *rand.Rand, n int) []*machine {
	list := r.fleet.all()
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

func (r *run) share(random *rand.Rand, share float64) []*machine {
	return r.pick(random, max(1, int(share*float64(len(r.fleet.all()))+0.5)))
}

// aimed changes the configuration just before or after a fault of the store, as planned work meets
// faults by chance.
func (r *run) aimed(random *rand.Rand, within time.Duration) error {
	if random.IntN(2) == 0 {
		return nil
	}
	if err := r.operator.randomChange(); err != nil {
		return err
	}
	time.Sleep(time.Duration(random.Int64N(int64(within))))
	return nil
}

func (r *run) setDoors(machines []*machine, state standin.State) {
	for _, m := range machines {
		m.door.Set(state)
	}
}

// storeFault disrupts the store for all machines and the operator.
func (r *run) storeFault(name string, state standin.State, lasts time.Duration, random *rand.Rand) error {
	r.storeBusy.Lock() // One fault of the store at a time: each sets the state of all doors.
	defer r.storeBusy.Unlock()
	if err := r.aimed(random, 600*time.Millisecond); err != nil {
		return err
	}
	lapse := random.IntN(2) == 0
	down := state.Fault == standin.Silent || state.Fault == standin.Unavailable || state.Fault == standin.Reset
	end := r.recorder.window(Window{What: name, Kind: WindowStore})
	if down {
		r.operator.setDown(true)
		if !lapse {
			r.fleet.store.PauseLeases(true, 0)
		}
	}
	r.setDoors(r.fleet.all(), state)
	time.Sleep(lasts)
	r.setDoors(r.fleet.all(), standin.State{})
	if down {
		r.operator.setDown(false)
		if !lapse {
			r.fleet.store.PauseLeases(false, lasts)
		}
	}
	end()
	if down && lapse {
		r.lapse(random)
	}
	time.Sleep(r.terms.StableWindow + time.Duration(random.IntN(2000))*time.Millisecond)
	return r.operator.change("a route is moved", r.operator.moveRoute)
}

// lapse removes registrations of upstreams that expired in an outage; they are back soon.
func (r *run) lapse(random *rand.Rand) {
	for _, u := range r.liveUpstreams() {
		if random.IntN(3) > 0 {
			continue
		}
		r.fleet.store.Delete("servers/" + u.id)
		time.AfterFunc(time.Duration(random.Int64N(int64(r.terms.Heartbeat))), func() {
			if !u.isGone() {
				r.check(u.register())
			}
		})
	}
}

func storeCompact(r *run, random *rand.Rand) error {
	defer r.recorder.window(Window{What: "store-compact", Kind: WindowStoreSome})()
	for range 12 {
		r.fleet.store.Compact()
		if random.IntN(4) == 0 {
			if err := r.operator.randomChange(); err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
	}
	return nil
}

// storeNodes makes the store reject some machines and serve the others.
func storeNodes(r *run, random *rand.Rand) error {
	r.storeBusy.Lock()
	defer r.storeBusy.Unlock()
	state := standin.State{Fault: []standin.Fault{standin.Silent, standin.Unavailable, standin.Reset}[random.IntN(3)]}
	machines := r.share(random, 0.33)
	end := r.recorder.window(Window{What: fmt.Sprintf("store-nodes %d", state.Fault), Kind: WindowStoreSome})
	var ends []func()
	for _, m := range machines {
		ends = append(ends, r.recorder.window(Window{What: "store-nodes", Machine: m.name, Kind: WindowMachine}))
	}
	r.setDoors(machines, state)
	if random.IntN(2) == 0 {
		r.fleet.store.Revoke(func(key string) bool {
			return slices.ContainsFunc(machines, func(m *machine) bool { return strings.HasSuffix(key, "/"+m.name) })
		})
	}
	for range 3 {
		time.Sleep(3 * time.Second)
		if err := r.operator.randomChange(); err != nil {
			return err
		}
	}
	r.setDoors(machines, standin.State{})
	for _, f := range append(ends, end) {
		f()
	}
	return nil
}

// storeMute makes all open connections to the store silent; new ones work.
func storeMute(r *run, random *rand.Rand) error {
	if err := r.aimed(random, time.Second); err != nil {
		return err
	}
	end := r.recorder.window(Window{What: "store-mute", Kind: WindowStore})
	for _, m := range r.fleet.all() {
		m.door.Mute()
	}
	end()
	time.Sleep(r.terms.StableWindow + 500*time.Millisecond)
	return r.operator.change("a route is moved", r.operator.moveRoute)
}

// coreCut cuts single machines from the store, both ways or one.
func coreCut(r *run, random *rand.Rand) error {
	r.storeBusy.Lock()
	defer r.storeBusy.Unlock()
	state := standin.State{Fault: []standin.Fault{standin.Silent, standin.CutOut}[random.IntN(2)]}
	machines := r.pick(random, 1+random.IntN(3))
	var ends []func()
	for _, m := range machines {
		ends = append(ends, r.recorder.window(Window{What: "core-cut", Machine: m.name, Kind: WindowMachine}))
	}
	r.setDoors(machines, state)
	time.Sleep(2 * time.Second)
	if err := r.operator.randomChange(); err != nil {
		return err
	}
	time.Sleep(3500 * time.Millisecond)
	r.setDoors(machines, standin.State{})
	for _, f := range ends {
		f()
	}
	return nil
}

// linkWindow applies a link fault that concerns some machines.
func (r *run) linkWindow(what string, machines []*machine, lasts time.Duration, rule func(from, to string) (linkFault, bool)) {
	var ends []func()
	for _, m := range machines {
		ends = append(ends, r.recorder.window(Window{What: what, Machine: m.name, Kind: WindowMachine}))
	}
	end := r.fleet.network.add(rule)
	time.Sleep(lasts)
	end()
	for _, f := range ends {
		f()
	}
}

func names(machines []*machine) map[string]bool {
	out := map[string]bool{}
	for _, m := range machines {
		out[m.name] = true
	}
	return out
}

// nodeCut cuts machines from the store and from the other instances.
func nodeCut(r *run, random *rand.Rand) error {
	r.storeBusy.Lock()
	defer r.storeBusy.Unlock()
	r.cut(r.share(random, 0.17), 5500*time.Millisecond)
	return nil
}

// cut cuts machines off; the caller holds storeBusy.
func (r *run) cut(machines []*machine, lasts time.Duration) {
	cut := names(machines)
	r.setDoors(machines, standin.State{Fault: standin.Silent})
	r.linkWindow("node-cut", machines, lasts, func(from, to string) (linkFault, bool) {
		return linkFault{loss: 1}, cut[from] || cut[to]
	})
	r.setDoors(machines, standin.State{})
}

// lossy makes the links of a zone lose and delay datagrams.
func lossy(r *run, random *rand.Rand) error {
	zone := zoneNames[random.IntN(len(zoneNames))]
	machines := slices.DeleteFunc(r.fleet.all(), func(m *machine) bool { return m.zone != zone })
	in := names(machines)
	r.linkWindow("lossy", machines, 5500*time.Millisecond, func(from, to string) (linkFault, bool) {
		return linkFault{loss: 0.025 + 0.2*rand.Float64(), delay: time.Duration(rand.IntN(20)) * time.Millisecond}, in[from] || in[to]
	})
	return nil
}

// oneWay cuts what some machines send to the others, or what they get.
func oneWay(r *run, random *rand.Rand) error {
	machines := r.pick(random, 2)
	cut := names(machines)
	out := random.IntN(2) == 0
	r.linkWindow("one-way", machines, 5500*time.Millisecond, func(from, to string) (linkFault, bool) {
		return linkFault{loss: 1}, out && cut[from] || !out && cut[to]
	})
	return nil
}

// stop makes a planned stop and starts the process again after pause.
func (r *run) stop(m *machine, pause time.Duration) error {
	m.operating.Lock()
	defer m.operating.Unlock()
	if r.over() {
		return nil
	}
	defer r.recorder.window(Window{What: "SIGTERM", Machine: m.name, Kind: WindowMachineStop})()
	m.signal(syscall.SIGTERM, true)
	if !m.wait(r.terms.StopWithin) {
		r.recorder.printf("SIGKILL %s at the end of grace", m.name)
		m.signal(syscall.SIGKILL, true)
		m.wait(killTimeout)
	}
	time.Sleep(pause)
	return m.start(false)
}

// rollTerm stops machines in turn, two at a time.
func rollTerm(r *run, random *rand.Rand) error {
	machines := r.share(random, []float64{0.3, 0.45, 1}[random.IntN(3)])
	gap := time.Duration(1000+random.IntN(600)) * time.Millisecond
	var wg sync.WaitGroup
	for len(machines) > 0 && !r.over() {
		n := min(2, len(machines))
		for _, m := range machines[:n] {
			wg.Go(func() { r.check(r.stop(m, 300*time.Millisecond)) })
		}
		machines = machines[n:]
		if random.IntN(2) == 0 {
			wg.Wait() // In turn; else the next two follow after the gap alone.
		}
		time.Sleep(gap)
	}
	wg.Wait()
	return nil
}

// massTerm stops many machines at the same moment.
func massTerm(r *run, random *rand.Rand) error {
	var wg sync.WaitGroup
	for _, m := range r.share(random, []float64{0.5, 0.9, 1}[random.IntN(3)]) {
		wg.Go(func() { r.check(r.stop(m, 500*time.Millisecond)) })
	}
	wg.Wait()
	return nil
}

// termSeries stops, reloads and changes in quick succession: a few machines again and again, each as soon as it
// runs, with SIGHUPs and configurations before and during the stops.
func termSeries(r *run, random *rand.Rand) error {
	machines := r.pick(random, 2+random.IntN(2))
	var wg sync.WaitGroup
	for range 2 + random.IntN(2) {
		for _, m := range machines {
			if r.over() {
				break
			}
			hangUp, pause := random.IntN(2) == 0, time.Duration(random.IntN(400))*time.Millisecond
			wg.Go(func() {
				if hangUp {
					r.hangUp(m)
				}
				r.check(r.stop(m, pause))
			})
			time.Sleep(time.Duration(random.IntN(900)) * time.Millisecond)
			if err := r.operator.randomChange(); err != nil {
				return err
			}
		}
	}
	wg.Wait()
	return nil
}

// kill kills processes at the same moment and starts them again.
func (r *run) kill(machines []*machine, pause time.Duration) error {
	var wg sync.WaitGroup
	for _, m := range machines {
		wg.Go(func() {
			m.operating.Lock()
			defer m.operating.Unlock()
			if r.over() {
				return
			}
			end := r.recorder.window(Window{What: "SIGKILL", Machine: m.name, Kind: WindowMachine})
			m.signal(syscall.SIGKILL, true)
			m.wait(killTimeout)
			time.Sleep(pause)
			r.check(m.start(false))
			end()
		})
	}
	wg.Wait()
	return nil
}

// freeze pauses processes for some seconds.
func freeze(r *run, random *rand.Rand) error {
	lasts := time.Duration(500+random.IntN(5000)) * time.Millisecond
	var wg sync.WaitGroup
	for _, m := range r.pick(random, 1+random.IntN(4)) {
		wg.Go(func() { r.pause(m, lasts) })
	}
	wg.Wait()
	return nil
}

// pause stops a machine's process and lets it go on.
func (r *run) pause(m *machine, lasts time.Duration) {
	m.operating.Lock()
	defer m.operating.Unlock()
	if r.over() {
		return
	}
	defer r.recorder.window(Window{What: "SIGSTOP", Machine: m.name, Frozen: true, Kind: WindowMachine})()
	m.signal(syscall.SIGSTOP, false)
	time.Sleep(lasts)
	m.signal(syscall.SIGCONT, false)
}

// reload sends SIGHUP to machines in turn.
func reload(r *run, random *rand.Rand) error {
	for _, m := range r.share(random, 0.5) {
		r.hangUp(m)
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// hangUp sends SIGHUP to a machine's process.
func (r *run) hangUp(m *machine) {
	m.operating.Lock()
	defer m.operating.Unlock()
	if r.over() {
		return
	}
	defer r.recorder.window(Window{What: "SIGHUP", Machine: m.name, Kind: WindowReload})()
	m.signal(syscall.SIGHUP, false)
}

// addNodes starts a spare machine in each zone.
func addNodes(r *run, _ *rand.Rand) error {
	r.spares.Lock()
	defer r.spares.Unlock()
	for zone := range zoneNames {
		if r.added[zone] || len(r.fleet.all()) >= maxMachines {
			continue
		}
		r.added[zone] = true
		m, err := r.fleet.add(zone, spareNumber)
		if err != nil {
			return err
		}
		end := r.recorder.window(Window{What: "added", Machine: m.name, Kind: WindowMachine})
		err = m.start(false)
		end()
		if err != nil {
			return err
		}
	}
	return nil
}

// oddEntries writes what another writer might leave among the registrations, and removes it again.
func oddEntries(r *run, random *rand.Rand) error {
	live := r.pickUpstreams(random, 0.1)[0]
	odd := []any{
		"not an object", 7, nil, []int{1}, map[string]any{}, map[string]any{"service": serviceNames[0]},
		map[string]any{"service": serviceNames[0], "address": "nowhere", "zone": zoneNames[0], "capacity": upstreamSlots, "state": "ready", "sequence": 1},
		map[string]any{"service": serviceNames[0], "address": live.addr, "zone": zoneNames[0], "capacity": "many", "state": "ready", "sequence": 1},
		map[string]any{"service": "absent", "address": live.addr, "zone": zoneNames[0], "capacity": upstreamSlots, "state": "resting", "sequence": -1},
		map[string]any{"service": serviceNames[0], "note": strings.Repeat("x", 200<<10)},
	}
	for k, value := range odd {
		key := fmt.Sprintf("servers/odd-%d", k)
		if _, err := r.fleet.store.PutJSON(key, value); err != nil {
			return err
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		if err := r.operator.randomChange(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	for k := range odd {
		r.fleet.store.Delete(fmt.Sprintf("servers/odd-%d", k))
	}
	return nil
}

func configStorm(r *run, random *rand.Rand) error {
	gap, lasts := 330*time.Millisecond, 4*time.Second
	if random.IntN(2) == 0 {
		gap, lasts = 60*time.Millisecond, 1500*time.Millisecond
	}
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(gap) {
		if err := r.operator.randomChange(); err != nil {
			return err
		}
	}
	return nil
}

func bigConfig(r *run, random *rand.Rand) error {
	if err := r.operator.grow([]int{60, 150, 350, 492}[random.IntN(4)]); err != nil {
		return err
	}
	time.Sleep(time.Duration(2500+random.IntN(4000)) * time.Millisecond)
	return r.operator.shrink()
}

// pickUpstreams returns a share of the live upstreams.
func (r *run) pickUpstreams(random *rand.Rand, share float64) []*upstream {
	list := r.liveUpstreams()
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), max(1, int(share*float64(len(list))+0.5)))]
}

// leaveTime is how long an upstream serves after it reported its leaving.
func (r *run) leaveTime(random *rand.Rand) time.Duration {
	return r.terms.DrainWithin + time.Duration(200+random.IntN(2500))*time.Millisecond
}

// release replaces the upstreams of a service one after the other.
func release(r *run, random *rand.Rand) error {
	service := serviceNames[random.IntN(len(serviceNames))]
	var wg sync.WaitGroup
	for _, u := range r.pickUpstreams(random, 1) {
		if u.service != service || random.IntN(2) == 0 || r.over() {
			continue
		}
		if _, err := r.addUpstream(u.service, u.zone); err != nil {
			return err
		}
		serve, report := r.leaveTime(random), random.Float64() >= 0.3
		wg.Go(func() { r.check(u.leave(report, serve)) })
		time.Sleep(time.Second)
	}
	wg.Wait()
	return nil
}

func scaleIn(r *run, random *rand.Rand) error {
	var wg sync.WaitGroup
	for _, u := range r.pickUpstreams(random, 0.13) {
		serve, report := r.leaveTime(random), random.Float64() >= 0.3
		wg.Go(func() { r.check(u.leave(report, serve)) })
	}
	wg.Wait()
	return nil
}

// holdOff makes upstreams turn requests away for some seconds, with the time for which they want no more: some of
// them, or a whole service.
func holdOff(r *run, random *rand.Rand) error {
	list := r.pickUpstreams(random, 0.3)
	if random.IntN(2) == 0 {
		service := serviceNames[random.IntN(len(serviceNames))]
		list = slices.DeleteFunc(r.liveUpstreams(), func(u *upstream) bool { return u.service != service })
	}
	seconds := []int{1, 2, 5, 30}[random.IntN(4)]
	lasts := time.Duration(500+random.IntN(5000)) * time.Millisecond
	r.disturb(fmt.Sprintf("hold-off %d s", seconds), list, lasts, func(u *upstream) { u.holdOff = seconds }, func(u *upstream) { u.holdOff = 0 })
	return nil
}

// limitRate makes upstreams name a limit in their answers: some of them, or a service. It changes once meanwhile.
func limitRate(r *run, random *rand.Rand) error {
	list := r.pickUpstreams(random, 0.3)
	if random.IntN(3) == 0 {
		service := serviceNames[random.IntN(len(serviceNames))]
		list = slices.DeleteFunc(r.liveUpstreams(), func(u *upstream) bool { return u.service != service })
	}
	rates := []float64{0, 0.25, 1, 2, 6.5, 20}
	for range 2 {
		rate := rates[random.IntN(len(rates))]
		lasts := 8*time.Second + time.Duration(random.IntN(4000))*time.Millisecond
		r.disturbAs(WindowUpstreamLimit, fmt.Sprintf("limit of %g/s", rate), list, lasts, func(u *upstream) { u.limit = &rate }, func(*upstream) {})
	}
	for _, u := range list {
		u.change(func(u *upstream) { u.limit = nil })
	}
	return nil
}

// leaveUnheard lets upstreams leave while the store is silent, or serves some machines only: the others hear of it
// from answers alone.
func leaveUnheard(r *run, random *rand.Rand) error {
	r.storeBusy.Lock()
	defer r.storeBusy.Unlock()
	machines, kind := r.fleet.all(), WindowStore
	if random.IntN(2) == 0 {
		machines, kind = r.share(random, 0.5), WindowStoreSome
	}
	end := r.recorder.window(Window{What: "store-silent, upstreams leave", Kind: kind})
	var ends []func()
	for _, m := range machines {
		ends = append(ends, r.recorder.window(Window{What: "store-silent", Machine: m.name, Kind: WindowMachine}))
	}
	r.setDoors(machines, standin.State{Fault: standin.Silent})
	var wg sync.WaitGroup
	for _, u := range r.pickUpstreams(random, 0.2) {
		serve, report := r.leaveTime(random)+time.Duration(random.IntN(4000))*time.Millisecond, random.Float64() >= 0.3
		wg.Go(func() { r.check(u.leave(report, serve)) })
	}
	wg.Wait()
	r.setDoors(machines, standin.State{})
	for _, f := range append(ends, end) {
		f()
	}
	return nil
}

// leaveCutOff lets upstreams leave that cannot reach the store. Their registrations expire, and may be back for a
// while: as a write that has its effect late.
func leaveCutOff(r *run, random *rand.Rand) error {
	var wg sync.WaitGroup
	for _, u := range r.pickUpstreams(random, 0.13) {
		returns, serve := random.IntN(2) == 0, r.leaveTime(random)
		wg.Go(func() {
			defer r.recorder.window(Window{What: "cut off from the store", Upstream: u.name, Kind: WindowUpstream})()
			if returns {
				late := u.entry()
				time.AfterFunc(4*r.terms.Heartbeat, func() {
					_, err := u.store.PutJSON("servers/"+u.id, late)
					r.check(err)
					r.recorder.returned(u.name) // By the store; by its answers it is leaving.
					time.AfterFunc(3*r.terms.Heartbeat, u.deregister)
				})
			}
			u.leaveCutOff(3*r.terms.Heartbeat, serve)
		})
	}
	wg.Wait()
	return nil
}

// leaveAndReturn restarts upstreams as planned: each leaves, ends, and starts again under its id and address.
func leaveAndReturn(r *run, random *rand.Rand) error {
	var wg sync.WaitGroup
	for _, u := range r.pickUpstreams(random, 0.2) {
		serve, pause := r.leaveTime(random), time.Duration(100+random.IntN(2000))*time.Millisecond
		wg.Go(func() {
			r.check(u.leave(true, serve))
			time.Sleep(pause)
			_, err := r.startAgain(u)
			r.check(err)
		})
	}
	wg.Wait()
	return nil
}

// followersOf returns the machines of each zone that follow the store while it serves all: the first two by key.
func (r *run) followersOf() [len(zoneNames)][]*machine {
	var zones [len(zoneNames)][]*machine
	for _, m := range r.fleet.all() {
		zones[m.zoneIndex] = append(zones[m.zoneIndex], m)
	}
	for z, list := range zones {
		slices.SortFunc(list, func(a, b *machine) int { return strings.Compare(a.name, b.name) })
		zones[z] = list[:min(len(list), following.FollowersPerZone)]
	}
	return zones
}

// joinAndLeave cuts an instance that follows the store off, or pauses it. Upstreams join meanwhile, and leave without a report
// around its return.
func joinAndLeave(r *run, random *rand.Rand) error {
	r.storeBusy.Lock()
	defer r.storeBusy.Unlock()
	list := r.followersOf()[random.IntN(len(zoneNames))]
	if len(list) == 0 {
		return nil
	}
	away, paused := list[random.IntN(len(list))], random.IntN(3) == 0
	returned := make(chan struct{})
	lasts := 5500 * time.Millisecond
	go func() {
		defer close(returned)
		if paused {
			r.pause(away, lasts)
			return
		}
		r.cut([]*machine{away}, lasts)
	}()
	time.Sleep(time.Second)
	var joined []*upstream
	for k := range 6 {
		u, err := r.addUpstream(serviceNames[k%len(serviceNames)], zoneNames[random.IntN(len(zoneNames))])
		if err != nil {
			return err
		}
		joined = append(joined, u)
		time.Sleep(10 * time.Millisecond)
	}
	early := time.Duration(random.IntN(400)) * time.Millisecond
	time.Sleep(lasts - time.Second - 60*time.Millisecond - early)
	var wg sync.WaitGroup
	for _, u := range joined {
		wg.Go(func() { u.leaveUnlisted(3 * r.terms.DrainWithin) })
		time.Sleep(150 * time.Millisecond)
	}
	wg.Wait()
	<-returned
	return nil
}

// storeFollowers lets the store turn the machines that follow it away, of each zone or of one, while it serves all others. The
// configuration changes, or upstreams leave, as that begins.
func storeFollowers(r *run, random *rand.Rand) error {
	r.storeBusy.Lock()
	defer r.storeBusy.Unlock()
	var machines []*machine
	zones := r.followersOf()
	for _, list := range zones {
		machines = append(machines, list...)
	}
	if random.IntN(4) == 0 {
		machines = zones[random.IntN(len(zones))]
	}
	state := standin.State{Fault: []standin.Fault{standin.Silent, standin.Silent, standin.Unresponsive, standin.Reset}[random.IntN(4)]}
	for range 2 {
		var ends []func()
		for _, m := range machines {
			ends = append(ends, r.recorder.window(Window{What: fmt.Sprintf("store-followers %d", state.Fault), Machine: m.name, Kind: WindowMachine}))
		}
		r.setDoors(machines, state)
		for range 2 {
			if err := r.operator.change("a route is moved", r.operator.moveRoute); err != nil {
				return err
			}
			if random.IntN(2) == 0 {
				for _, u := range r.pickUpstreams(random, 0.1) {
					go u.leaveUnlisted(3 * r.terms.DrainWithin)
				}
			}
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		r.setDoors(machines, standin.State{})
		for _, f := range ends {
			f()
		}
		time.Sleep(r.terms.StableWindow + 1500*time.Millisecond)
	}
	return nil
}

func scaleOut(r *run, random *rand.Rand) error {
	for range 5 {
		if _, err := r.addUpstream(serviceNames[random.IntN(len(serviceNames))], zoneNames[random.IntN(len(zoneNames))]); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}

// reuse ends upstreams; their addresses go to upstreams of another service.
func reuse(r *run, random *rand.Rand) error {
	var wg sync.WaitGroup
	for _, u := range r.pickUpstreams(random, 0.18) {
		serve := r.leaveTime(random)
		wg.Go(func() {
			r.check(u.leave(true, serve))
			time.Sleep(r.terms.ReuseAfter)
			k := slices.Index(serviceNames, u.service)
			_, err := r.startUpstream(serviceNames[(k+1)%len(serviceNames)], u.zone, u.addr)
			r.check(err)
		})
	}
	wg.Wait()
	return nil
}

// srvCrash ends upstreams without a report. Their registrations expire; then they start again.
func srvCrash(r *run, random *rand.Rand) error {
	var wg sync.WaitGroup
	for _, u := range r.pickUpstreams(random, 0.14) {
		wg.Go(func() {
			defer r.recorder.window(Window{What: "crash", Upstream: u.name, Kind: WindowUpstream})()
			u.end()
			time.Sleep(3 * r.terms.Heartbeat)
			u.deregister()
			_, err := r.startUpstream(u.service, u.zone, u.addr)
			r.check(err)
		})
	}
	wg.Wait()
	return nil
}

// disturb changes upstreams for a time.
func (r *run) disturb(what string, list []*upstream, lasts time.Duration, set, unset func(u *upstream)) {
	r.disturbAs(WindowUpstream, what, list, lasts, set, unset)
}

// disturbLinks changes the links of upstreams for a time.
func (r *run) disturbLinks(what string, list []*upstream, lasts time.Duration, set, unset func(l *link)) {
	r.disturbAs(WindowLink, what, list, lasts, func(u *upstream) { set(u.link) }, func(u *upstream) { unset(u.link) })
}

func (r *run) disturbAs(kind WindowKind, what string, list []*upstream, lasts time.Duration, set, unset func(u *upstream)) {
	for _, u := range list {
		defer r.recorder.window(Window{What: what, Upstream: u.name, Kind: kind})()
		u.change(set)
	}
	time.Sleep(lasts)
	for _, u := range list {
		u.change(unset)
	}
}

func srvGrey(r *run, random *rand.Rand) error {
	how := []string{"errors", "hang", "reset"}[random.IntN(3)]
	r.disturb("grey "+how, r.pickUpstreams(random, 0.14), 6500*time.Millisecond,
		func(u *upstream) { u.failShare, u.failHow = 0.45, how }, func(u *upstream) { u.failShare = 0 })
	return nil
}

func srvSlow(r *run, random *rand.Rand) error {
	r.disturb("slow", r.pickUpstreams(random, 0.16), 6500*time.Millisecond, func(u *upstream) { u.slow = 5 }, func(u *upstream) { u.slow = 1 })
	return nil
}

// srvCut cuts the links of upstreams, one way or both. What was sent meanwhile arrives afterwards, if the
// connection still stands.
func srvCut(r *run, random *rand.Rand) error {
	state := []linkState{{cutIn: true}, {cutOut: true}, {cutIn: true, cutOut: true}}[random.IntN(3)]
	r.disturbLinks("cut", r.pickUpstreams(random, 0.2), time.Duration(500+random.IntN(5000))*time.Millisecond,
		func(l *link) { l.set(state) }, func(l *link) { l.set(linkState{}) })
	return nil
}

func answerLost(r *run, random *rand.Rand) error {
	r.disturb("answer-lost", r.pickUpstreams(random, 0.45), 5500*time.Millisecond, func(u *upstream) { u.lostShare = 0.05 }, func(u *upstream) { u.lostShare = 0 })
	return nil
}
