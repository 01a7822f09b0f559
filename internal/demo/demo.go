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

// MinDuration is the shortest duration in which all steps of the scenario fit.
const MinDuration = 15 * time.Second

// readyTimeout bounds the start of the fleets.
const readyTimeout = time.Minute

// settleTimeout bounds the wait for planned stops still running when the traffic has ended.
const settleTimeout = 30 * time.Second

// ErrDuration means that the requested duration is under MinDuration.
var ErrDuration = errors.New("duration too short")

// Options are the parameters of the demo.
type Options struct {
	Duration time.Duration
	Seed     uint64
	Progress io.Writer    // Receives a line for each step; nil discards them.
	Log      *slog.Logger // Log of the instances; nil discards it.
}

// run is the state of one running demo.
type run struct {
	opts      Options
	begin     time.Time
	end       time.Time
	firms     []*firm
	resultLog *resultLog
	scenarios []*scenario
	monitors  []*revisionMonitor

	mu sync.Mutex
}

// Run runs the demo and returns its report.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Duration < MinDuration {
		return Report{}, fmt.Errorf("%w: %s, at least %s", ErrDuration, o.Duration, MinDuration)
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	r := &run{opts: o, resultLog: &resultLog{}}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return Report{}, err
	}
	report := Report{Seed: o.Seed, DetectionMS: make(map[string]float64)}
	if err := r.measureAdded(ctx, &report); err != nil {
		return Report{}, err
	}
	if err := r.runTraffic(ctx); err != nil {
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

// start starts the fleets of all firms and waits until they are ready.
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

// measureAdded measures the latency that the fleet adds to a lookup, before any fault.
func (r *run) measureAdded(ctx context.Context, report *Report) error {
	for _, f := range r.firms {
		p50, p99, err := addedLatency(ctx, f)
		if err != nil {
			return err
		}
		report.AddedMSP50 = max(report.AddedMSP50, p50)
		report.AddedMSP99 = max(report.AddedMSP99, p99)
	}
	return nil
}

// runTraffic runs callers and scenarios until the duration is over and every request has
// ended.
func (r *run) runTraffic(ctx context.Context) error {
	r.begin = time.Now()
	callersCtx, stopCallers := context.WithTimeout(ctx, r.opts.Duration)
	defer stopCallers()
	monitorCtx, stopMonitors := context.WithCancel(ctx)
	defer stopMonitors()
	background := pool.New()
	traffic := pool.New()
	events := pool.New().WithErrors()
	for i, f := range r.firms {
		monitor := newRevisionMonitor(f)
		scenario := newScenario(f, monitor, r.opts.Duration, r.progress)
		r.monitors = append(r.monitors, monitor)
		r.scenarios = append(r.scenarios, scenario)
		background.Go(func() { monitor.run(monitorCtx) })
		for j, s := range r.streams(f) {
			s.random = rand.New(rand.NewPCG(r.opts.Seed, uint64(1000*(i+1)+j)))
			traffic.Go(func() { s.run(callersCtx) })
		}
		events.Go(func() error { return scenario.run(ctx) })
	}
	err := events.Wait()
	traffic.Wait()
	r.end = time.Now()
	settleCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err == nil {
		err = r.waitPlannedStops(settleCtx)
	}
	stopMonitors()
	background.Wait()
	return err
}

// waitPlannedStops waits for the planned stops of all firms.
func (r *run) waitPlannedStops(ctx context.Context) error {
	for _, s := range r.scenarios {
		if err := s.waitPlannedStop(ctx); err != nil {
			return err
		}
	}
	return nil
}

// streams returns the request streams of a firm's callers.
func (r *run) streams(f *firm) []*stream {
	streams := []*stream{{firm: f, service: f.lookup, rate: f.lookupsPerSecond, resultLog: r.resultLog}}
	for _, s := range f.orderServices {
		streams = append(streams, &stream{firm: f, service: s, nonIdempotent: true, rate: f.ordersPerSecond, resultLog: r.resultLog})
	}
	return streams
}

// count fills the report from the outcomes that callers received and the records of the
// upstreams.
func (r *run) count(report *Report) {
	report.Seconds = time.Since(r.begin).Seconds()
	report.MixedAnswers = r.resultLog.mixed
	for i, f := range r.firms {
		r.countRequests(report, f)
		r.countService(report, f, r.scenarios[i])
		report.CutOffByStop += f.watch.Count()
		report.ConfigReverts += r.monitors[i].revertCount()
		report.ConfigActiveMS = max(report.ConfigActiveMS, milliseconds(r.scenarios[i].maxActivation))
		report.StoreCalls += f.fleet.Platform.Counts().Total
	}
}

func (r *run) countRequests(report *Report, f *firm) {
	recorder := f.fleet.Host.Recorder()
	audit := recorder.Audit(r.resultsOf(f))
	report.Requests += audit.Requests
	report.Answered += audit.Answered
	report.RefusedNotRun += audit.NotRun
	report.Unknown += audit.Unknown
	report.Lost += audit.Lost
	report.Duplicated += audit.Duplicated
	report.FalseNotRun += audit.FalseNotRun
	report.Violations = append(report.Violations, audit.Violations...)
	report.UpstreamStarts += recorder.Summary().Starts
}

// resultsOf returns the results of one firm's callers, whose request IDs begin with its name.
func (r *run) resultsOf(f *firm) []upstream.CallerResult {
	var results []upstream.CallerResult
	for _, result := range r.resultLog.results {
		if strings.HasPrefix(result.ID, string(f.name)) {
			results = append(results, result)
		}
	}
	return results
}

func (r *run) countService(report *Report, f *firm, s *scenario) {
	took, detected := detection(f.fleet.Host.ServiceEndpoints(f.lookup), s.gray, s.grayAt, s.grayUntil)
	report.DetectionMS[string(f.name)] = -1
	if detected {
		report.DetectionMS[string(f.name)] = milliseconds(took)
	}
	report.WorkToDraining += int(s.draining.Stats().Received - s.drainingReceived)
	for _, t := range f.templates.Services {
		findings := examineWindows(f.fleet.Host.ServiceEndpoints(t.Name), s.excluded, t.FloorSlots, r.begin, r.end)
		report.FloorViolations += findings.floorViolations
		report.FalseEjections += len(findings.endpoints)
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
