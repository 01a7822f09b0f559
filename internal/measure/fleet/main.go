// Command fleet measures whole fleets of real instances over loopback, in one process:
// what an instance sends and how much processor time it takes while nothing happens and
// while instances come and go, the calls of the platform, and the time until a change is
// in force everywhere.
//
// All instances share the process with the stand-ins, so that the processor time of one
// is the process's over their number, an upper bound.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/examples"
	"github.com/damaskcove/damaskcove/internal/local"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
	"github.com/damaskcove/damaskcove/internal/peer"
	"github.com/damaskcove/damaskcove/internal/template"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// Times of the measurement.
const (
	readyTimeout  = 2 * time.Minute
	settle        = 10 * time.Second
	churnInterval = 2 * time.Second
	forcePoll     = time.Millisecond
	slowStore     = 300 * time.Millisecond
)

func main() {
	sizes := flag.String("sizes", "12,24,44", "instances, separated by commas")
	window := flag.Duration("window", 20*time.Second, "time of each measurement")
	changes := flag.Int("changes", 20, "configuration changes while the store is healthy")
	slow := flag.Int("slow-changes", 3, "configuration changes while the store is slow")
	flag.Parse()
	fmt.Println("| instances | state | sent B/s | messages/s | core share | calls of the platform/s | change p50 ms | change p99 ms |")
	fmt.Println("|---:|---|---:|---:|---:|---:|---:|---:|")
	for _, size := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(size)
		if err == nil {
			err = measure(n, *window, *changes, *slow)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// measure runs one fleet and prints its rows.
func measure(instances int, window time.Duration, changes, slowChanges int) error {
	f, set, err := start(instances)
	if err != nil {
		return err
	}
	idle := observe(f, window, nil)
	healthy, err := changeTimes(f, set, "healthy", changes)
	if err != nil {
		return errors.Join(err, f.Close())
	}
	idle.print(instances, "idle, store healthy", healthy)
	churned := observe(f, window, func() { replaceOne(f) })
	f.Platform.UpdateFaults(func(x *standin.Faults) { x.Delay = slowStore })
	slow, err := changeTimes(f, set, "slow", slowChanges)
	if err != nil {
		return errors.Join(err, f.Close())
	}
	churned.print(instances, "one replaced each 2 s; changes with a store of 300 ms a call", slow)
	return f.Close()
}

func start(instances int) (*local.Fleet, *template.Set, error) {
	set, err := examples.Templates(examples.BunyaRidge)
	if err != nil {
		return nil, nil, err
	}
	f, err := local.Start(local.Options{
		Name: set.Fleet, Zones: zones(), Region: examples.BunyaRidgeRegion, Seed: 1,
		DiscoveryMaxAge: time.Second, StopTimeout: 10 * time.Second, ListLag: time.Second,
	})
	if err != nil {
		return nil, nil, err
	}
	if err := populate(f, set, instances); err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	return f, set, nil
}

func zones() []fleet.Zone {
	var all []fleet.Zone
	for _, z := range examples.BunyaRidgeZones {
		all = append(all, fleet.Zone(z))
	}
	return all
}

func populate(f *local.Fleet, set *template.Set, instances int) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, s := range set.Services {
		for i := range set.Sizes[s.Name].Endpoints {
			spec := upstream.Spec{Service: s.Name, Zone: zones()[i%len(zones())], Slots: set.Sizes[s.Name].SlotsPerEndpoint}
			if _, err := f.Host.Add(spec); err != nil {
				return err
			}
		}
	}
	accepted, err := f.Apply(ctx, rollout.Change{Services: set.Services, Accounts: set.Accounts}, "first")
	if err != nil {
		return err
	}
	for i := range instances {
		if _, err := f.Add(zones()[i%len(zones())]); err != nil {
			return err
		}
	}
	if err := f.WaitReady(ctx, accepted.Revision); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

// observation is what a fleet did in a window.
type observation struct {
	sentBytes, messages, core, calls float64 // Each a second; the first three of one instance.
}

// observe counts for a window, in which event happens every churnInterval.
func observe(f *local.Fleet, window time.Duration, event func()) observation {
	running := f.Instances()
	links := linkStats(running)
	calls := f.Platform.Counts().Total
	cpu := processorTime()
	begin := time.Now()
	for time.Since(begin) < window {
		time.Sleep(churnInterval)
		if event != nil {
			event()
		}
	}
	seconds := time.Since(begin).Seconds()
	var o observation
	kept := 0
	for i, in := range running {
		if isEnded(in) {
			continue
		}
		now := in.Node().LinkStats()
		o.sentBytes += float64(now.SentBytes-links[i].SentBytes) / seconds
		o.messages += float64(now.Sent-links[i].Sent) / seconds
		kept++
	}
	o.sentBytes /= float64(kept)
	o.messages /= float64(kept)
	o.core = (processorTime() - cpu).Seconds() / seconds / float64(len(running))
	o.calls = float64(f.Platform.Counts().Total-calls) / seconds
	return o
}

func isEnded(in *local.Instance) bool {
	select {
	case <-in.Ended():
		return true
	default:
		return false
	}
}

func linkStats(instances []*local.Instance) []peer.Stats {
	var all []peer.Stats
	for _, in := range instances {
		all = append(all, in.Node().LinkStats())
	}
	return all
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// replaceOne kills the instance that runs for longest and starts another in its zone.
func replaceOne(f *local.Fleet) {
	oldest := f.Instances()[0]
	oldest.Kill()
	if _, err := f.Add(oldest.Zone); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// changeTimes makes changes one after another and returns the sorted times from the
// acceptance of each until every instance serves it.
func changeTimes(f *local.Fleet, set *template.Set, name string, changes int) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	var times []time.Duration
	for i := range changes {
		s := set.Services[0]
		s.Deadline += time.Duration(i+1) * time.Millisecond
		accepted, err := f.Apply(ctx, rollout.Change{Services: []rollout.ServiceTemplate{s}}, fmt.Sprintf("%s-%d", name, i))
		if err != nil {
			return nil, err
		}
		begin := time.Now()
		for !inForce(f, accepted.Revision) {
			if ctx.Err() != nil {
				return nil, fmt.Errorf("revision %d is not in force everywhere: %w", accepted.Revision, ctx.Err())
			}
			time.Sleep(forcePoll)
		}
		times = append(times, time.Since(begin))
	}
	slices.Sort(times)
	return times, nil
}

func inForce(f *local.Fleet, revision fleet.Revision) bool {
	for _, in := range f.Instances() {
		if in.Node().Revision() < revision {
			return false
		}
	}
	return true
}

func (o observation) print(instances int, state string, times []time.Duration) {
	fmt.Printf("| %d | %s | %.0f | %.1f | %.2f%% | %.1f | %.1f | %.1f |\n", instances, state,
		o.sentBytes, o.messages, 100*o.core, o.calls, quantile(times, 0.5), quantile(times, 0.99))
}

func quantile(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1)+0.5)].Microseconds()) / 1000
}
