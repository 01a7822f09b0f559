package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	grace         = 6 * time.Second
	lookupWork    = 2600 // Milliseconds; stock-lookup takes up to 3,100 in the site file.
	lateBy        = 50 * time.Millisecond
	excusedBefore = 3 * time.Second // After a SIGTERM; by the rule, later requests have no such excuse.
)

// lateRequest: the two instances of a fleet get SIGTERM, as in a restart of two at a time. Clients that can
// get no new addresses go on using those that they have, and send lookups on connections that they keep open,
// a little more than 3 s after the SIGTERM. A lookup that the instance has passed on to an endpoint must be
// answered.
func lateRequest(f *fleet) (verdict, error) {
	const host = "orders.example"
	if err := f.service("lotbook", 3, 8, "zone-a"); err != nil {
		return verdict{}, err
	}
	routes := map[string]any{"stock-lookup": route(host, "/stock/", "lotbook", "safe", 2, "4s")}
	f.configure(1, routes, "lotbook")
	for k := range 2 {
		if _, err := f.add(fmt.Sprintf("edge-zone-a-%d", k+1), "zone-a"); err != nil {
			return verdict{}, err
		}
	}
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	var open []*clientConn
	for range 4 {
		for _, i := range f.instances {
			c, err := dialClient(i.callers)
			if err != nil {
				return verdict{}, err
			}
			defer c.close()
			if a := c.do("GET", host, "/stock/2f?ms=20", "", 4*time.Second); a.status != 200 {
				return verdict{}, fmt.Errorf("the first lookup at %s got %d: %v", i.name, a.status, a.err)
			}
			open = append(open, c)
		}
	}
	addresses, ttl, err := resolve(f.instances[0].discovery, host, "zone-a")
	if err != nil {
		return verdict{}, err
	}
	f.record.printf("the clients hold %v, for %s", addresses, ttl)
	term := time.Now()
	for _, i := range f.instances {
		if trouble {
			i.signal(syscall.SIGTERM)
			f.record.printf("SIGTERM to %s", i.name)
			time.AfterFunc(grace, func() { i.signal(syscall.SIGKILL) })
		}
	}
	for _, wait := range []time.Duration{time.Second, 2 * time.Second, excusedBefore - 100*time.Millisecond} {
		time.Sleep(time.Until(term.Add(wait)))
		for _, i := range f.instances {
			list, _, err := resolve(i.discovery, host, "zone-a")
			f.record.printf("a client asks %s for addresses: %v, error %v", i.name, list, err)
		}
	}
	time.Sleep(time.Until(term.Add(excusedBefore + lateBy)))
	answers := make(chan answer)
	for k, c := range open {
		go func() {
			time.Sleep(time.Duration(k) * lateBy)
			answers <- c.do("GET", host, fmt.Sprintf("/stock/2f?ms=%d", lookupWork), "", 4*time.Second)
		}()
	}
	lost, ran, served := 0, 0, 0
	for range open {
		a := <-answers
		runs := len(f.runsOf(a.id))
		f.record.printf("lookup %s, sent %.3f s after the SIGTERM: status %d, body %q, error %v, run %d times, ended %.3f s after the SIGTERM", a.id, a.sent.Sub(term).Seconds(), a.status, strings.TrimSpace(a.body), a.err, runs, a.ended.Sub(term).Seconds())
		ran += min(runs, 1)
		switch {
		case a.status == 200:
			served++
		case a.status == 0 && runs > 0:
			lost++
		}
	}
	if trouble {
		for _, i := range f.instances {
			<-i.exited
		}
		f.record.printf("both instances have ended %.3f s after the SIGTERM", time.Since(term).Seconds())
	}
	return verdict{broken: lost > 0, text: fmt.Sprintf("of %d lookups sent 3.05 to 3.4 s after the SIGTERM, %d were run, %d served, and %d ended without an answer while their endpoint was at work", len(open), ran, served, lost)}, nil
}
