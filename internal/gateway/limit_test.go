package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against instances that together send an upstream many times the requests a second that it names.
func TestAnnouncedLimitBindsTheSumOfAllInstances(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		brokersFrom int
		zones       string
		stops       int // Instances that stop meanwhile, the first brokers.
	}{"reports": {150, "abc", 0}, "brokers": {4, "aaa", 0}, "brokers of which two stop": {4, "aaa", 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const (
				limit        = 2
				window       = 4 * time.Second
				allowed      = limit*4*3/2 + 5
				stableWindow = 3 * time.Second
				callers      = 24
			)
			fleet := newTestFleet(t)
			fleet.brokersFrom = tc.brokersFrom
			var all []*instance
			for i := range 6 {
				all = append(all, fleet.startInstance(fmt.Sprint("edge-", i), string(tc.zones[i%3])))
			}
			fleet.configure("h.example", "orders")
			limited, free := fleet.startUpstream("i-limited", "orders"), fleet.startUpstream("i-free", "orders")
			for _, in := range all {
				eventually(t, "all know each other and both upstreams", func() bool {
					_, _, _ = in.send(t, "h.example", "/x")
					return limited.requests.Load() > 0 && free.requests.Load() > 0 && len(in.gateway.control.snapshot.Load().alive) == len(all)-1
				})
			}
			limited.limit.Store(limit)
			named := time.Now()
			var ended atomic.Bool
			var sent, shed atomic.Int64
			var wg sync.WaitGroup
			defer wg.Wait()
			defer ended.Store(true)
			for i := range callers {
				wg.Go(func() {
					for !ended.Load() {
						in := all[tc.stops+i%(len(all)-tc.stops)]
						sent.Add(1)
						status, body, id := in.send(t, "h.example", "/x")
						switch {
						case status == http.StatusOK:
						case strings.Contains(body, "shed-queue-full"): // The other upstream was overdue.
							shed.Add(1)
						default:
							t.Errorf("request %s: status %d, %s", id, status, body)
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			time.Sleep(stableWindow)
			for _, in := range all[:tc.stops] {
				time.Sleep(time.Second)
				in.stop()
			}
			time.Sleep(2 * window)
			if n := limited.mostArrivals(named.Add(stableWindow), window); n > allowed {
				t.Errorf("%d requests within %s reached the upstream, which takes %d a second; %d are allowed", n, window, limit, allowed)
			}
			if 100*shed.Load() > sent.Load() {
				t.Errorf("%d of %d requests shed beside an upstream without a limit", shed.Load(), sent.Load())
			}
			limited.limit.Store(0)
			before := limited.requests.Load()
			eventually(t, "it is used in full once its answers name no limit", func() bool { return limited.requests.Load()-before > 4*allowed })
		})
	}
}
