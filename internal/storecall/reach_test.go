package storecall

import (
	"context"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/internal/metastore/standin"
)

func TestReachTellsAnswersFromOutages(t *testing.T) {
	now := time.Unix(100, 0)
	p := standin.New(standin.Options{Now: func() time.Time { return now }})
	r := NewMonitor(p, func() time.Time { return now })
	ctx := context.Background()
	if answered, at := r.LastCall(); answered || !at.IsZero() {
		t.Errorf("before a call: answered %v at %v", answered, at)
	}
	_, _ = r.Get(ctx, "absent")
	if answered, at := r.LastCall(); !answered || !at.Equal(now) {
		t.Errorf("an absent key: answered %v at %v, want true at %v", answered, at, now)
	}
	p.UpdateFaults(func(f *standin.Faults) { f.Store = standin.OutageRefuse })
	before := now
	now = now.Add(time.Minute)
	_, _ = r.Get(ctx, "absent")
	if answered, at := r.LastCall(); answered || !at.Equal(before) {
		t.Errorf("in an outage: answered %v at %v, want false at %v", answered, at, before)
	}
	gone, cancel := context.WithCancel(ctx)
	cancel()
	p.UpdateFaults(func(f *standin.Faults) { f.Store = standin.OutageNone })
	_, _ = r.Get(ctx, "absent")
	_, _ = r.Watch(gone, "absent", 0)
	if answered, _ := r.LastCall(); !answered {
		t.Error("a call that this side gave up counts as an outage")
	}
}
