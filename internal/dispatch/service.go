package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/routing"
	"github.com/damaskcove/damaskcove/internal/exchange"
)

// errAttemptCancelled is the cancellation cause of an attempt that this side cancels before its deadline.
var errAttemptCancelled = errors.New("attempt cancelled")

// service runs the balancer of one service and holds its unfinished calls. mu guards the
// fields below it.
type service struct {
	name     fleet.Service
	settings Settings
	hooks    Hooks

	mu            sync.Mutex
	balancer      *routing.Balancer
	calls         map[uint64]*call
	pools         map[fleet.Endpoint]*connPool
	drainingUntil map[fleet.Endpoint]time.Time
	nextID        uint64
	timer         *time.Timer
	timerAt       time.Time // Zero when the timer is not set.
	closed        bool
}

// call is a caller's request with its attempts.
type call struct {
	ctx      context.Context
	request  exchange.Request
	answer   chan exchange.Answer // Receives exactly one answer.
	answered bool
	attempts []callAttempt
	running  int
}

// callAttempt is one attempt of a call.
type callAttempt struct {
	dispatch routing.Dispatch
	cancel   context.CancelCauseFunc
	answer   exchange.Answer
}

func newService(name fleet.Service, settings Settings, hooks Hooks, random *rand.Rand) *service {
	s := &service{
		name:          name,
		settings:      settings,
		hooks:         hooks,
		balancer:      routing.NewBalancer(routing.Config{}, random),
		calls:         make(map[uint64]*call),
		pools:         make(map[fleet.Endpoint]*connPool),
		drainingUntil: make(map[fleet.Endpoint]time.Time),
	}
	s.timer = time.AfterFunc(time.Hour, s.tick)
	s.timer.Stop()
	return s
}

// execute submits a request to the balancer and waits for its answer.
func (s *service) execute(ctx context.Context, r exchange.Request) exchange.Answer {
	c := &call{ctx: ctx, request: r, answer: make(chan exchange.Answer, 1)}
	id := s.submit(c)
	select {
	case a := <-c.answer:
		return a
	case <-ctx.Done():
	}
	s.cancelCall(id, errors.Is(ctx.Err(), context.DeadlineExceeded))
	return <-c.answer
}

func (s *service) submit(c *call) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.nextID++
	id := s.nextID
	s.calls[id] = c
	s.apply(now, s.balancer.Submit(now, routing.Request{
		ID:         id,
		Account:    c.request.Account,
		Idempotent: c.request.Idempotent,
		Deadline:   c.request.Deadline,
	}))
	return id
}

// cancelCall ends a call whose context has ended. After a timeout the balancer decides the
// result; otherwise the call is cancelled on behalf of its caller.
func (s *service) cancelCall(id uint64, timedOut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if timedOut {
		s.apply(now, s.balancer.Tick(now))
		return
	}
	s.apply(now, s.balancer.Cancel(now, id))
}

func (s *service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timerAt = time.Time{}
	now := time.Now()
	s.apply(now, s.balancer.Tick(now))
}

// setTargets replaces the settings and the endpoints.
func (s *service) setTargets(cfg routing.Config, targets []routing.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.balancer.SetConfig(cfg)
	targets = s.markDraining(now, targets)
	s.setPools(targets)
	s.apply(now, s.balancer.SetTargets(now, targets))
}

// markDraining returns targets with the state "draining" for the endpoints whose recent
// answers said that they are draining.
func (s *service) markDraining(now time.Time, targets []routing.Target) []routing.Target {
	for endpoint, until := range s.drainingUntil {
		if !now.Before(until) {
			delete(s.drainingUntil, endpoint)
		}
	}
	if len(s.drainingUntil) == 0 {
		return targets
	}
	marked := append([]routing.Target(nil), targets...)
	for i := range marked {
		if _, draining := s.drainingUntil[marked[i].Upstream.Endpoint]; draining {
			marked[i].State = routing.StateDraining
		}
	}
	return marked
}

// setPools keeps one connection pool for each target and closes the others.
func (s *service) setPools(targets []routing.Target) {
	listed := make(map[fleet.Endpoint]bool, len(targets))
	for _, t := range targets {
		endpoint := t.Upstream.Endpoint
		listed[endpoint] = true
		pool := s.pools[endpoint]
		if pool == nil {
			pool = &connPool{endpoint: endpoint, settings: s.settings}
			s.pools[endpoint] = pool
		}
		pool.setLimit(max(t.Limit, 0))
	}
	for endpoint, pool := range s.pools {
		if !listed[endpoint] {
			pool.close()
			delete(s.pools, endpoint)
		}
	}
}

// close stops the timer and closes the idle connections.
func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
	for _, pool := range s.pools {
		pool.close()
	}
}
