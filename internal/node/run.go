package node

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/damaskcove/damaskcove/coord/shutdown"
	"github.com/damaskcove/damaskcove/internal/metastore"
)

const (
	listTimeout        = 2 * time.Second
	idleBeforeShutdown = 500 * time.Millisecond
	stopPollInterval   = 20 * time.Millisecond
	// leavePropagationTime is the time in which a leave reaches every instance.
	leavePropagationTime = time.Second
	finalSendDelay       = 200 * time.Millisecond
)

// Run serves until ctx ends, then performs the planned stop. It returns ErrRejoin or
// ErrSuperseded if the instance cannot continue with this incarnation.
func (n *Node) Run(ctx context.Context) error {
	// The components outlive ctx, since a planned stop needs them.
	components, cancelComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelComponents()
	var wait conc.WaitGroup
	wait.Go(func() { n.failOnError(n.links.Run(components)) })
	wait.Go(func() { n.failOnError(n.operator.Run(components)) })
	wait.Go(func() { n.failOnError(n.entry.Run()) })
	wait.Go(func() { n.loop.Run(components) })
	n.start(components)
	n.log.Info("instance started", "incarnation", n.self.Ref.Incarnation, "zone", n.self.Zone,
		"entry", n.self.EntryAddr, "peer", n.self.PeerAddr, "operator", n.OperatorAddr())

	err := n.awaitStop(ctx)
	if errors.Is(err, ErrKilled) {
		n.abandon()
	} else {
		n.stop(err)
	}
	cancelComponents()
	wait.Wait()
	n.log.Info("instance stopped", "incarnation", n.self.Ref.Incarnation, "served", n.entry.Served())
	return err
}

// abandon shuts the callers' server down without waiting for requests in flight.
func (n *Node) abandon() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.entry.Shutdown(ended)
}

// failOnError ends the instance if one of its servers failed.
func (n *Node) failOnError(err error) {
	if err != nil {
		n.fail(err)
	}
}

// awaitStop waits until ctx ends, which requests a planned stop, and returns nil, or until an
// error ends the instance, and returns the error.
func (n *Node) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-n.fatal:
		return err
	}
}

// start starts joining the fleet. The platform's instance list serves as a hint; it may be
// missing.
func (n *Node) start(ctx context.Context) {
	l, err := n.readList(ctx)
	if err != nil {
		n.log.Warn("initial read of the instance list failed; joining without it", "error", err.Error())
	}
	n.loop.Post(func(now time.Time) {
		n.members.Start(now, l.Instances)
		n.config.Start(now, l.Instances)
	})
}

func (n *Node) readList(ctx context.Context) (metastore.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return n.opts.List.Read(ctx)
}

// applyListing runs on the control goroutine.
func (n *Node) applyListing(now time.Time, l *metastore.Listing) {
	n.members.InstancesListed(now, l.Instances)
	n.endpoints.SetListing(now, *l)
}

// stop performs the planned stop: discovery stops returning the instance, it serves until
// callers' discovery answers have expired, hands its keys over, finishes the requests in
// flight and leaves the fleet. With a cause, such as removal from the roster, it skips the
// wait and the leave, since discovery stopped returning the instance long before.
func (n *Node) stop(cause error) {
	n.stopping.Store(true)
	n.log.Info("planned stop started", "incarnation", n.self.Ref.Incarnation, "in_flight", n.entry.InFlight())
	plan := shutdown.NewPlan(shutdown.Requested{After: n.opts.NoStopBefore(), By: time.Now()}, n.stopPromises())
	n.plan.Store(&plan)
	ctx, cancel := context.WithDeadline(context.Background(), plan.End)
	defer cancel()
	if cause == nil {
		n.onLoop(ctx, n.members.Leave)
	}
	n.entry.Drain()
	if cause == nil {
		n.awaitDiscoveryExpiry(ctx)
	}
	n.logStop("hand over keys", n.claims.Stop(ctx))
	n.awaitIdle(ctx)
	n.logStop("answer callers", n.entry.Shutdown(ctx))
	n.logStop("finish upstream requests", n.dispatcher.Drain(ctx))
	if cause == nil {
		n.onLoop(ctx, n.members.Stop)
	}
	n.links.Flush(ctx)
	time.Sleep(finalSendDelay)
}

// stopPromises returns what callers and the platform rely on in a planned stop.
func (n *Node) stopPromises() shutdown.Promises {
	s := n.opts.Settings
	return shutdown.Promises{StopWithin: s.Stop.Timeout, DiscoveryTTL: s.Fleet.DiscoveryMaxAge}
}

// mayStart reports whether a request with a deadline may start: it ends before a planned stop does.
func (n *Node) mayStart(now, deadline time.Time) bool {
	if plan := n.plan.Load(); plan != nil {
		return plan.Admits(now, deadline)
	}
	return shutdown.AdmitsUnaware(n.opts.NoStopBefore(), now, deadline, n.stopPromises())
}

func (n *Node) logStop(step string, err error) {
	if err != nil {
		n.log.Warn("planned stop step failed; continuing", "step", step, "error", err.Error())
		return
	}
	n.log.Info("planned stop step done", "step", step)
}

// onLoop runs f on the control goroutine and waits for it.
func (n *Node) onLoop(ctx context.Context, f func(now time.Time)) {
	done := make(chan struct{})
	if !n.loop.Post(func(now time.Time) { f(now); close(done) }) {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// awaitDiscoveryExpiry waits until every discovery answer that may name this instance has
// expired. Other instances may name it until they learn that it leaves.
func (n *Node) awaitDiscoveryExpiry(ctx context.Context) {
	age := n.opts.Settings.Fleet.DiscoveryMaxAge + leavePropagationTime
	select {
	case <-ctx.Done():
	case <-time.After(age):
	}
}

// awaitIdle waits until no request has arrived for idleBeforeShutdown and no relayed call runs.
func (n *Node) awaitIdle(ctx context.Context) {
	for n.entry.IdleTime() < idleBeforeShutdown || n.calls.Running() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(stopPollInterval):
		}
	}
}
