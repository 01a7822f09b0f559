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

// leavingGrace is the time after which a leaving endpoint must get no new work.
const leavingGrace = 3 * time.Second

// scenario injects the failures into one firm's fleet.
type scenario struct {
	firm      *firm
	revisions *revisions
	progress  func(format string, values ...any)
	length    time.Duration

	gray         *upstream.Endpoint
	grayAt       time.Time
	grayUntil    time.Time
	leaving      *upstream.Endpoint
	leavingAt    time.Time
	leavingCount uint64 // Requests that the leaving endpoint had received after the grace.
	faulty       map[fleet.Endpoint]bool
	inForce      time.Duration // Longest.
	stopped      chan error
}

// step is one event at a share of the demo's length.
type step struct {
	at   float64
	what string
	do   func(ctx context.Context) error
}

func newScenario(f *firm, r *revisions, length time.Duration, progress func(string, ...any)) *scenario {
	return &scenario{
		firm: f, revisions: r, progress: progress, length: length,
		faulty:  make(map[fleet.Endpoint]bool),
		stopped: make(chan error, 1),
	}
}

func (s *scenario) steps() []step {
	return []step{
		{0.10, "an endpoint turns gray and still passes its probes", s.turnGray},
		{0.15, "an operator changes a parameter", s.change("deadline-1", 0.9)},
		{0.25, "an endpoint starts to leave", s.leave},
		{0.30, "one direction between two instances is cut", s.cut},
		{0.40, "the platform's store goes away", s.storeAway},
		{0.50, "the gray endpoint recovers", s.recover},
		{0.55, "the platform's store comes back; the reply to the next write is lost", s.storeBack},
		{0.58, "an operator changes a parameter", s.change("deadline-2", 1.0)},
		{0.60, "an instance makes a planned stop", s.plannedStop},
		{0.70, "an instance is killed", s.kill},
		{0.80, "the cut heals", s.heal},
	}
}

// run makes each step when it is due.
func (s *scenario) run(ctx context.Context) error {
	begin := time.Now()
	for _, next := range s.steps() {
		wait := time.Duration(next.at*float64(s.length)) - time.Since(begin)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		s.progress("%5.1f s  %s: %s", time.Since(begin).Seconds(), s.firm.name, next.what)
		if err := next.do(ctx); err != nil {
			return fmt.Errorf("firm %s: %s: %w", s.firm.name, next.what, err)
		}
	}
	return nil
}

// finish waits for the planned stop.
func (s *scenario) finish(ctx context.Context) error {
	select {
	case err := <-s.stopped:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *scenario) turnGray(context.Context) error {
	endpoints := s.firm.fleet.Host.ServiceEndpoints(s.firm.lookup)
	s.gray = endpoints[s.firm.random.IntN(len(endpoints))]
	s.faulty[s.gray.Addr()] = true
	s.grayAt = time.Now()
	return s.gray.SetFaults(s.firm.grayFault)
}

func (s *scenario) recover(context.Context) error {
	s.grayUntil = time.Now()
	return s.gray.SetFaults(upstream.Faults{})
}

// leave makes an endpoint of the first order service drain, as the platform's list says later.
func (s *scenario) leave(context.Context) error {
	endpoints := s.firm.fleet.Host.ServiceEndpoints(s.firm.orderService[0])
	s.leaving = endpoints[s.firm.random.IntN(len(endpoints))]
	s.faulty[s.leaving.Addr()] = true
	s.leavingAt = time.Now()
	s.leaving.Drain()
	time.AfterFunc(leavingGrace, func() { s.leavingCount = s.leaving.Stats().Received })
	return nil
}

func (s *scenario) cut(context.Context) error {
	instances := s.firm.fleet.Instances()
	s.firm.fleet.BlockLink(instances[0].ID, instances[1].ID)
	return nil
}

func (s *scenario) heal(context.Context) error {
	s.firm.fleet.UnblockLinks()
	return nil
}

func (s *scenario) storeAway(context.Context) error {
	s.firm.fleet.Platform.UpdateFaults(func(f *standin.Faults) { f.Store = standin.OutageRefuse })
	return nil
}

func (s *scenario) storeBack(context.Context) error {
	s.firm.fleet.Platform.UpdateFaults(func(f *standin.Faults) {
		f.Store = standin.OutageNone
		f.LoseReplies = 1
	})
	return nil
}

// change returns a step that scales the deadline of the order services' first one and
// waits until the change is in force everywhere.
func (s *scenario) change(id string, scale float64) func(context.Context) error {
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		template, ok := s.template(s.firm.orderService[0])
		if !ok {
			return fmt.Errorf("service %q has no template", s.firm.orderService[0])
		}
		template.Deadline = time.Duration(float64(template.Deadline) * scale)
		accepted, err := s.firm.fleet.Apply(ctx, rollout.Change{Services: []rollout.ServiceTemplate{template}}, id)
		if err != nil {
			return err
		}
		took, err := s.revisions.await(ctx, accepted.Revision, time.Now())
		s.inForce = max(s.inForce, took)
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

// plannedStop stops one of the instances that have no cut, without waiting for it.
func (s *scenario) plannedStop(context.Context) error {
	in := s.uncut(0)
	s.firm.watch.MarkStopping(in.Node().Self().EntryAddr)
	go func() { s.stopped <- in.Stop() }()
	return nil
}

func (s *scenario) kill(context.Context) error {
	s.uncut(1).Kill()
	return nil
}

// uncut returns one of the later instances; the first two have the cut between them.
func (s *scenario) uncut(i int) *local.Instance {
	instances := s.firm.fleet.Instances()
	return instances[len(instances)-1-i]
}
