package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/damaskcove/damaskcove/internal/upstream"
)

// MinDuration is the shortest demo that has room for its steps.
const MinDuration = 15 * time.Second

// readyTimeout bounds the start of the fleets.
const readyTimeout = time.Minute

// settleTimeout bounds the wait for what is under way at the end.
const settleTimeout = 30 * time.Second

// ErrDuration says that the demo was asked to be too short.
var ErrDuration = errors.New("duration too short")

// Options are the parameters of the demo.
type Options struct {
	Duration time.Duration
	Seed     uint64
	Progress io.Writer    // Lines about what happens.
	Log      *slog.Logger // Of the instances.
}

// run is one demo under way.
type run struct {
	opts   Options
	begin  time.Time
	end    time.Time
	firms  []*firm
	ledger *ledger
	scenes []*scenario
	looks  []*revisions

	mu sync.Mutex
}

// Run runs the demo and returns what it counted.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Duration < MinDuration {
		return Report{}, fmt.Errorf("%w: %s, at least %s", ErrDuration, o.Duration, MinDuration)
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	r := &run{opts: o, ledger: &ledger{}}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return Report{}, err
	}
	report := Report{Seed: o.Seed, DetectionMS: make(map[string]float64)}
	if err := r.compare(ctx, &report); err != nil {
		return Report{}, err
	}
	if err := r.play(ctx); err != nil {
		return Report{}, err
	}
	r.count(&report)
	return report, nil
}

func (r *run) progress(format string, values ...any) {
	if r.opts.Progress == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.opts.Progress, format+"\n", values...)
}

// start runs the fleets of all firms until they are ready.
func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, p := range plans {
		f, err := startFirm(ctx, p, r.opts.Seed+uint64(i), r.opts.Log)
		if f != nil {
			r.firms = append(r.firms, f)
		}
		if err != nil {
			return err
		}
		r.progress("ready   %s: %d instances in %d availability zones, %d endpoints",
			f.name, instancesPerFirm, len(f.zones), len(f.fleet.Host.Endpoints()))
	}
	return nil
}

func (r *run) close() {
	for _, f := range r.firms {
		if f.fleet != nil {
			_ = f.fleet.Close()
		}
	}
}

// compare measures what the fleet adds to a lookup, before any fault.
func (r *run) compare(ctx context.Context, report *Report) error {
	for _, f := range r.firms {
		p50, p99, err := added(ctx, f)
		if err != nil {
			return err
		}
		report.AddedMSP50 = max(report.AddedMSP50, p50)
		report.AddedMSP99 = max(report.AddedMSP99, p99)
	}
	return nil
}

// play runs callers and scenarios until the duration is over and everything is answered.
func (r *run) play(ctx context.Context) error {
	r.begin = time.Now()
	callers, stopCallers := context.WithTimeout(ctx, r.opts.Duration)
	defer stopCallers()
	watchers, stopWatchers := context.WithCancel(ctx)
	defer stopWatchers()
	background := pool.New()
	traffic := pool.New()
	events := pool.New().WithErrors()
	for i, f := range r.firms {
		look := newRevisions(f)
		scene := newScenario(f, look, r.opts.Duration, r.progress)
		r.looks = append(r.looks, look)
		r.scenes = append(r.scenes, scene)
		background.Go(func() { look.run(watchers) })
		for j, s := range r.streams(f) {
			s.random = rand.New(rand.NewPCG(r.opts.Seed, uint64(1000*(i+1)+j)))
			traffic.Go(func() { s.run(callers) })
		}
		events.Go(func() error { return scene.run(ctx) })
	}
	err := events.Wait()
	traffic.Wait()
	r.end = time.Now()
	settle, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err == nil {
		err = r.finish(settle)
	}
	stopWatchers()
	background.Wait()
	return err
}

func (r *run) finish(ctx context.Context) error {
	for _, s := range r.scenes {
		if err := s.finish(ctx); err != nil {
			return err
		}
	}
	return nil
}

// streams returns the requests of a firm's callers.
func (r *run) streams(f *firm) []*stream {
	streams := []*stream{{firm: f, service: f.lookup, rate: f.lookupsPerS, ledger: r.ledger}}
	for _, s := range f.orderService {
		streams = append(streams, &stream{firm: f, service: s, order: true, rate: f.ordersPerS, ledger: r.ledger})
	}
	return streams
}

// count fills the report from what callers were told and upstreams recorded.
func (r *run) count(report *Report) {
	report.Seconds = time.Since(r.begin).Seconds()
	report.MixedAnswers = r.ledger.mixed
	for i, f := range r.firms {
		r.countRequests(report, f)
		r.countService(report, f, r.scenes[i])
		report.CutOffByStop += f.watch.Count()
		report.ConfigReverts += r.looks[i].counted()
		report.ConfigInForceMS = max(report.ConfigInForceMS, milliseconds(r.scenes[i].inForce))
		report.StoreCalls += f.fleet.Platform.Counts().Total
	}
}

func (r *run) countRequests(report *Report, f *firm) {
	recorder := f.fleet.Host.Recorder()
	audit := recorder.Audit(r.beliefsOf(f))
	report.Requests += audit.Requests
	report.Answered += audit.Answered
	report.RefusedNotRun += audit.NotRun
	report.Unknown += audit.Unknown
	report.Lost += audit.Lost
	report.Doubled += audit.Duplicated
	report.FalseNotRun += audit.FalseNotRun
	report.Broken = append(report.Broken, audit.Violations...)
	report.UpstreamStarts += recorder.Summary().Starts
}

// beliefsOf returns the beliefs of one firm's callers, whose IDs begin with its name.
func (r *run) beliefsOf(f *firm) []upstream.CallerResult {
	var own []upstream.CallerResult
	for _, b := range r.ledger.beliefs {
		if strings.HasPrefix(b.ID, string(f.name)) {
			own = append(own, b)
		}
	}
	return own
}

func (r *run) countService(report *Report, f *firm, s *scenario) {
	took, out := detection(f.fleet.Host.ServiceEndpoints(f.lookup), s.gray, s.grayAt, s.grayUntil)
	report.DetectionMS[string(f.name)] = -1
	if out {
		report.DetectionMS[string(f.name)] = milliseconds(took)
	}
	report.WorkToLeaving += int(s.leaving.Stats().Received - s.leavingCount)
	for _, t := range f.templates.Services {
		found := examine(f.fleet.Host.ServiceEndpoints(t.Name), s.faulty, t.FloorSlots, r.begin, r.end)
		report.FloorBreaches += found.breaches
		report.FalseEjections += len(found.endpoints)
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
