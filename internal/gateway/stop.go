package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/damaskcove/damaskcove/coord/shutdown"
)

// leaveInterval and leaveRepeats control how often the other instances are notified of the stop,
// as datagrams get lost.
const (
	leaveInterval = 100 * time.Millisecond
	leaveRepeats  = 3
)

// stop makes the planned stop: it takes the instance out of discovery, serves the callers that
// still connect as far as their requests end in time, and returns when all are answered or
// promises.stop_within is nearly over.
func (g *Gateway) stop() error {
	began := time.Now()
	requested := shutdown.Requested{After: g.noStopBefore(), By: began}
	plan := shutdown.NewPlan(requested, g.stopPromises())
	g.handler.stop.Store(&plan)
	g.leaving.Store(true)
	g.server.Drain()
	g.log.Info("planned stop started; serving callers that still connect", "in_flight", g.server.InFlight(),
		"requested_at_most_ms_ago", began.Sub(requested.After).Milliseconds())
	for range leaveRepeats {
		g.control.post(func() { g.control.leaving = true; g.control.sendReports() })
		time.Sleep(leaveInterval)
	}
	lastArrival := time.AfterFunc(time.Until(plan.LastArrival), g.server.RejectIncomplete)
	defer lastArrival.Stop()
	time.Sleep(time.Until(plan.AcceptUntil))
	ctx, cancel := context.WithDeadline(context.Background(), plan.End)
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

// stopPromises returns what callers and the platform rely on in a planned stop.
func (g *Gateway) stopPromises() shutdown.Promises {
	p := g.current().Promises
	return shutdown.Promises{StopWithin: p.StopWithin, DiscoveryTTL: p.DiscoveryTTL}
}

// StopUncertainty returns how often it must be proved that no stop was requested.
func (g *Gateway) StopUncertainty() time.Duration {
	return shutdown.MaxUncertainty(g.stopPromises().StopWithin)
}

// mayStart reports whether an attempt of a request with a deadline may start.
func (g *Gateway) mayStart(now, deadline time.Time) bool {
	if plan := g.handler.stop.Load(); plan != nil {
		return plan.Admits(now, deadline)
	}
	return shutdown.AdmitsUnaware(g.noStopBefore(), now, deadline, g.stopPromises())
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
