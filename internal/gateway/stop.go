package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// stopMargin is kept to the time in which the process must be gone.
	stopMargin = 400 * time.Millisecond
	// staleTTLs is the number of discovery TTLs for which callers may use an answer.
	staleTTLs = 3
	// repeatLeaving is how often the others are told of the leaving, since datagrams get lost.
	leaveInterval = 100 * time.Millisecond
	leaveRepeats  = 3
)

// stop takes the instance out of discovery, serves the callers that still come, and
// returns when all are answered.
func (g *Gateway) stop() error {
	s := g.current()
	began := time.Now()
	deadline := began.Add(s.Promises.StopWithin - stopMargin)
	g.leaving.Store(true)
	g.log.Info("planned stop", "in_flight", g.server.InFlight())
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
