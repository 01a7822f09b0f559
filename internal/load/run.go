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

// Names of Report.Path.
const (
	pathFleet  = "fleet"
	pathDirect = "direct"
)

// sender sends one request and says how it ended.
type sender interface {
	send(ctx context.Context, n int, id string) outcome
}

// Run sends requests until the duration is over or ctx ends, waits for the answers, and reports.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Validate(); err != nil {
		return Report{}, err
	}
	s, path, err := newSender(o)
	if err != nil {
		return Report{}, err
	}
	g := &generator{options: o, sender: s, recorder: newRecorder(), free: make(chan struct{}, o.Outstanding)}
	g.random = rand.New(rand.NewPCG(o.Seed, o.Seed))
	start := time.Now()
	measured := start.Add(o.Warmup)
	end := measured.Add(o.Duration)
	g.run(ctx, start, measured, end)
	took := min(time.Since(measured), o.Duration)
	g.requests.Wait()
	if took <= 0 {
		return Report{}, fmt.Errorf("stopped during the warm-up: %w", ctx.Err())
	}
	return g.recorder.finish(path, o.Rate, took), nil
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

// generator starts requests at drawn times.
type generator struct {
	options  Options
	sender   sender
	recorder *recorder
	random   *rand.Rand
	free     chan struct{}
	requests conc.WaitGroup
}

func (g *generator) run(ctx context.Context, start, measured, end time.Time) {
	run := strconv.FormatInt(start.UnixNano(), 36)
	due := start
	for n := 0; ; n++ {
		due = due.Add(g.gap())
		if !due.Before(end) || !sleepUntil(ctx, due) {
			return
		}
		counted := !due.Before(measured)
		select {
		case g.free <- struct{}{}:
			g.start(ctx, n, due, counted, run)
		default:
			if counted {
				g.recorder.notSent()
			}
		}
	}
}

// gap draws the time between two starts: exponential, so that starts are a Poisson process.
func (g *generator) gap() time.Duration {
	return time.Duration(g.random.ExpFloat64() / g.options.Rate * float64(time.Second))
}

func (g *generator) start(ctx context.Context, n int, due time.Time, counted bool, run string) {
	g.requests.Go(func() {
		defer func() { <-g.free }()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.options.Timeout)
		defer cancel()
		sent := time.Now()
		o := g.sender.send(ctx, n, fmt.Sprintf("load-%s-%d", run, n))
		o.due, o.sent, o.done = due, sent, time.Now()
		if counted {
			g.recorder.add(o)
		}
	})
}

// sleepUntil returns false when ctx ends first.
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

// mixed reports whether an answer names another request than the one sent.
func mixed(header http.Header, id string) bool {
	got := header.Get(upstream.HeaderRequestID)
	return got != "" && got != id
}
