package storecall

import (
	"context"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/internal/metastore/standin"
)

func TestMonitorDistinguishesAnswersFromOutages(t *testing.T) {
	now := time.Unix(100, 0)
	p := standin.New(standin.Options{Now: func() time.Time { return now }})
	m := NewMonitor(p, func() time.Time { return now })
	ctx := context.Background()
	if reachable, at := m.LastCall(); reachable || !at.IsZero() {
		t.Errorf("before a call: reachable %v at %v", reachable, at)
	}
	_, _ = m.Get(ctx, "absent")
	if reachable, at := m.LastCall(); !reachable || !at.Equal(now) {
		t.Errorf("an absent key: reachable %v at %v, want true at %v", reachable, at, now)
	}
	p.UpdateFaults(func(f *standin.Faults) { f.Store = standin.OutageRefuse })
	before := now
	now = now.Add(time.Minute)
	_, _ = m.Get(ctx, "absent")
	if reachable, at := m.LastCall(); reachable || !at.Equal(before) {
		t.Errorf("in an outage: reachable %v at %v, want false at %v", reachable, at, before)
	}
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	p.UpdateFaults(func(f *standin.Faults) { f.Store = standin.OutageNone })
	_, _ = m.Get(ctx, "absent")
	_, _ = m.Watch(cancelled, "absent", 0)
	if reachable, _ := m.LastCall(); !reachable {
		t.Error("a cancelled call counts as an outage")
	}
}
