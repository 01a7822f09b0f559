package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryMB   = 284      // memory_mb of a machine; a process that exceeds it is killed.
	largeBytes = 12 << 20 // A large order's body, of 67,108,864 bytes that max_body_bytes allows in the examples.
	smallBytes = 1200     // Mean body of an order in the site file.
	largeEvery = 500 * time.Millisecond
	smallPerS  = 60  // Small orders a second, each on a kept connection; the site has 75.9.
	orderWork  = 320 // Milliseconds, as in the site.
	maxLarge   = 100
)

// resident returns the resident memory of a process in MB.
func resident(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, pages int
	_, _ = fmt.Sscan(string(data), &size, &pages)
	return pages * os.Getpagesize() >> 20
}

// largeBodies: among the orders of an instance is a large one at a time, one after the other, each well within
// max_body_bytes. The platform kills a process that exceeds memory_mb. The instance must not close the kept
// connections of other callers, whose orders it has passed on to a sound endpoint.
func largeBodies(f *fleet) (verdict, error) {
	const host = "orders.example"
	if err := f.service("orderhive", 6, 16, "zone-a"); err != nil {
		return verdict{}, err
	}
	f.configure(1, map[string]any{"drum-order": route(host, "/drum/", "orderhive", "unsafe", 2, "5s")}, "orderhive")
	i, err := f.add("edge-zone-a-1", "zone-a")
	if err != nil {
		return verdict{}, err
	}
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	var stop atomic.Bool
	var last atomic.Int64
	go func() { // The platform's limit of memory.
		for !stop.Load() {
			mb := resident(i.cmd.Process.Pid)
			last.Store(int64(mb))
			if mb > memoryMB {
				i.signal(syscall.SIGKILL)
				f.record.printf("the process holds %d MB, more than memory_mb = %d, and is killed", mb, memoryMB)
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	}()
	uri := fmt.Sprintf("/drum/2f?ms=%d", orderWork)
	var mu sync.Mutex
	counts := map[string]int{}
	cut := 0
	var callers sync.WaitGroup
	for n := range smallPerS {
		callers.Go(func() {
			time.Sleep(time.Duration(n) * time.Second / smallPerS)
			conn, err := dialClient(i.callers)
			if err != nil {
				return
			}
			defer conn.close()
			for kept := false; !stop.Load(); kept = true {
				a := conn.do("POST", host, uri, strings.Repeat("x", smallBytes), 5*time.Second)
				runs := len(f.runsOf(a.id))
				mu.Lock()
				if a.status != 0 {
					counts[fmt.Sprintf("small orders: status %d", a.status)]++
				} else {
					counts[fmt.Sprintf("small orders: no answer, run: %t", runs > 0)]++
					f.record.printf("order %s, kept connection: %t: no answer (%v), run %d times", a.id, kept, a.err, runs)
					if kept && runs > 0 {
						cut++
					}
				}
				mu.Unlock()
				if a.status == 0 {
					return
				}
				time.Sleep(time.Second - a.ended.Sub(a.sent))
			}
		})
	}
	time.Sleep(time.Second)
	size := smallBytes
	if trouble {
		size = largeBytes
	}
	body := strings.Repeat("x", size)
	ended, sent := false, 0
	for sent < maxLarge && !ended {
		began := time.Now()
		a := once(i.callers, "POST", host, uri, body, 5*time.Second)
		sent++
		f.record.printf("order %s with a body of %d bytes, the only one of that size in flight: status %d, error %v, run %d times; the process holds %d MB", a.id, size, a.status, a.err, len(f.runsOf(a.id)), last.Load())
		select {
		case <-i.exited:
			ended = true
			f.record.printf("the process has ended: %v", i.cmd.ProcessState)
		case <-time.After(time.Until(began.Add(largeEvery))):
		}
	}
	held := last.Load()
	stop.Store(true)
	callers.Wait()
	for what, n := range counts {
		f.record.printf("%d %s", n, what)
	}
	return verdict{broken: cut > 3, text: fmt.Sprintf("%d times a kept connection was closed without an answer whose order had been passed on; after %d orders of %d bytes, one at a time, the process held %d MB and was killed: %t", cut, sent, size, held, ended)}, nil
}
