package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	descriptors = 4100                    // max_fds of a machine.
	manyPerS    = 500                     // Requests a second, of the site's 730.
	idleTimeout = 15 * time.Second        // As in the examples of messages.
	reuseWithin = idleTimeout * 4 / 5     // Clients reuse a connection for so long, and then close it.
	keptShare   = 0.25                    // Of the requests go out on a connection that is open and idle.
	lossAt      = 20 * time.Second        // When one of the two machines is lost.
	manyLength  = 60 * time.Second        //
	sinceLoss   = 3500 * time.Millisecond // Only closes later than stable_window after the loss are judged.
	probeEvery  = time.Second             // The platform's readiness check.
)

// limited starts the program with the machine's limit of descriptors.
func limited(gate, settings string) *exec.Cmd {
	return exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec \"$0\" \"$@\"", descriptors), gate, "--settings", settings)
}

// idlePool holds the clients' idle connections to one instance.
type idlePool struct {
	mu   sync.Mutex
	idle []*clientConn
}

func (p *idlePool) get() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *idlePool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// closeOld closes the connections that are idle for longer than clients reuse them.
func (p *idlePool) closeOld() {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.idleSince) > reuseWithin {
			c.close()
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
}

// oneLeft: of two machines with 4,100 descriptors each, one is lost for good, and the clients of both go on at
// the other. The one that is left must not close the kept connections of requests that it has passed on to a
// sound endpoint.
func oneLeft(f *fleet) (verdict, error) {
	const host = "orders.example"
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 12000 {
		return verdict{}, fmt.Errorf("the stand-ins need 12,000 descriptors and have %d", limit.Cur)
	}
	kinds := []struct{ method, prefix, service, kind string }{
		{"GET", "/stock/", "lotbook", "safe"}, {"POST", "/drum/", "orderhive", "unsafe"}, {"PUT", "/pallet/", "freightcomb", "unsafe"},
	}
	shares := []float64{193.0 / 730, (193.0 + 436) / 730, 1} // Of the kinds, as in the site.
	work := []int{410, 320, 220}
	routes := map[string]any{}
	services := make([]string, 0, len(kinds))
	for k, kind := range kinds {
		if err := f.service(kind.service, []int{14, 24, 8}[k], 16, "zone-a"); err != nil {
			return verdict{}, err
		}
		routes[kind.service] = route(host, kind.prefix, kind.service, kind.kind, 2, "5s")
		services = append(services, kind.service)
	}
	f.configure(1, routes, services...)
	f.command = limited
	for k := range 2 {
		if _, err := f.add(fmt.Sprintf("edge-zone-a-%d", k+1), "zone-a"); err != nil {
			return verdict{}, err
		}
	}
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	began := time.Now()
	left, other := f.instances[0], f.instances[1]
	var lost, stop atomic.Bool
	var lostAt time.Time
	if trouble {
		time.AfterFunc(lossAt, func() {
			lostAt = time.Now()
			lost.Store(true)
			_ = other.cmd.Process.Signal(os.Kill)
			f.record.printf("SIGKILL to %s, which does not come back", other.name)
		})
	}
	pools := map[*instance]*idlePool{left: {}, other: {}}
	for _, i := range f.instances {
		go func() {
			for !stop.Load() {
				time.Sleep(probeEvery)
				status, _ := get("http://" + i.ready + "/damaskcove/readyz")
				f.record.printf("the platform's check of %s: %d; %s connections of callers", i.name, status, i.gauge("caller_connections"))
				pools[i].closeOld()
			}
		}()
		go func() {
			<-i.exited
			f.record.printf("the process of %s has ended: %v", i.name, i.cmd.ProcessState)
		}()
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	cut := 0
	ended := false
	for n := 0; time.Since(began) < manyLength && !ended; n++ {
		select {
		case <-left.exited:
			ended = true
		case <-time.After(time.Until(began.Add(time.Duration(n) * time.Second / manyPerS))):
		}
		k, draw := 0, rand.Float64()
		for draw > shares[k] {
			k++
		}
		kind := kinds[k]
		to := left
		if !lost.Load() {
			to = f.instances[rand.IntN(2)]
		}
		var conn *clientConn
		if rand.Float64() < keptShare {
			conn = pools[to].get()
		}
		kept := conn != nil
		wg.Go(func() {
			if !kept {
				var err error
				if conn, err = dialClient(to.callers); err != nil {
					mu.Lock()
					defer mu.Unlock()
					counts["no connection, at "+to.name]++
					return
				}
			}
			body := ""
			if kind.method != "GET" {
				body = strings.Repeat("x", 300)
			}
			a := conn.do(kind.method, host, fmt.Sprintf("%s2f?ms=%d", kind.prefix, work[k]), body, 4*time.Second)
			if a.status != 0 && !conn.closes {
				pools[to].put(conn)
			} else {
				conn.close()
			}
			runs := len(f.runsOf(a.id))
			mu.Lock()
			defer mu.Unlock()
			if a.status != 0 {
				counts[fmt.Sprintf("status %d", a.status)]++
				return
			}
			counts[fmt.Sprintf("no answer, at %s, kept connection: %t, run: %t", to.name, kept, runs > 0)]++
			f.record.printf("request %s (%s) to %s, kept connection: %t: no answer (%v), run %d times", a.id, kind.kind, to.name, kept, a.err, runs)
			if to == left && kept && runs > 0 && (!lost.Load() || a.ended.Sub(lostAt) > sinceLoss) {
				cut++
			}
		})
	}
	wg.Wait()
	stop.Store(true)
	for what, n := range counts {
		f.record.printf("%d requests: %s", n, what)
	}
	return verdict{broken: cut > 3, text: fmt.Sprintf("%d times the machine that is left closed a kept connection whose request it had passed on, without an answer; its process ended by itself: %t", cut, ended)}, nil
}
