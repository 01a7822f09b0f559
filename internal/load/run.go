package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// Values of Report.Path.
const (
	pathFleet  = "fleet"
	pathDirect = "direct"
)

// sender sends the n-th request with the given ID and returns its outcome. It leaves the times
// of the outcome to the generator.
type sender interface {
	send(ctx context.Context, n int, id string) outcome
}

// Run sends requests until the duration is over or ctx ends, waits for the answers and returns
// the report.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Validate(); err != nil {
		return Report{}, err
	}
	s, path, err := newSender(o)
	if err != nil {
		return Report{}, err
	}
	g := &generator{options: o, sender: s, recorder: newRecorder(), inFlight: make(chan struct{}, o.Outstanding)}
	g.random = rand.New(rand.NewPCG(o.Seed, o.Seed))
	start := time.Now()
	warmupEnd := start.Add(o.Warmup)
	end := warmupEnd.Add(o.Duration)
	g.run(ctx, start, warmupEnd, end)
	duration := min(time.Since(warmupEnd), o.Duration)
	g.requests.Wait()
	if duration <= 0 {
		return Report{}, fmt.Errorf("stopped during the warm-up: %w", ctx.Err())
	}
	return g.recorder.finish(path, o.Rate, duration), nil
}

func newSender(o Options) (sender, string, error) {
	shared := client.NewHTTP()
	if len(o.Direct) > 0 {
		return &directSender{options: o, http: shared, body: make([]byte, o.Body)}, pathDirect, nil
	}
	s := &fleetSender{options: o, body: make([]byte, o.Body)}
	for i, account := range o.Accounts {
		c, err := client.New(client.Options{
			Entries: o.Entries,
			Account: account,
			Zone:    o.Zone,
			HTTP:    shared,
			Random:  rand.New(rand.NewPCG(o.Seed, uint64(i))),
		})
		if err != nil {
			return nil, "", err
		}
		s.clients = append(s.clients, c)
	}
	return s, pathFleet, nil
}

// generator starts requests on a random schedule.
type generator struct {
	options  Options
	sender   sender
	recorder *recorder
	random   *rand.Rand
	inFlight chan struct{} // Holds an element for each running request.
	requests conc.WaitGroup
}

func (g *generator) run(ctx context.Context, start, warmupEnd, end time.Time) {
	runID := strconv.FormatInt(start.UnixNano(), 36)
	scheduled := start
	for n := 0; ; n++ {
		scheduled = scheduled.Add(g.nextInterval())
		if !scheduled.Before(end) || !sleepUntil(ctx, scheduled) {
			return
		}
		counted := !scheduled.Before(warmupEnd)
		select {
		case g.inFlight <- struct{}{}:
			g.start(ctx, n, scheduled, counted, runID)
		default:
			if counted {
				g.recorder.notSent()
			}
		}
	}
}

// nextInterval returns a random time between two starts. It is exponentially distributed, so that
// starts form a Poisson process.
func (g *generator) nextInterval() time.Duration {
	return time.Duration(g.random.ExpFloat64() / g.options.Rate * float64(time.Second))
}

func (g *generator) start(ctx context.Context, n int, scheduled time.Time, counted bool, runID string) {
	g.requests.Go(func() {
		defer func() { <-g.inFlight }()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.options.Timeout)
		defer cancel()
		sent := time.Now()
		o := g.sender.send(ctx, n, fmt.Sprintf("load-%s-%d", runID, n))
		o.scheduled, o.sent, o.done = scheduled, sent, time.Now()
		if counted {
			g.recorder.add(o)
		}
	})
}

// sleepUntil sleeps until t and returns false if ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// mixed reports whether an answer has the ID of another request than the one sent.
func mixed(header http.Header, id string) bool {
	got := header.Get(upstream.HeaderRequestID)
	return got != "" && got != id
}
