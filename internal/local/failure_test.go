package local

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/membership"
	"github.com/damaskcove/damaskcove/coord/rollout"
	platformclient "github.com/damaskcove/damaskcove/internal/metastore/client"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
	"github.com/damaskcove/damaskcove/internal/operate"
	"github.com/damaskcove/damaskcove/internal/storekeys"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// traffic sends orders from several callers until it is stopped.
type traffic struct {
	fleet    *Fleet
	watch    *CutOffCounter
	stop     chan struct{}
	wait     sync.WaitGroup
	answered atomic.Int64

	mu      sync.Mutex
	beliefs []upstream.CallerResult
	errors  []error
}

func startTraffic(t *testing.T, f *Fleet, callers int) *traffic {
	t.Helper()
	r := &traffic{fleet: f, watch: NewCutOffCounter(), stop: make(chan struct{})}
	for n := range callers {
		c := newWatchedCaller(t, f, r.watch, f.opts.Zones[n%len(f.opts.Zones)])
		r.wait.Go(func() { r.run(c, n) })
	}
	return r
}

func (r *traffic) run(c *client.Client, caller int) {
	for i := 0; ; i++ {
		select {
		case <-r.stop:
			return
		default:
			r.send(c, fmt.Sprintf("order-%d-%d", caller, i))
		}
	}
}

func (r *traffic) send(c *client.Client, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, err := ask(ctx, c, client.Request{Service: "drums", Method: "POST", URI: "/drums?" + upstream.ParamTime + "=20", Body: []byte(id)}, id)
	b := upstream.CallerResult{ID: id, NonIdempotent: true, Outcome: toldBy(a, err)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beliefs = append(r.beliefs, b)
	if b.Outcome == upstream.OutcomeAnswered {
		r.answered.Add(1)
	}
	if err != nil {
		r.errors = append(r.errors, err)
	}
}

func toldBy(a client.Answer, err error) upstream.Outcome {
	var none *client.NoAnswerError
	switch {
	case errors.As(err, &none) && none.Execution == client.ExecutionUnknown:
		return upstream.OutcomeUnknown
	case errors.As(err, &none), errors.Is(err, client.ErrNoEntry):
		return upstream.OutcomeNotRun
	case err != nil:
		return upstream.OutcomeNone
	case a.Execution == client.ExecutionRan:
		return upstream.OutcomeAnswered
	case a.Execution == client.ExecutionNotRun:
		return upstream.OutcomeNotRun
	default:
		return upstream.OutcomeUnknown
	}
}

// await waits until more orders have been answered.
func (r *traffic) await(t *testing.T, more int64) {
	t.Helper()
	want := r.answered.Load() + more
	eventually(t, fmt.Sprintf("%d orders answered", want), func() bool { return r.answered.Load() >= want })
}

// end stops the callers and compares what they were told with what the upstreams ran.
func (r *traffic) end(t *testing.T) upstream.Audit {
	t.Helper()
	close(r.stop)
	r.wait.Wait()
	audit := r.fleet.Host.Recorder().Audit(r.beliefs)
	if audit.Lost+audit.Duplicated+audit.FalseNotRun > 0 {
		t.Errorf("lost %d, doubled %d, falsely told not run %d of %d: %v; errors %v",
			audit.Lost, audit.Duplicated, audit.FalseNotRun, audit.Requests, audit.Violations, r.errors)
	}
	return audit
}

// eventually waits for a condition. The bound judges no speed: reaching it means never.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
	}
}

func changeDeadline(deadline time.Duration) rollout.Change {
	for _, s := range testChange().Services {
		if s.Name == "stock" {
			s.Deadline = deadline
			return rollout.Change{Services: []rollout.ServiceTemplate{s}}
		}
	}
	return rollout.Change{}
}

func TestPlannedStopCutsOffNoRequest(t *testing.T) {
	f := startFleet(t, 4)
	r := startTraffic(t, f, 8)
	r.await(t, 100)
	for range 2 {
		leaving := f.Instances()[1] // The only one of its zone, and so in use.
		r.watch.MarkStopping(leaving.Node().Self().EntryAddr)
		if err := leaving.Stop(); err != nil {
			t.Fatal(err)
		}
		r.await(t, 100)
	}
	audit := r.end(t)
	if cut := r.watch.Count(); cut > 0 {
		t.Errorf("planned stops cut off %d requests", cut)
	}
	if audit.Unknown > 0 || len(r.errors) > 0 {
		t.Errorf("%d orders are of unknown outcome, errors %v; want none through planned stops", audit.Unknown, r.errors)
	}
}

func TestKilledInstanceLosesAndDoublesNothing(t *testing.T) {
	f := startFleet(t, 5)
	r := startTraffic(t, f, 8)
	for range 2 {
		r.await(t, 100)
		f.Instances()[1].Kill() // The only one of its zone, and so in use.
	}
	r.await(t, 100)
	r.end(t)
}

func TestTrafficGoesOnWhileTheStoreIsAwayAndChangesFollowAfter(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(t, 3)
	r := startTraffic(t, f, 4)
	f.Platform.UpdateFaults(func(x *standin.Faults) { x.Store = standin.OutageDrop })
	r.await(t, 200)
	f.Platform.UpdateFaults(func(x *standin.Faults) {
		x.Store = standin.OutageNone
		x.LoseReplies = 1
	})
	accepted, err := f.Apply(ctx, changeDeadline(1500*time.Millisecond), "after-outage")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.WaitReady(ctx, accepted.Revision); err != nil {
		t.Fatal(err)
	}
	r.end(t)
	if accepted.Revision != 2 {
		t.Errorf("revision %d after one change, whose reply was lost once; want 2", accepted.Revision)
	}
}

func TestInstanceStartsFromItsPeersWhileTheStoreIsAway(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(t, 3)
	accepted, err := f.Apply(ctx, changeDeadline(time.Second), "second")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.WaitReady(ctx, accepted.Revision); err != nil {
		t.Fatal(err)
	}
	f.Platform.UpdateFaults(func(x *standin.Faults) { x.Store = standin.OutageRefuse })
	late, err := f.Add("z2")
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the new instance serves the revision of its peers", func() bool {
		return late.Node().Status().Revision == accepted.Revision
	})
}

func TestRevisionNeverGoesDownThroughRestartsAndOutages(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(t, 3)
	watch := watchRevisions(f)
	for i := range 4 {
		change := changeDeadline(time.Duration(1000+i) * time.Millisecond)
		accepted, err := f.Apply(ctx, change, fmt.Sprintf("change-%d", i))
		if err != nil {
			t.Fatal(err)
		}
		f.Platform.UpdateFaults(func(x *standin.Faults) { x.Store = standin.OutageRefuse })
		f.Instances()[0].Kill()
		if _, err := f.Add(f.opts.Zones[i%3]); err != nil {
			t.Fatal(err)
		}
		f.Platform.UpdateFaults(func(x *standin.Faults) { x.Store = standin.OutageNone })
		eventually(t, fmt.Sprintf("revision %d is in force everywhere", accepted.Revision), func() bool {
			for _, in := range f.Instances() {
				if in.Node().Status().Revision < accepted.Revision {
					return false
				}
			}
			return true
		})
	}
	if reverts := watch.end(); len(reverts) > 0 {
		t.Errorf("revisions went down: %v", reverts)
	}
}

// revisionWatch looks at every instance's revision again and again.
type revisionWatch struct {
	stop    chan struct{}
	done    chan struct{}
	reverts []string
}

func watchRevisions(f *Fleet) *revisionWatch {
	w := &revisionWatch{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		highest := make(map[*Instance]fleet.Revision)
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(time.Millisecond):
			}
			for _, in := range f.Instances() {
				r := in.Node().Status().Revision
				if r < highest[in] {
					w.reverts = append(w.reverts, fmt.Sprintf("%s from %d to %d", in.ID, highest[in], r))
				}
				highest[in] = max(highest[in], r)
			}
		}
	}()
	return w
}

func (w *revisionWatch) end() []string {
	close(w.stop)
	<-w.done
	return w.reverts
}

func TestSecondOperatorIsToldWhatTheFirstChanged(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(t, 1)
	store := platformclient.New(f.PlatformAddr(), "operators")
	defer store.Close()
	base, err := operate.Load(ctx, store, "test")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := operate.Apply(ctx, store, "test", base, changeDeadline(time.Second), "first-operator"); err != nil {
		t.Fatal(err)
	}
	_, err = operate.Apply(ctx, store, "test", base, changeDeadline(3*time.Second), "second-operator")
	var conflict *operate.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Differences) != 1 || conflict.Differences[0].Field != "deadline" {
		t.Fatalf("the second operator got %v, want a conflict that names the deadline", err)
	}
}

func TestLeavingUpstreamGetsNoNewWorkOnceItSaysSo(t *testing.T) {
	f := startFleet(t, 3)
	r := startTraffic(t, f, 6)
	r.await(t, 100)
	leaving := f.Host.ServiceEndpoints("drums")[0]
	leaving.Drain()
	eventually(t, "every instance knows that the endpoint leaves", func() bool { return knownLeaving(f, leaving.Addr()) })
	before := leaving.Stats().Received
	r.await(t, 300)
	if after := leaving.Stats().Received; after != before {
		t.Errorf("a leaving endpoint got %d requests after all instances knew", after-before)
	}
	r.end(t)
}

func knownLeaving(f *Fleet, e fleet.Endpoint) bool {
	for _, in := range f.Instances() {
		for _, s := range in.Node().Status().Services {
			for _, v := range s.Endpoints {
				if v.Upstream.Endpoint == e && v.State != "leaving" {
					return false
				}
			}
		}
	}
	return true
}

// TestOrdersGoOnWhileOneDirectionBetweenTheirInstancesIsDead keeps the direction dead until the
// instance at its end has said so: one silent vote makes a suspect, which goes on working.
func TestOrdersGoOnWhileOneDirectionBetweenTheirInstancesIsDead(t *testing.T) {
	f := startFleet(t, 4)
	instances := f.Instances()
	unheard := instances[0]
	f.BlockLink(unheard.ID, instances[1].ID)
	r := startTraffic(t, f, 6)
	r.await(t, 300)
	eventually(t, "every instance holds the unheard one suspect", func() bool {
		return !slices.ContainsFunc(instances, func(in *Instance) bool { return statusAt(in, unheard.ID) != "suspect" })
	})
	r.await(t, 300)
	f.UnblockLinks()
	r.await(t, 300)
	r.end(t)
	eventually(t, "all instances see each other alive", func() bool {
		return f.behind(1) == ""
	})
}

// statusAt returns what an instance holds another's status to be; empty when it is no member there.
func statusAt(in *Instance, of fleet.InstanceID) string {
	for _, m := range in.Node().Status().Members {
		if m.Instance.Ref.ID == of {
			return m.Status
		}
	}
	return ""
}

func TestSilentAndCutOffAnswersAreNeverPassedOnAsWhole(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(t, 2)
	for _, e := range f.Host.ServiceEndpoints("drums") {
		if err := e.SetFaults(upstream.Faults{CutOffShare: 0.4, SilentShare: 0.2, GarbageShare: 0.2}); err != nil {
			t.Fatal(err)
		}
	}
	c := newCaller(t, f)
	for i := range 100 {
		id := fmt.Sprintf("order-%d", i)
		a, err := ask(ctx, c, client.Request{Service: "drums", Method: "POST", URI: "/drums", Body: []byte(id)}, id)
		told := toldBy(a, err)
		starts := f.Host.Recorder().Starts(id)
		if told == upstream.OutcomeAnswered && a.Status != http.StatusOK || told == upstream.OutcomeNone {
			t.Errorf("%s: status %d, execution %s: %v", id, a.Status, a.Execution, err)
		}
		if starts > 1 || told == upstream.OutcomeNotRun && starts > 0 {
			t.Errorf("%s started %d times and its caller was told %d", id, starts, told)
		}
	}
}

// TestInstanceThatIsTakenOffTheRosterComesBackAsAnotherLife takes an instance off the roster, as
// the fleet does with one that was frozen for long.
func TestInstanceThatIsTakenOffTheRosterComesBackAsAnotherLife(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(t, 3)
	r := startTraffic(t, f, 6)
	r.await(t, 100)
	struck := f.Instances()[1]
	former := struck.Node().Self().Ref
	strike(ctx, t, f, former)
	if _, err := f.Add("z3"); err != nil { // Its join makes the fleet read the roster.
		t.Fatal(err)
	}
	eventually(t, "the instance runs as another life", func() bool {
		return struck.Node().Self().Ref.Incarnation > former.Incarnation
	})
	if err := f.WaitReady(ctx, 1); err != nil {
		t.Fatal(err)
	}
	r.await(t, 100)
	r.end(t)
}

// strike writes the next generation of the roster, without one life.
func strike(ctx context.Context, t *testing.T, f *Fleet, ref fleet.Ref) {
	t.Helper()
	key := storekeys.Keys{Fleet: f.opts.Name}.Roster()
	eventually(t, "the roster is written", func() bool {
		value, err := f.Platform.Get(ctx, key)
		if err != nil {
			t.Fatal(err)
		}
		var roster membership.Roster
		if err := cbor.Unmarshal(value.Data, &roster); err != nil {
			t.Fatal(err)
		}
		roster.Generation++
		roster.Instances = slices.DeleteFunc(roster.Instances, func(in fleet.Instance) bool { return in.Ref == ref })
		data, err := cbor.Marshal(roster)
		if err != nil {
			t.Fatal(err)
		}
		_, err = f.Platform.CompareAndSwap(ctx, key, value.Version, data, 0)
		return err == nil
	})
}
