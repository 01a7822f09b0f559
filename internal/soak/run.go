package soak

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
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
	Only      []int         // Numbers of the drawn faults that are played; all if nil.
	Rate      float64       // Requests per second, of all callers.
	Direct    time.Duration // Interval of the direct checks of each instance.
	Long      float64       // Share of the requests that take as long as their kind ever does.
	Stale     float64       // Share of the callers that get no new addresses after the first.
	Load      int           // Busy processes beside the instances.
	Cores     int           // Cores for the instances and the busy processes; 0 for all.
	Accounts  int           // Client accounts in the configuration; 0 for none, or for a few in a run whose faults change them.
	MemoryMB  int           // Memory that an instance may use, in MB; 0 for any.

	RevokeWithin time.Duration // Of the instances' settings; 0 for none.

	Descriptors int      // Descriptors that an instance may open; 0 for any number.
	Busy        []string // Command of a busy process.
}

// BusyCommand is the argument that makes a program run Burn.
const BusyCommand = "busy"

// Bounds of Options.
const (
	// MinNetwork and MaxNetwork bound the second octet of the addresses; the first ones are in use by the system.
	MinNetwork, MaxNetwork = 2, 254
	// MinDuration leaves room for the faults and for what follows the last one.
	MinDuration = quietStart + quietEnd + time.Second

	maxInstances = 250 // Their addresses differ in the last octet.
)

// DefaultOptions returns the options of a usual run.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Instances: 12, Duration: 45 * time.Second, Network: 77, Relay: true, Loss: 0.001, Rate: 120,
		Direct: time.Second, Long: 0.05, Stale: 0.3,
	}
}

// Check returns an error that names the option that is not valid.
func (o Options) Check() error {
	switch {
	case o.Instances < 1 || o.Instances > maxInstances:
		return fmt.Errorf("%d processes; there must be 1 to %d", o.Instances, maxInstances)
	case o.Duration < MinDuration:
		return fmt.Errorf("a duration of %s; it must be at least %s", o.Duration, MinDuration)
	case o.Rate <= 0:
		return fmt.Errorf("a rate of %g requests a second; it must be positive", o.Rate)
	case o.Direct <= 0:
		return fmt.Errorf("an interval of %s between direct checks; it must be positive", o.Direct)
	case o.Accounts < 0 || o.RevokeWithin < 0:
		return fmt.Errorf("%d accounts, and keys that are revoked within %s; neither may be negative", o.Accounts, o.RevokeWithin)
	case o.MemoryMB < 0 || o.Descriptors < 0:
		return fmt.Errorf("limits of %d MB and %d descriptors; neither may be negative", o.MemoryMB, o.Descriptors)
	case o.Load < 0 || o.Cores < 0:
		return fmt.Errorf("%d busy processes on %d cores; neither may be negative", o.Load, o.Cores)
	}
	for name, share := range map[string]float64{"long requests": o.Long, "callers without new addresses": o.Stale, "lost datagrams": o.Loss} {
		if share < 0 || share > 1 {
			return fmt.Errorf("a share of %g of %s; it must be 0 to 1", share, name)
		}
	}
	_, err := pool(o.Faults)
	return err
}

const (
	leadTime    = 8 * time.Second // From the instances' start to the traffic.
	startSpread = 300 * time.Millisecond
	spareNumber = 60
	maxMachines = 48
	callersZone = 40 // Callers in each zone.
	pollEvery   = time.Second
	lagEvery    = 20 * time.Millisecond
	fewAccounts = 6
	checkWork   = 2 * time.Millisecond

	burstFactor    = 1.7
	impatientShare = 0.2
	largeBody      = 2 << 20 // Bytes.
	largeShare     = 0.1
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
	large     atomic.Bool // Some bodies are largeBody long.

	uploads    atomic.Int32 // Faults for which some bodies are up to unboundBody long.
	slowBodies atomic.Bool  // Some bodies take a while to be sent.
	storeBusy  sync.Mutex
	spares     sync.Mutex
	added      [3]bool

	mu        sync.Mutex
	upstreams []*upstream
	created   int
	saved     []savedStore // Copies of the store, oldest first.
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

// plays reports whether the drawn fault of a number is played.
func (o Options) plays(k int) bool { return o.Only == nil || slices.Contains(o.Only, k) }

// Play plays a run and judges it. An error means that it could not be played as intended.
func Play(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return nil, fmt.Errorf("create the run's folder: %w", err)
	}
	random := rand.New(rand.NewPCG(o.Seed, 1))
	plan, err := schedule(o, random)
	if err != nil {
		return nil, err
	}
	if o.Accounts == 0 && slices.ContainsFunc(plan, func(s scheduled) bool { return s.fault.name == faultKeysMove }) {
		o.Accounts = fewAccounts
	}
	accounts := newAccountBook(o.Accounts, rand.New(rand.NewPCG(o.Seed, 6)))
	rec := newRecorder()
	r := &run{options: o, terms: DefaultTerms(), recorder: rec, fleet: newFleet(o, rec, accounts.mark)}
	r.terms.MemoryBytes, r.terms.RevokeWithin = int64(o.MemoryMB)<<20, o.RevokeWithin
	r.operator = newOperator(r.fleet.store, rec, rand.New(rand.NewPCG(o.Seed, 2)), accounts)
	lag := r.play(ctx, plan, random)
	r.check(r.fleet.end())
	r.check(r.readLogs())
	for _, u := range r.liveUpstreams() {
		u.end()
	}
	records, timeline := rec.finish()
	report := &Report{Seed: o.Seed, Findings: Judge(r.terms, records), Records: records, Timeline: timeline, Lag: lag}
	for k, s := range plan {
		report.Faults = append(report.Faults, s.fault.name)
		if o.plays(k) {
			report.Played = append(report.Played, k)
		}
	}
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
	wg.Go(func() { every(lasting, pollEvery, r.poll) })
	wg.Go(func() { every(lasting, saveEvery, r.saveStore) })
	if r.options.Accounts > 0 {
		wg.Go(func() { every(lasting, metricsEvery, r.searchMetrics) })
	}
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
	for k, s := range plan {
		if !r.options.plays(k) {
			continue
		}
		wg.Go(func() {
			sleep(lasting, time.Until(began.Add(s.at)))
			if lasting.Err() != nil {
				return
			}
			r.recorder.printf("fault %d:%s", k, s.fault.name)
			r.check(s.fault.play(r, rand.New(rand.NewPCG(s.seed, 5))))
		})
	}
	<-lasting.Done()
	r.ended.Store(true)
	wg.Wait()
	if r.options.Accounts > 0 {
		r.searchMetrics()
	}
	for _, m := range r.fleet.all() {
		if r.options.Relay && m.rewritten.Load() == 0 {
			r.check(fmt.Errorf("the relay is not in use: %s registered no address that it could replace", m.name))
		}
	}
	return lag
}

// readLogs adds the instances' logs to the records.
func (r *run) readLogs() error {
	for _, m := range r.fleet.all() {
		data, err := os.ReadFile(m.log.Name())
		if err != nil {
			return fmt.Errorf("read the log of %s: %w", m.name, err)
		}
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		r.recorder.logs(m.name, lines)
		for _, line := range lines {
			if r.fleet.mark.in([]byte(line)) {
				r.recorder.leak(Leak{Place: LeakLog, Machine: m.name, Text: line})
			}
		}
	}
	return nil
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
	return r.startIncarnation(id, id, service, zone, addr)
}

// startAgain starts an upstream that has ended again, under its id and address.
func (r *run) startAgain(u *upstream) (*upstream, error) {
	r.mu.Lock()
	r.created++
	name := fmt.Sprintf("%s-again-%d", u.id, r.created)
	r.mu.Unlock()
	return r.startIncarnation(u.id, name, u.service, u.zone, u.addr)
}

// startIncarnation starts an upstream and registers it.
func (r *run) startIncarnation(id, name, service, zone, addr string) (*upstream, error) {
	u, err := startUpstream(r.fleet.store, r.recorder, r.fleet.mark, id, name, service, zone, addr)
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
	c.stale = random.Float64() < r.options.Stale
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
			if random.Float64() < r.options.Long {
				work = float64(kinds[k].longest)
			}
			q.work = min(time.Duration(work), kinds[k].longest)
			if r.impatient.Load() && random.Float64() < impatientShare {
				q.patience = time.Duration(random.Int64N(int64(time.Second)))
			}
			if q.body > 0 && r.large.Load() && random.Float64() < largeShare {
				q.body = largeBody
			}
			if q.body > 0 && r.slowBodies.Load() && random.Float64() < largeShare {
				q.sendTime = time.Duration(random.Int64N(int64(q.deadline) / 2))
			}
			if q.body > 0 && r.uploads.Load() > 0 && random.Float64() < uploadShare {
				q.body, q.upload, q.sendTime = uploadSizes[random.IntN(len(uploadSizes))], true, 0
			}
			q.path += fmt.Sprintf("%x", random.Uint32())
			q.own = kinds[k].habit == "fresh"
			r.operator.authorize(&q, random)
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
				q := request{method: http.MethodGet, host: route.Host, path: route.Prefix + "check", safe: true, work: checkWork, deadline: 3 * time.Second, own: true}
				r.operator.authorize(&q, rand.New(rand.NewPCG(rand.Uint64(), 7)))
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
