// Command fleet measures whole fleets of real instances over loopback, in one process:
// the messages and CPU time of an instance while the fleet is idle and while instances are
// replaced, the calls to the platform, and the time until a configuration change is active
// on every instance.
//
// All instances share the process with the platform and upstream stand-ins. The CPU time per
// instance is the CPU time of the process divided by the number of instances, and so an upper
// bound.
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

// Times and intervals of the measurement.
const (
	readyTimeout       = 2 * time.Minute
	settleTime         = 10 * time.Second // From readiness to the first measurement.
	churnInterval      = 2 * time.Second  // Between two replacements of an instance.
	activePollInterval = time.Millisecond
	slowStoreDelay     = 300 * time.Millisecond // Of each call to the slow store.
)

func main() {
	sizes := flag.String("sizes", "12,24,44", "numbers of instances, separated by commas")
	window := flag.Duration("window", 20*time.Second, "duration of each measurement")
	changes := flag.Int("changes", 20, "configuration changes while the store is healthy")
	slow := flag.Int("slow-changes", 3, "configuration changes while the store is slow")
	flag.Parse()
	fmt.Println("| instances | state | sent B/s | messages/s | core share | calls of the platform/s | change p50 ms | change p99 ms |")
	fmt.Println("|---:|---|---:|---:|---:|---:|---:|---:|")
	for _, size := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(size)
		if err == nil {
			err = measureFleet(n, *window, *changes, *slow)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// measureFleet runs one fleet and prints its rows.
func measureFleet(instances int, window time.Duration, changes, slowChanges int) error {
	f, set, err := start(instances)
	if err != nil {
		return err
	}
	idle := measureWindow(f, window, nil)
	healthy, err := changeTimes(f, set, "healthy", changes)
	if err != nil {
		return errors.Join(err, f.Close())
	}
	idle.print(instances, "idle, store healthy", healthy)
	churned := measureWindow(f, window, func() { replaceOne(f) })
	f.Platform.UpdateFaults(func(faults *standin.Faults) { faults.Delay = slowStoreDelay })
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
		Name: set.Fleet, Zones: allZones(), Region: examples.BunyaRidgeRegion, Seed: 1,
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

func allZones() []fleet.Zone {
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
			spec := upstream.Spec{Service: s.Name, Zone: allZones()[i%len(allZones())], Slots: set.Sizes[s.Name].SlotsPerEndpoint}
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
		if _, err := f.Add(allZones()[i%len(allZones())]); err != nil {
			return err
		}
	}
	if err := f.WaitReady(ctx, accepted.Revision); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// observation holds rates over a window, each per second. The first three are per instance.
type observation struct {
	sentBytes, messages, coreShare, platformCalls float64
}

// measureWindow measures for a window. It calls event, unless nil, every churnInterval. Instances
// that end within the window don't count for the messages.
func measureWindow(f *local.Fleet, window time.Duration, event func()) observation {
	instances := f.Instances()
	linksBefore := linkStats(instances)
	callsBefore := f.Platform.Counts().Total
	cpuBefore := cpuTime()
	begin := time.Now()
	for time.Since(begin) < window {
		time.Sleep(churnInterval)
		if event != nil {
			event()
		}
	}
	seconds := time.Since(begin).Seconds()
	var o observation
	measured := 0
	for i, in := range instances {
		if hasEnded(in) {
			continue
		}
		after := in.Node().LinkStats()
		o.sentBytes += float64(after.SentBytes-linksBefore[i].SentBytes) / seconds
		o.messages += float64(after.Sent-linksBefore[i].Sent) / seconds
		measured++
	}
	o.sentBytes /= float64(measured)
	o.messages /= float64(measured)
	o.coreShare = (cpuTime() - cpuBefore).Seconds() / seconds / float64(len(instances))
	o.platformCalls = float64(f.Platform.Counts().Total-callsBefore) / seconds
	return o
}

func hasEnded(in *local.Instance) bool {
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

// cpuTime returns the user and system time of the process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// replaceOne kills the oldest instance and starts another in its zone.
func replaceOne(f *local.Fleet) {
	oldest := f.Instances()[0]
	oldest.Kill()
	if _, err := f.Add(oldest.Zone); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// changeTimes applies changes one after another and returns the sorted times from the acceptance
// of each until it is active on every instance.
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
		for !isActive(f, accepted.Revision) {
			if ctx.Err() != nil {
				return nil, fmt.Errorf("revision %d is not active on every instance: %w", accepted.Revision, ctx.Err())
			}
			time.Sleep(activePollInterval)
		}
		times = append(times, time.Since(begin))
	}
	slices.Sort(times)
	return times, nil
}

func isActive(f *local.Fleet, revision fleet.Revision) bool {
	for _, in := range f.Instances() {
		if in.Node().Revision() < revision {
			return false
		}
	}
	return true
}

func (o observation) print(instances int, state string, times []time.Duration) {
	fmt.Printf("| %d | %s | %.0f | %.1f | %.2f%% | %.1f | %.1f | %.1f |\n", instances, state,
		o.sentBytes, o.messages, 100*o.coreShare, o.platformCalls, quantile(times, 0.5), quantile(times, 0.99))
}

func quantile(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1)+0.5)].Microseconds()) / 1000
}
