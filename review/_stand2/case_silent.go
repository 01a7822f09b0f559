package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/damaskcove/damaskcove/platform/standin"
)

// Figures of the case, within the doses of the site.
const (
	perZone       = 6
	followers     = 2 // Of each zone, those with the lowest names: 6 of 18 instances.
	changes       = 6
	turnedAwayFor = 5 * time.Second // platform_down, how nodes.
	calmFor       = 4500 * time.Millisecond
	probeInterval = 200 * time.Millisecond
)

// movingRoute returns a configuration whose route of lookups leads to one of two services by turns.
func movingRoute(version int) (c map[string]any, to string) {
	c, to = config(fmt.Sprintf("%08x", version)), "lotbook"
	if version%2 == 0 {
		to = "orderhive"
	}
	c["routes"].(map[string]any)["r-lotbook"].(map[string]any)["service"] = to
	return c, to
}

// change is a change of the configuration and the service that it takes the route away from.
type change struct {
	acknowledged time.Time
	oldService   string
}

// turnedAway has the store fall silent for the instances that follow it, and serve all others. A change is made at that moment.
func turnedAway(s *scene) (int, error) {
	first, oldService := movingRoute(1)
	if _, err := s.fleet.store.PutJSON("op/config", first); err != nil {
		return notRun, err
	}
	if _, err := s.startEndpoints("stays", func(v service) int { return v.endpoints }); err != nil {
		return notRun, err
	}
	if err := s.startAll(perZone, perZone, perZone); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	var probes sync.WaitGroup
	for k, i := range s.fleet.instances {
		probes.Go(func() { s.probe(k, i, stop) })
	}
	time.Sleep(4 * time.Second)
	var made []change
	for k := range changes {
		next, to := movingRoute(k + 2)
		s.setTurnedAway(s.trouble)
		at, err := s.fleet.store.PutJSON("op/config", next)
		if err != nil {
			return notRun, err
		}
		made = append(made, change{at, oldService})
		oldService = to
		s.record.line("version %08x is acknowledged: lookups go to %s", k+2, to)
		time.Sleep(turnedAwayFor)
		s.setTurnedAway(false)
		time.Sleep(calmFor)
	}
	close(stop)
	probes.Wait()
	return s.judgeChanges(made), nil
}

// setTurnedAway makes the store silent for the instances that follow it, or ends that.
func (s *scene) setTurnedAway(on bool) {
	state := standin.State{}
	if on {
		state.Fault = standin.Silent
	}
	for k, i := range s.fleet.instances {
		if k%perZone < followers {
			i.door.Set(state)
		}
	}
}

// probe sends lookups to one instance until stop is closed.
func (s *scene) probe(number int, i *instance, stop <-chan struct{}) {
	c := &clients{fleet: s.fleet, record: s.record, zone: i.zone, host: hostName}
	defer c.wg.Wait()
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		c.wg.Go(func() { c.send("GET", "/stock/1", fmt.Sprintf("p%02d-%05d", number, n), i.callers) })
	}
}

// judgeChanges counts the requests that were sent later than configApply after the acknowledgement of a change, to
// instances that the store served all the time, and were run by the service that the change took the route away from.
func (s *scene) judgeChanges(made []change) int {
	r := s.record
	calm := map[string]bool{}
	for k, i := range s.fleet.instances {
		calm[i.callers] = k%perZone >= followers
	}
	total := 0
	for k, ch := range made {
		end := r.start.Add(time.Hour)
		if k+1 < len(made) {
			end = made[k+1].acknowledged
		}
		late, instances, last := 0, map[string]bool{}, time.Duration(0)
		for _, a := range r.arrivals {
			from := r.sent[a.id]
			if !a.ran || from == nil || !calm[from.to] || !strings.HasPrefix(a.endpoint, "i-stays-"+ch.oldService) || !from.at.Before(end) {
				continue
			}
			after := from.at.Sub(ch.acknowledged)
			last = max(last, after)
			if after > configApply {
				late++
				instances[from.to] = true
			}
		}
		total += late
		s.say("change %d: the last lookup that the old service ran was sent %s after the acknowledgement; %d later than %s, at %d instances", k+1, last.Round(time.Millisecond), late, configApply, len(instances))
	}
	s.say("%d requests were sent; %d were handled by the older version too late", len(r.order), total)
	if total > 0 {
		return broken
	}
	return held
}
