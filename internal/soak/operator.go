package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/damaskcove/damaskcove/platform/standin"
)

const (
	mainHost       = "orders.example"
	idleHost       = "idle.example"
	bulkHost       = "bulk.example"
	lookupPrefix   = "/stock/"
	orderPrefix    = "/orders/"
	pickupPrefix   = "/pickups/"
	maxIdleRoutes  = 12
	recentChanges  = 6 // Routes that the direct checks use.
	upstreamConns  = 390
	routeObjective = "1200ms"
)

var serviceNames = []string{"lotbook", "orderhive", "freightcomb"}

// operator writes configurations to the store.
type operator struct {
	store    *standin.Store
	recorder *recorder

	mu      sync.Mutex
	random  *rand.Rand
	number  uint32
	valid   uint32 // The last version that is valid.
	routes  map[string]Route
	created int
	recent  []Route // Lately changed, newest first.
	down    bool    // The store takes no calls.
	cond    *sync.Cond

	accounts *accountBook
}

// maxAttempts is the number of upstreams to which a request may be sent, on all routes.
const maxAttempts = 2

func newOperator(s *standin.Store, r *recorder, random *rand.Rand, accounts *accountBook) *operator {
	o := &operator{store: s, recorder: r, random: random, accounts: accounts, routes: map[string]Route{
		"lookup": {Host: mainHost, Prefix: lookupPrefix, Services: []string{"lotbook"}, Safe: true, Timeout: 4 * time.Second},
		"order":  {Host: mainHost, Prefix: orderPrefix, Services: []string{"orderhive"}, Timeout: 5 * time.Second},
		"pickup": {Host: mainHost, Prefix: pickupPrefix, Services: []string{"freightcomb"}, Timeout: 4 * time.Second},
	}}
	o.cond = sync.NewCond(&o.mu)
	if accounts.keys != nil {
		pickup := o.routes["pickup"]
		pickup.Anonymous = true
		o.routes["pickup"] = pickup
	}
	for range 3 {
		o.addRoute()
	}
	return o
}

// setDown tells whether the store takes the operator's calls.
func (o *operator) setDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
	o.cond.Broadcast()
}

// change applies changes to the configuration and writes it. It waits while the store is down.
func (o *operator) change(what string, apply func()) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.down {
		o.cond.Wait()
	}
	if apply != nil {
		apply()
	}
	o.number += 1 + uint32(o.random.IntN(6))
	o.valid = o.number
	v := Version{Number: o.number, Routes: maps.Clone(o.routes), Accounts: o.accounts.snapshot(), Sent: time.Now()}
	acked, err := o.store.PutJSON("op/config", o.encode(o.number))
	if err != nil {
		return err
	}
	v.Acked = acked
	o.recorder.version(v)
	o.recorder.printf("version %08x is acknowledged: %s; %d routes", o.number, what, len(o.routes))
	return nil
}

// rewrite writes the newest configuration again, after the store has lost it.
func (o *operator) rewrite() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, err := o.store.PutJSON("op/config", o.encode(o.valid))
	o.recorder.printf("version %08x is written again", o.valid)
	return err
}

// encode returns the configuration as the store holds it, with a version number.
func (o *operator) encode(number uint32) map[string]any {
	routes := map[string]any{}
	for name, r := range o.routes {
		kind := "unsafe"
		if r.Safe {
			kind = "safe"
		}
		route := map[string]any{
			"host": r.Host, "path_prefix": r.Prefix, "route_kind": kind, "max_attempts": maxAttempts, "timeout": fmt.Sprintf("%dms", r.Timeout.Milliseconds()),
			"target_latency": routeObjective, "priority": 1,
		}
		if r.Anonymous {
			route["anonymous"] = true
		}
		if len(r.Services) == 1 {
			route["service"] = r.Services[0]
		} else {
			var split []map[string]any
			for _, s := range r.Services {
				split = append(split, map[string]any{"service": s, "weight": 1})
			}
			route["weighted_split"] = split
		}
		routes[name] = route
	}
	services := map[string]any{}
	for _, s := range serviceNames {
		services[s] = map[string]any{"health_path": "/healthz", "max_connections": upstreamConns}
	}
	value := map[string]any{
		"version": fmt.Sprintf("%08x", number), "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3s", "idle_timeout": "15s"},
	}
	if o.accounts.keys != nil {
		value["tenants"] = o.accounts.encode()
	}
	return value
}

// touch notes a changed route for the direct checks; the caller holds mu.
func (o *operator) touch(r Route) {
	o.recent = slices.DeleteFunc(o.recent, func(x Route) bool { return x.Prefix == r.Prefix })
	o.recent = append([]Route{r}, o.recent...)
	o.recent = o.recent[:min(len(o.recent), recentChanges)]
}

func (o *operator) addRoute() {
	o.created++
	r := Route{Host: idleHost, Prefix: fmt.Sprintf("/r%d/", o.created), Services: []string{o.anyService()}, Safe: true, Timeout: 3 * time.Second}
	r.Anonymous = o.accounts.keys != nil && o.random.IntN(3) == 0
	o.routes[fmt.Sprintf("idle-%d", o.created)] = r
	o.touch(r)
}

func (o *operator) anyService() string { return serviceNames[o.random.IntN(len(serviceNames))] }

// idle returns the name of a route that carries no traffic but direct checks.
func (o *operator) idle() string {
	var names []string
	for name, r := range o.routes {
		if r.Host == idleHost {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	return names[o.random.IntN(len(names))]
}

func (o *operator) moveRoute() {
	name := o.idle()
	if name == "" {
		o.addRoute()
		return
	}
	r := o.routes[name]
	for was := r.Services[0]; r.Services[0] == was; {
		r.Services = []string{o.anyService()}
	}
	o.routes[name] = r
	o.touch(r)
}

func (o *operator) removeRoute() {
	if name := o.idle(); name != "" {
		o.touch(o.routes[name])
		delete(o.routes, name)
	}
}

// randomChange changes the configuration in one of the usual ways: routes, or keys of accounts if there are some.
func (o *operator) randomChange() error {
	o.mu.Lock()
	kind := o.random.IntN(7)
	var ofKeys *rand.Rand
	if o.accounts.keys != nil && o.random.IntN(2) == 0 {
		ofKeys = rand.New(rand.NewPCG(o.random.Uint64(), 8))
	}
	o.mu.Unlock()
	if ofKeys != nil {
		return o.changeKeys(ofKeys)
	}
	switch kind {
	case 0:
		return o.change("time-outs", func() {
			for name, r := range o.routes {
				if r.Host == mainHost {
					r.Timeout = time.Duration(3500+o.random.IntN(2000)) * time.Millisecond
					o.routes[name] = r
				}
			}
		})
	case 1:
		return o.change("pickups are split anew", func() {
			r := o.routes["pickup"]
			splits := [][]string{{"freightcomb"}, {"freightcomb", "lotbook"}, {"freightcomb", "orderhive"}}
			r.Services = splits[o.random.IntN(len(splits))]
			o.routes["pickup"] = r
		})
	case 2, 3:
		return o.change("a route is moved", o.moveRoute)
	case 4:
		return o.change("a route is removed", o.removeRoute)
	}
	return o.change("a route is added", func() {
		if len(o.routes) > maxIdleRoutes {
			o.removeRoute()
		}
		o.addRoute()
	})
}

// grow adds many routes and one idle route.
func (o *operator) grow(n int) error {
	return o.change("many routes", func() {
		for k := range n {
			o.routes[fmt.Sprintf("bulk-%d", k)] = Route{Host: bulkHost, Prefix: fmt.Sprintf("/bulk%d/", k), Services: []string{o.anyService()}, Safe: true, Timeout: 3 * time.Second}
		}
		o.addRoute()
	})
}

// shrink removes the many routes.
func (o *operator) shrink() error {
	return o.change("the many routes are removed", func() {
		for name, r := range o.routes {
			if r.Host == bulkHost {
				delete(o.routes, name)
			}
		}
		o.moveRoute()
	})
}

// checked returns a route for a direct check: one that was changed lately.
func (o *operator) checked(k int) Route {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.recent[k%len(o.recent)]
}
