package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// stopMargin is how long before the end of promises.stop_within a planned stop ends.
	stopMargin = 400 * time.Millisecond
	// staleTTLs is the number of discovery TTLs for which callers may use a discovery answer.
	staleTTLs = 3
	// leaveInterval and leaveRepeats control how often the other instances are notified of the stop,
	// as datagrams get lost.
	leaveInterval = 100 * time.Millisecond
	leaveRepeats  = 3
)

// stop makes the planned stop: it takes the instance out of discovery, serves the callers that
// still connect, and returns when all requests are answered or promises.stop_within is nearly over.
func (g *Gateway) stop() error {
	s := g.current()
	began := time.Now()
	deadline := began.Add(s.Promises.StopWithin - stopMargin)
	g.leaving.Store(true)
	g.log.Info("planned stop started; serving callers that still connect", "in_flight", g.server.InFlight())
	g.server.Drain()
	for range leaveRepeats {
		g.control.post(func() { g.control.leaving = true; g.control.sendReports() })
		time.Sleep(leaveInterval)
	}
	time.Sleep(time.Until(began.Add(staleTTLs*s.Promises.DiscoveryTTL + s.Promises.DiscoveryTTL/2)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := g.server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("planned stop: %w", err)
	}
	return nil
}
