package node

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/damaskcove/damaskcove/internal/metastore"
)

// Times of an instance's life.
const (
	listTimeout    = 2 * time.Second
	quietBeforeEnd = 500 * time.Millisecond
	stopPoll       = 20 * time.Millisecond
	// announceTime is the time in which every instance hears that one leaves.
	announceTime = time.Second
	goneGrace    = 200 * time.Millisecond
)

// Run serves until ctx ends, then makes the planned stop. It returns ErrRejoin or
// ErrSuperseded when the instance cannot go on as this life.
func (n *Node) Run(ctx context.Context) error {
	// The parts outlive ctx, since a planned stop needs them.
	parts, endParts := context.WithCancel(context.WithoutCancel(ctx))
	defer endParts()
	var wait conc.WaitGroup
	wait.Go(func() { n.part(n.links.Run(parts)) })
	wait.Go(func() { n.part(n.operator.Run(parts)) })
	wait.Go(func() { n.part(n.entry.Run()) })
	wait.Go(func() { n.loop.Run(parts) })
	n.start(parts)
	n.log.Info("instance started", "incarnation", n.self.Ref.Incarnation, "zone", n.self.Zone,
		"entry", n.self.EntryAddr, "peer", n.self.PeerAddr, "operator", n.OperatorAddr())

	err := n.await(ctx)
	if errors.Is(err, ErrKilled) {
		n.abandon()
	} else {
		n.stop(err)
	}
	endParts()
	wait.Wait()
	n.log.Info("instance stopped", "incarnation", n.self.Ref.Incarnation, "served", n.entry.Served())
	return err
}

// abandon gives up the callers' side without waiting for anybody.
func (n *Node) abandon() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.entry.Shutdown(ended)
}

// part ends the instance when one of its servers fails.
func (n *Node) part(err error) {
	if err != nil {
		n.fail(err)
	}
}

// await returns nil when a planned stop is asked for, or what ended the instance.
func (n *Node) await(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-n.fatal:
		return err
	}
}

// start reads the platform's list once, as a hint for joining, and begins to join.
func (n *Node) start(ctx context.Context) {
	l, err := n.readList(ctx)
	if err != nil {
		n.log.Warn("instance list not read at start", "error", err.Error())
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

// takeListing runs on the control goroutine.
func (n *Node) takeListing(now time.Time, l *metastore.Listing) {
	n.members.Listed(now, l.Instances)
	n.endpoints.SetListing(now, *l)
}

// stop makes the planned stop: the instance is handed out no more, serves until callers
// have forgotten it, hands its keys over, finishes what is in flight and leaves. An
// instance that was taken off the roster has been handed out no more for long, and
// does not wait.
func (n *Node) stop(cause error) {
	n.stopping.Store(true)
	n.log.Info("planned stop begins", "incarnation", n.self.Ref.Incarnation, "in_flight", n.entry.InFlight())
	ctx, cancel := context.WithTimeout(context.Background(), n.opts.Settings.Stop.Timeout)
	defer cancel()
	if cause == nil {
		n.onLoop(ctx, n.members.Leave)
	}
	n.entry.Drain()
	if cause == nil {
		n.awaitForgotten(ctx)
	}
	n.logStop("keys handed over", n.claims.Stop(ctx))
	n.awaitQuiet(ctx)
	n.logStop("callers answered", n.entry.Shutdown(ctx))
	n.logStop("upstream work ended", n.dispatcher.Drain(ctx))
	if cause == nil {
		n.onLoop(ctx, n.members.Gone)
	}
	n.links.Flush(ctx)
	time.Sleep(goneGrace)
}

func (n *Node) logStop(step string, err error) {
	if err != nil {
		n.log.Warn("planned stop", "step", step, "error", err.Error())
		return
	}
	n.log.Info("planned stop", "step", step)
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

// awaitForgotten waits until every discovery answer that may name this instance has aged.
// Another instance may have named it until it heard of the leaving.
func (n *Node) awaitForgotten(ctx context.Context) {
	age := n.opts.Settings.Fleet.DiscoveryMaxAge + announceTime
	select {
	case <-ctx.Done():
	case <-time.After(age):
	}
}

// awaitQuiet waits until no request has come for a while.
func (n *Node) awaitQuiet(ctx context.Context) {
	for n.entry.IdleTime() < quietBeforeEnd || n.calls.Running() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(stopPoll):
		}
	}
}
