package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/local"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// drainGrace is the time after which a draining endpoint must receive no more requests.
const drainGrace = 3 * time.Second

// scenario injects the failures into one firm's fleet.
type scenario struct {
	firm     *firm
	monitor  *revisionMonitor
	progress func(format string, values ...any)
	duration time.Duration

	gray             *upstream.Endpoint
	grayAt           time.Time
	grayUntil        time.Time
	draining         *upstream.Endpoint
	drainingAt       time.Time
	drainingReceived uint64                  // Requests that the draining endpoint had received at the end of drainGrace.
	excluded         map[fleet.Endpoint]bool // Endpoints with an injected fault or draining.
	maxActivation    time.Duration           // Longest time until a change was active on every instance.
	stopResult       chan error              // Result of the planned stop.
}

// step is one event of the scenario.
type step struct {
	at          float64 // Fraction of the demo's duration.
	description string
	do          func(ctx context.Context) error
}

func newScenario(f *firm, r *revisionMonitor, duration time.Duration, progress func(string, ...any)) *scenario {
	return &scenario{
		firm: f, monitor: r, progress: progress, duration: duration,
		excluded:   make(map[fleet.Endpoint]bool),
		stopResult: make(chan error, 1),
	}
}

func (s *scenario) steps() []step {
	return []step{
		{0.10, "an endpoint gets a gray fault and still passes its health checks", s.makeGray},
		{0.15, "an operator changes a parameter", s.change("deadline-1", 0.9)},
		{0.25, "an endpoint starts to drain", s.drainEndpoint},
		{0.30, "one direction between two instances is cut", s.cutLink},
		{0.40, "the platform's store becomes unavailable", s.failStore},
		{0.50, "the gray endpoint recovers", s.recoverGray},
		{0.55, "the platform's store is available again; the reply to the next write is lost", s.restoreStore},
		{0.58, "an operator changes a parameter", s.change("deadline-2", 1.0)},
		{0.60, "an instance makes a planned stop", s.plannedStop},
		{0.70, "an instance is killed", s.kill},
		{0.80, "the cut link is restored", s.healLinks},
	}
}

// run runs each step when it is due.
func (s *scenario) run(ctx context.Context) error {
	begin := time.Now()
	for _, next := range s.steps() {
		wait := time.Duration(next.at*float64(s.duration)) - time.Since(begin)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		s.progress("%5.1f s  %s: %s", time.Since(begin).Seconds(), s.firm.name, next.description)
		if err := next.do(ctx); err != nil {
			return fmt.Errorf("firm %s: %s: %w", s.firm.name, next.description, err)
		}
	}
	return nil
}

// waitPlannedStop waits for the planned stop.
func (s *scenario) waitPlannedStop(ctx context.Context) error {
	select {
	case err := <-s.stopResult:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *scenario) makeGray(context.Context) error {
	endpoints := s.firm.fleet.Host.ServiceEndpoints(s.firm.lookup)
	s.gray = endpoints[s.firm.random.IntN(len(endpoints))]
	s.excluded[s.gray.Addr()] = true
	s.grayAt = time.Now()
	return s.gray.SetFaults(s.firm.grayFault)
}

func (s *scenario) recoverGray(context.Context) error {
	s.grayUntil = time.Now()
	return s.gray.SetFaults(upstream.Faults{})
}

// drainEndpoint makes an endpoint of the first order service drain. The platform's list shows
// it with a delay.
func (s *scenario) drainEndpoint(context.Context) error {
	endpoints := s.firm.fleet.Host.ServiceEndpoints(s.firm.orderServices[0])
	s.draining = endpoints[s.firm.random.IntN(len(endpoints))]
	s.excluded[s.draining.Addr()] = true
	s.drainingAt = time.Now()
	s.draining.Drain()
	time.AfterFunc(drainGrace, func() { s.drainingReceived = s.draining.Stats().Received })
	return nil
}

func (s *scenario) cutLink(context.Context) error {
	instances := s.firm.fleet.Instances()
	s.firm.fleet.BlockLink(instances[0].ID, instances[1].ID)
	return nil
}

func (s *scenario) healLinks(context.Context) error {
	s.firm.fleet.UnblockLinks()
	return nil
}

func (s *scenario) failStore(context.Context) error {
	s.firm.fleet.Platform.UpdateFaults(func(f *standin.Faults) { f.Store = standin.OutageRefuse })
	return nil
}

func (s *scenario) restoreStore(context.Context) error {
	s.firm.fleet.Platform.UpdateFaults(func(f *standin.Faults) {
		f.Store = standin.OutageNone
		f.LoseReplies = 1
	})
	return nil
}

// change returns a step that scales the deadline of the first order service and waits until
// the change is active on every instance.
func (s *scenario) change(id string, scale float64) func(context.Context) error {
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		template, ok := s.template(s.firm.orderServices[0])
		if !ok {
			return fmt.Errorf("service %q has no template", s.firm.orderServices[0])
		}
		template.Deadline = time.Duration(float64(template.Deadline) * scale)
		accepted, err := s.firm.fleet.Apply(ctx, rollout.Change{Services: []rollout.ServiceTemplate{template}}, id)
		if err != nil {
			return err
		}
		took, err := s.monitor.waitActive(ctx, accepted.Revision, time.Now())
		s.maxActivation = max(s.maxActivation, took)
		return err
	}
}

func (s *scenario) template(service fleet.Service) (rollout.ServiceTemplate, bool) {
	for _, t := range s.firm.templates.Services {
		if t.Name == service {
			return t, true
		}
	}
	return rollout.ServiceTemplate{}, false
}

// plannedStop starts the planned stop of an instance without a cut link, without waiting for
// its end.
func (s *scenario) plannedStop(context.Context) error {
	in := s.instanceWithoutCut(0)
	s.firm.watch.MarkStopping(in.Node().Self().EntryAddr)
	go func() { s.stopResult <- in.Stop() }()
	return nil
}

func (s *scenario) kill(context.Context) error {
	s.instanceWithoutCut(1).Kill()
	return nil
}

// instanceWithoutCut returns an instance counted from the end of the list; the link between
// the first two is cut.
func (s *scenario) instanceWithoutCut(i int) *local.Instance {
	instances := s.firm.fleet.Instances()
	return instances[len(instances)-1-i]
}
