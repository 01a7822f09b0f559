package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// service is a service of the site with its kind of request.
type service struct {
	name, kind, method, path string
	endpoints, join          int // join: within the share of scale_out and of scale_in.
	work                     time.Duration
	perSecond                float64
}

var services = []service{
	{"orderhive", "unsafe", "POST", "/order/", 19, 5, 320 * time.Millisecond, 75},
	{"lotbook", "safe", "GET", "/stock/", 11, 3, 410 * time.Millisecond, 33},
	{"freightcomb", "unsafe", "POST", "/pickup/", 6, 1, 220 * time.Millisecond, 17},
}

// config returns a configuration with a route to each service.
func config(version string) map[string]any {
	routes, table := map[string]any{}, map[string]any{}
	for _, v := range services {
		routes["r-"+v.name] = map[string]any{
			"host": hostName, "path_prefix": v.path, "route_kind": v.kind, "timeout": "4000ms", "target_latency": "1200ms", "priority": 1,
			"service": v.name, "max_attempts": 2,
		}
		table[v.name] = map[string]any{"health_path": "/healthz", "max_connections": 390, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"version": version, "routes": routes, "services": table,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	}
}

// startEndpoints starts endpoints of all services.
func (s *scene) startEndpoints(name string, number func(v service) int) (all []*endpoint, err error) {
	for _, v := range services {
		for k := range number(v) {
			e, err := s.fleet.startEndpoint(s.record, fmt.Sprintf("i-%s-%s-%02d", name, v.name, k), v.name, zones[k%len(zones)], v.work)
			if err != nil {
				return nil, err
			}
			all = append(all, e)
			time.Sleep(10 * time.Millisecond)
		}
	}
	return all, nil
}

// startAll starts the given numbers of instances in the zones and waits until all are ready.
func (s *scene) startAll(byZone ...int) error {
	for z, n := range byZone {
		for range n {
			i, err := s.fleet.add(zones[z])
			if err != nil {
				return err
			}
			if err := i.start(); err != nil {
				return err
			}
		}
	}
	for _, i := range s.fleet.instances {
		if err := i.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// Figures of the case, within the doses of the site.
const (
	rounds     = 3
	cutFor     = 5500 * time.Millisecond // node_cut, of one in eight instances.
	leaveEvery = 150 * time.Millisecond
	servesOn   = 7 * time.Second // After its entry is removed: drain, and many seconds.
)

// joinedAndLeft cuts one instance off, three times. Endpoints that join meanwhile leave around the end of the cut.
func joinedAndLeft(s *scene) (int, error) {
	if _, err := s.fleet.store.PutJSON("op/config", config("00000007")); err != nil {
		return notRun, err
	}
	if _, err := s.startEndpoints("stays", func(v service) int { return v.endpoints }); err != nil {
		return notRun, err
	}
	if err := s.startAll(4, 2, 2); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.sendRequests(stop)
	}()
	time.Sleep(4 * time.Second)
	cutOff := s.fleet.instances[0]
	var left []*endpoint
	for round := range rounds {
		joined, err := s.playRound(round, cutOff)
		if err != nil {
			return notRun, err
		}
		left = append(left, joined...)
	}
	close(stop)
	<-done
	return s.judgeLeft(left, cutOff), nil
}

// playRound plays one cut and returns the endpoints that joined and left. It ends when these have ended.
func (s *scene) playRound(round int, cutOff *instance) (joined []*endpoint, err error) {
	if s.trouble {
		s.fleet.setCut(cutOff, true)
		s.say("%s is cut off from the other instances and the store", cutOff.name)
	}
	time.Sleep(time.Second)
	if joined, err = s.startEndpoints(fmt.Sprintf("joins-%d", round), func(v service) int { return v.join }); err != nil {
		return nil, err
	}
	time.Sleep(cutFor - time.Second)
	if s.trouble {
		s.fleet.setCut(cutOff, false)
		s.say("%s is connected again", cutOff.name)
	}
	rand.Shuffle(len(joined), func(i, j int) { joined[i], joined[j] = joined[j], joined[i] })
	for _, e := range joined {
		e.leave(servesOn)
		time.Sleep(leaveEvery)
	}
	time.Sleep(servesOn)
	return joined, nil
}

// sendRequests sends requests of the clients of each zone to each service until stop is closed.
func (s *scene) sendRequests(stop <-chan struct{}) {
	var all sync.WaitGroup
	for _, zone := range zones {
		c := &clients{fleet: s.fleet, record: s.record, zone: zone, host: hostName}
		for _, v := range services {
			all.Go(func() { c.run(v.method, v.path+"1", v.perSecond/float64(len(zones)), stop) })
		}
	}
	all.Wait()
}

// judgeLeft counts the requests that reached endpoints later than drain after their entries were removed, from
// instances that were not cut off.
func (s *scene) judgeLeft(left []*endpoint, cutOff *instance) int {
	r := s.record
	late, lost, answered := 0, 0, 0
	byEndpoint := map[string]int{}
	for _, a := range r.arrivals {
		for _, e := range left {
			from := r.sent[a.id]
			if a.endpoint != e.id || from == nil || from.to == cutOff.callers || !a.at.After(e.removed.Add(drain)) {
				continue
			}
			late++
			byEndpoint[e.id]++
			if from.status != 200 {
				lost++
			}
		}
	}
	for _, from := range r.sent {
		if from.status == 200 {
			answered++
		}
	}
	s.say("%d requests were sent, %d had a success", len(r.order), answered)
	s.say("%d requests reached endpoints more than %s after their entries were removed; %d of these had no success", late, drain, lost)
	for _, e := range left {
		if byEndpoint[e.id] > 0 {
			s.say("  %s: %d", e.id, byEndpoint[e.id])
		}
	}
	if late > 0 {
		return broken
	}
	return held
}
