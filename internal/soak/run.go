package soak

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Options are the options of a run.
type Options struct {
	Gate      string        // Path of the damaskgate program.
	Folder    string        // For settings and logs; it is created.
	Seed      uint64        // Of the schedule, the traffic and the configurations.
	Instances int           // Processes at the start, in three zones.
	Duration  time.Duration // Of the traffic.
	Network   byte          // Second octet of the loopback addresses in use.
	Relay     bool          // Datagrams between instances pass a relay that can lose them.
	Loss      float64       // Share of the datagrams that the relay always loses.
	Faults    []string      // Names of the faults to draw from; all if empty.
	Rate      float64       // Requests per second, of all callers.
	Direct    time.Duration // Interval of the direct checks of each instance.
	Load      int           // Busy processes beside the instances.
	Cores     int           // Cores for the instances and the busy processes; 0 for all.
	Busy      []string      // Command of a busy process.
}

// Report is the outcome of a run.
type Report struct {
	Seed     uint64
	Findings []Finding
	Records  Records
	Timeline []string
	Lag      time.Duration // Longest delay of a timer of the run itself: a measure of the machine's load.
}

const (
	leadTime    = 8 * time.Second // From the instances' start to the traffic.
	startSpread = 300 * time.Millisecond
	spareNumber = 60
	maxMachines = 48
	callersZone = 40 // Callers in each zone.
	pollEvery   = time.Second
	sweepEvery  = 100 * time.Millisecond
	lagEvery    = 20 * time.Millisecond
	checkWork   = 2 * time.Millisecond

	burstFactor    = 1.7
	impatientShare = 0.2
)

var services = []service{
	{"lotbook", [3]int{4, 4, 3}},
	{"orderhive", [3]int{6, 7, 6}},
	{"freightcomb", [3]int{3, 1, 2}},
}

// kind is a kind of requests.
type kind struct {
	request
	share    float64
	habit    string // "pipeline", "pool" or "fresh".
	spread   float64
	longest  time.Duration
	meanWork time.Duration
}

var kinds = []kind{
	{request{method: http.MethodGet, host: mainHost, path: lookupPrefix, safe: true, deadline: 4 * time.Second}, 2.3, "pipeline", 0.5, 3100 * time.Millisecond, 410 * time.Millisecond},
	{request{method: http.MethodPost, host: mainHost, path: orderPrefix, deadline: 5 * time.Second, body: 1200}, 5.2, "pool", 0.5, 1900 * time.Millisecond, 320 * time.Millisecond},
	{request{method: http.MethodPut, host: mainHost, path: pickupPrefix, deadline: 4 * time.Second, body: 300}, 1.2, "fresh", 0.8, 1700 * time.Millisecond, 220 * time.Millisecond},
}

// run is a run in progress.
type run struct {
	options  Options
	terms    Terms
	recorder *recorder
	fleet    *fleet
	operator *operator
	ended    atomic.Bool

	burst     atomic.Bool // Callers send burstFactor times as many requests.
	impatient atomic.Bool // Some callers leave early.
	storeBusy sync.Mutex
	spares    sync.Mutex
	added     [3]bool

	mu        sync.Mutex
	upstreams []*upstream
	created   int
	errs      []error
}

func (r *run) over() bool { return r.ended.Load() }

// check keeps an error of the harness.
func (r *run) check(err error) {
	if err != nil {
		r.recorder.printf("error of the harness: %v", err)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.errs = append(r.errs, err)
	}
}

// Play plays a run and judges it. An error means that it could not be played as intended.
func Play(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return nil, fmt.Errorf("create the run's folder: %w", err)
	}
	random := rand.New(rand.NewPCG(o.Seed, 1))
	rec := newRecorder()
	r := &run{options: o, terms: DefaultTerms(), recorder: rec, fleet: newFleet(o, rec)}
	r.operator = newOperator(r.fleet.store, rec, rand.New(rand.NewPCG(o.Seed, 2)))
	plan, err := schedule(o, random)
	if err != nil {
		return nil, err
	}
	lag := r.play(ctx, plan, random)
	r.check(r.fleet.end())
	for _, u := range r.liveUpstreams() {
		u.end()
	}
	records, timeline := rec.finish()
	report := &Report{Seed: o.Seed, Findings: Judge(r.terms, records), Records: records, Timeline: timeline, Lag: lag}
	return report, errors.Join(r.errs...)
}

// play runs everything for the run's time and returns its longest delay of a timer.
func (r *run) play(ctx context.Context, plan []scheduled, random *rand.Rand) time.Duration {
	if err := r.prepare(random); err != nil {
		r.check(err)
		return 0
	}
	endLoad, err := r.startLoad()
	if err != nil {
		r.check(err)
		return 0
	}
	defer endLoad()
	lasting, cancel := context.WithTimeout(ctx, leadTime+r.options.Duration)
	defer cancel()
	var wg sync.WaitGroup
	var lag time.Duration
	wg.Go(func() { lag = r.watchLag(lasting) })
	wg.Go(func() { every(lasting, sweepEvery, func() { r.fleet.store.sweep(time.Now()) }) })
	wg.Go(func() { every(lasting, pollEvery, r.poll) })
	sleep(lasting, leadTime)
	for zone := range zoneNames {
		for k := range callersZone {
			seed := r.options.Seed<<16 + uint64(zone*callersZone+k)
			wg.Go(func() { r.call(lasting, zoneNames[zone], rand.New(rand.NewPCG(seed, 3))) })
		}
	}
	wg.Go(func() { r.checkDirectly(lasting) })
	changes := rand.New(rand.NewPCG(r.options.Seed, 4))
	wg.Go(func() {
		for lasting.Err() == nil {
			sleep(lasting, time.Duration(1500+changes.IntN(8000))*time.Millisecond)
			if lasting.Err() == nil {
				r.check(r.operator.randomChange())
			}
		}
	})
	began := time.Now()
	for _, s := range plan {
		wg.Go(func() {
			sleep(lasting, time.Until(began.Add(s.at)))
			if lasting.Err() != nil {
				return
			}
			r.recorder.printf("fault %s", s.fault.name)
			r.check(s.fault.play(r, rand.New(rand.NewPCG(s.seed, 5))))
		})
	}
	<-lasting.Done()
	r.ended.Store(true)
	wg.Wait()
	for _, m := range r.fleet.all() {
		if r.options.Relay && m.rewritten.Load() == 0 {
			r.check(fmt.Errorf("the relay is not in use: %s registered no address that it could replace", m.name))
		}
	}
	return lag
}

// prepare starts the upstreams, writes the first configuration and starts the instances.
func (r *run) prepare(random *rand.Rand) error {
	for _, s := range services {
		for zone, n := range s.counts {
			for range n {
				if _, err := r.addUpstream(s.name, zoneNames[zone]); err != nil {
					return err
				}
			}
		}
	}
	if err := r.operator.change("the first", nil); err != nil {
		return err
	}
	counts := [3]int{}
	for k := range r.options.Instances {
		counts[k%3]++
	}
	if r.options.Instances == 44 {
		counts = [3]int{16, 12, 16}
	}
	for zone, n := range counts {
		for k := range n {
			if _, err := r.fleet.add(zone, k+1); err != nil {
				return err
			}
		}
	}
	for _, m := range r.fleet.all() {
		if err := m.start(true); err != nil {
			return err
		}
		time.Sleep(time.Duration(random.Int64N(int64(startSpread) / int64(r.options.Instances))))
	}
	return nil
}

func (r *run) addUpstream(service, zone string) (*upstream, error) {
	return r.startUpstream(service, zone, "")
}

// startUpstream starts an upstream and registers it; without an address it gets a new one.
func (r *run) startUpstream(service, zone, addr string) (*upstream, error) {
	r.mu.Lock()
	r.created++
	id := fmt.Sprintf("i-%s-%d", service, r.created)
	if addr == "" {
		addr = r.fleet.addr(upstreamOctet, 0, r.created, upstreamPort).String()
	}
	r.mu.Unlock()
	u, err := startUpstream(r.fleet.store, r.recorder, id, service, zone, addr)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.upstreams = append(r.upstreams, u)
	r.mu.Unlock()
	return u, u.register()
}

func (r *run) liveUpstreams() []*upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*upstream
	for _, u := range r.upstreams {
		if !u.isGone() {
			out = append(out, u)
		}
	}
	return out
}

func (r *run) poll() {
	var wg sync.WaitGroup
	for _, m := range r.fleet.all() {
		wg.Go(m.poll)
	}
	wg.Wait()
}

// call is one caller's traffic.
func (r *run) call(ctx context.Context, zone string, random *rand.Rand) {
	c := &caller{fleet: r.fleet, recorder: r.recorder, zone: zone, keepTTLs: []int{1, 1, 2, 3, 3}[random.IntN(5)], failed: map[string]bool{}}
	if random.IntN(2) == 0 {
		c.known = r.fleet.nearest(zone, resolveTries)
	}
	mean := float64(3*callersZone) / r.options.Rate
	var shares float64
	for _, k := range kinds {
		shares += k.share
	}
	for {
		pause := random.ExpFloat64() * mean
		if r.burst.Load() {
			pause /= burstFactor
		}
		sleep(ctx, time.Duration(pause*float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		x := random.Float64() * shares
		k := 0
		for ; x > kinds[k].share && k < len(kinds)-1; k++ {
			x -= kinds[k].share
		}
		n := 1
		if kinds[k].habit == "pipeline" {
			n += random.IntN(2)
		}
		var list []request
		for range n {
			q := kinds[k].request
			work := float64(kinds[k].meanWork) * math.Exp(kinds[k].spread*random.NormFloat64()-kinds[k].spread*kinds[k].spread/2)
			if random.IntN(100) == 0 {
				work *= 5
			}
			q.work = min(time.Duration(work), kinds[k].longest)
			if r.impatient.Load() && random.Float64() < impatientShare {
				q.patience = time.Duration(random.Int64N(int64(time.Second)))
			}
			q.path += fmt.Sprintf("%x", random.Uint32())
			list = append(list, q)
		}
		c.send(ctx, list, kinds[k].habit != "fresh")
	}
}

// checkDirectly sends requests on changed routes to every instance that is ready.
func (r *run) checkDirectly(ctx context.Context) {
	var wg sync.WaitGroup
	round := 0
	every(ctx, r.options.Direct, func() {
		round++
		for k, m := range r.fleet.all() {
			if !m.isReady.Load() {
				continue
			}
			route := r.operator.checked(round + k)
			if round%8 == 0 {
				route.Prefix = "/never/"
			}
			wg.Go(func() {
				sleep(ctx, time.Duration(rand.Int64N(int64(r.options.Direct))))
				conn, err := dialInstance(r.fleet, m.callers)
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				q := request{method: http.MethodGet, host: route.Host, path: route.Prefix + "check", safe: true, work: checkWork, deadline: 3 * time.Second}
				for _, a := range conn.do([]request{q}, true) {
					r.recorder.attempt(a)
				}
			})
		}
	})
	wg.Wait()
}

// watchLag returns the longest delay of a timer until ctx ends. It records the longer ones as windows.
func (r *run) watchLag(ctx context.Context) time.Duration {
	var longest time.Duration
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(lagEvery)
		late := time.Since(began) - lagEvery
		if late > r.terms.RevertSlack {
			r.recorder.past(Window{What: "starved", Kind: WindowStarved, From: began, To: time.Now()})
		}
		longest = max(longest, late)
	}
	return longest
}

// every calls f at intervals until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
