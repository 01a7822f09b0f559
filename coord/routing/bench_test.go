package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// BenchmarkDecision measures one request from Submit to Finish while half of the slots are in use.
func BenchmarkDecision(b *testing.B) {
	for _, endpoints := range []int{6, 20, 44} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) { benchmarkDecision(b, endpoints) })
	}
}

func benchmarkDecision(b *testing.B, endpoints int) {
	const slots = 4
	var targets []Target
	for i := range endpoints {
		targets = append(targets, target(fleet.Endpoint(fmt.Sprintf("192.0.2.%d:80", i)), slots, StateAvailable))
	}
	balancer := newTestBalancer(Config{RetryShare: 0.1}, targets...)
	now := testStart
	inUse := uint64(endpoints * slots / 2)
	submit := func(id uint64) {
		balancer.Submit(now, Request{ID: id, Account: "x", Idempotent: true, Deadline: now.Add(time.Hour)})
	}
	for id := range inUse {
		submit(id)
	}
	b.ReportAllocs()
	next := inUse
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		submit(next)
		balancer.Finish(now, next-inUse, 1, AttemptSucceeded, 10*time.Millisecond)
		next++
	}
}

// BenchmarkWaiting measures one request that passes through a full queue of many accounts.
func BenchmarkWaiting(b *testing.B) {
	balancer := newTestBalancer(Config{}, target(endpointA, 1, StateAvailable))
	now := testStart
	accounts := make([]fleet.Account, DefaultQueueLimit)
	for i := range accounts {
		accounts[i] = fleet.Account(fmt.Sprint("account-", i))
	}
	id, running := uint64(0), uint64(0)
	submit := func() {
		for _, effect := range balancer.Submit(now, Request{ID: id, Account: accounts[id%uint64(len(accounts))], Deadline: now.Add(time.Hour)}) {
			if d, ok := effect.(Dispatch); ok {
				running = d.ID
			}
		}
		id++
	}
	for range DefaultQueueLimit {
		submit()
	}
	b.ReportAllocs()
	for b.Loop() {
		submit()
		for _, effect := range balancer.Finish(now, running, 1, AttemptSucceeded, 10*time.Millisecond) {
			if d, ok := effect.(Dispatch); ok {
				running = d.ID
			}
		}
	}
}
