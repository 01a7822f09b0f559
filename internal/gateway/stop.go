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
	err := g.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.logCutOff(began)
		return nil
	}
	if err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	return nil
}

// maxCutOffLogged bounds the requests that are logged one by one at the end of a planned stop.
const maxCutOffLogged = 20

// logCutOff counts and logs the requests without a complete answer at the end of a planned stop.
func (g *Gateway) logCutOff(began time.Time) {
	now := time.Now()
	list := g.server.InService()
	g.metrics.cutOff.Add(int64(len(list)))
	for _, r := range list[:min(len(list), maxCutOffLogged)] {
		g.log.Warn("request cut off by the planned stop", "request", r.ID, "route", r.Route,
			"read_after_ms", r.Arrived.Sub(began).Milliseconds(), "ms", now.Sub(r.Arrived).Milliseconds())
	}
}
