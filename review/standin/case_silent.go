package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	outage       = 4500 * time.Millisecond // platform_down, silent: for_s = 4.5 in the site file.
	stableWindow = 3 * time.Second
	configApply  = 2 * time.Second
)

// silentStore: the platform's store is down for 4.5 s, silently, just after a change of the configuration.
// When all has been calm for longer than stable_window, the operator changes the configuration again. From
// config_apply after the acknowledgement on, no machine may handle requests as only an older version allows.
func silentStore(f *fleet) (verdict, error) {
	const host = "orders.example"
	services := []string{"lotbook", "orderhive"}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for _, s := range services {
		if err := f.service(s, 6, 8, zones...); err != nil {
			return verdict{}, err
		}
	}
	routes := map[string]any{"orders": route(host, "/orders/", "lotbook", "safe", 2, "3s")}
	f.configure(1, routes, services...)
	for _, zone := range zones {
		for k := range 3 {
			if _, err := f.add(fmt.Sprintf("edge-%s-%d", zone, k+1), zone); err != nil {
				return verdict{}, err
			}
		}
	}
	started := time.Now()
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	f.record.printf("all %d instances are ready", len(f.instances))
	time.Sleep(time.Until(started.Add(14 * time.Second)))

	routes["orders"] = route(host, "/orders/", "lotbook", "safe", 2, "3500ms")
	f.configure(5, routes, services...)
	time.Sleep(200 * time.Millisecond)
	f.silence(trouble)
	time.Sleep(outage)
	f.silence(false)
	time.Sleep(stableWindow + time.Second)

	routes["orders"] = route(host, "/orders/", "orderhive", "safe", 2, "3500ms")
	acknowledged := f.configure(9, routes, services...)
	f.record.printf("version 9 moves the route /orders/ from lotbook to orderhive")
	time.Sleep(time.Until(acknowledged.Add(configApply + 100*time.Millisecond)))
	late, total := 0, 0
	var last time.Time
	machines := map[string]bool{}
	for time.Since(acknowledged) < 24*time.Second {
		for _, i := range f.instances {
			a := once(i.callers, "GET", host, "/orders/2f?ms=5", "", 3*time.Second)
			total++
			f.record.printf("request %s to %s, sent %.1f s after the acknowledgement: status %d, %s", a.id, i.name, a.sent.Sub(acknowledged).Seconds(), a.status, strings.TrimSpace(a.body))
			if slices.ContainsFunc(f.runsOf(a.id), func(e *endpoint) bool { return e.service == "lotbook" }) {
				late++
				last = a.sent
				machines[i.name] = true
			}
		}
		time.Sleep(time.Second)
	}
	text := fmt.Sprintf("%d of %d requests sent later than config_apply after the acknowledgement were run by the route's old service, at %d of %d machines", late, total, len(machines), len(f.instances))
	if late > 0 {
		text += fmt.Sprintf("; the last %.1f s after the acknowledgement", last.Sub(acknowledged).Seconds())
	}
	return verdict{broken: late > 0, text: text}, nil
}

// silence makes the store give no response to any machine, or ends that.
func (f *fleet) silence(on bool) {
	for _, i := range f.instances {
		i.door.setSilent(on)
	}
	f.record.printf("the store gives no response: %t", on)
}
