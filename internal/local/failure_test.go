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

// traffic sends orders from several callers in parallel until it is stopped.
type traffic struct {
	fleet    *Fleet
	cutOffs  *CutOffCounter
	stop     chan struct{}
	wait     sync.WaitGroup
	answered atomic.Int64

	mu      sync.Mutex
	results []upstream.CallerResult
	errors  []error
}

func startTraffic(t *testing.T, f *Fleet, callers int) *traffic {
	t.Helper()
	r := &traffic{fleet: f, cutOffs: NewCutOffCounter(), stop: make(chan struct{})}
	for n := range callers {
		c := newCountedCaller(t, f, r.cutOffs, f.opts.Zones[n%len(f.opts.Zones)])
		r.wait.Go(func() { r.runCaller(c, n) })
	}
	return r
}

func (r *traffic) runCaller(c *client.Client, caller int) {
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
	a, err := sendRequest(ctx, c, client.Request{Service: "drums", Method: "POST", URI: "/drums?" + upstream.ParamTime + "=20", Body: []byte(id)}, id)
	result := upstream.CallerResult{ID: id, NonIdempotent: true, Outcome: outcomeOf(a, err)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
	if result.Outcome == upstream.OutcomeAnswered {
		r.answered.Add(1)
	}
	if err != nil {
		r.errors = append(r.errors, err)
	}
}

func outcomeOf(a client.Answer, err error) upstream.Outcome {
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

// waitAnswered waits until as many more orders have been answered.
func (r *traffic) waitAnswered(t *testing.T, more int64) {
	t.Helper()
	want := r.answered.Load() + more
	eventually(t, fmt.Sprintf("%d orders are answered", want), func() bool { return r.answered.Load() >= want })
}

// stopAndAudit stops the callers and compares their results with what the upstreams executed.
func (r *traffic) stopAndAudit(t *testing.T) upstream.Audit {
	t.Helper()
	close(r.stop)
	r.wait.Wait()
	audit := r.fleet.Host.Recorder().Audit(r.results)
	if audit.Lost+audit.Duplicated+audit.FalseNotRun > 0 {
		t.Errorf("%d lost, %d duplicated, %d falsely reported as not run, of %d requests: %v; errors %v",
			audit.Lost, audit.Duplicated, audit.FalseNotRun, audit.Requests, audit.Violations, r.errors)
	}
	return audit
}

// eventually waits for a condition. testTimeout is no performance target: a condition that
// has not come true by then is taken to be stuck.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
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
	r.waitAnswered(t, 100)
	for range 2 {
		leaving := f.Instances()[1] // The only instance of its zone, and therefore in use.
		r.cutOffs.MarkStopping(leaving.Node().Self().EntryAddr)
		if err := leaving.Stop(); err != nil {
			t.Fatal(err)
		}
		r.waitAnswered(t, 100)
	}
	audit := r.stopAndAudit(t)
	if n := r.cutOffs.Count(); n > 0 {
		t.Errorf("planned stops cut off %d requests", n)
	}
	if audit.Unknown > 0 || len(r.errors) > 0 {
		t.Errorf("%d orders are of unknown outcome, errors %v; want none through planned stops", audit.Unknown, r.errors)
	}
}

func TestKilledInstanceLosesAndDuplicatesNoRequest(t *testing.T) {
	f := startFleet(t, 5)
	r := startTraffic(t, f, 8)
	for range 2 {
		r.waitAnswered(t, 100)
		f.Instances()[1].Kill() // The only instance of its zone, and therefore in use.
	}
	r.waitAnswered(t, 100)
	r.stopAndAudit(t)
}

func TestTrafficContinuesDuringStoreOutageAndChangesApplyAfterwards(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(t, 3)
	r := startTraffic(t, f, 4)
	f.Platform.UpdateFaults(func(x *standin.Faults) { x.Store = standin.OutageDrop })
	r.waitAnswered(t, 200)
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
	r.stopAndAudit(t)
	if accepted.Revision != 2 {
		t.Errorf("revision %d after one change whose response was lost once; want 2", accepted.Revision)
	}
}

func TestInstanceStartsFromPeersDuringStoreOutage(t *testing.T) {
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

func TestRevisionNeverDecreasesAcrossRestartsAndOutages(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(t, 3)
	monitor := monitorRevisions(f)
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
		eventually(t, fmt.Sprintf("revision %d is active on every instance", accepted.Revision), func() bool {
			for _, in := range f.Instances() {
				if in.Node().Status().Revision < accepted.Revision {
					return false
				}
			}
			return true
		})
	}
	if reverts := monitor.stopAndReport(); len(reverts) > 0 {
		t.Errorf("revisions decreased: %v", reverts)
	}
}

// revisionMonitor polls the revision of every instance and records each decrease.
type revisionMonitor struct {
	stop    chan struct{}
	done    chan struct{}
	reverts []string
}

func monitorRevisions(f *Fleet) *revisionMonitor {
	m := &revisionMonitor{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(m.done)
		highest := make(map[*Instance]fleet.Revision)
		for {
			select {
			case <-m.stop:
				return
			case <-time.After(time.Millisecond):
			}
			for _, in := range f.Instances() {
				r := in.Node().Status().Revision
				if r < highest[in] {
					m.reverts = append(m.reverts, fmt.Sprintf("%s from %d to %d", in.ID, highest[in], r))
				}
				highest[in] = max(highest[in], r)
			}
		}
	}()
	return m
}

func (m *revisionMonitor) stopAndReport() []string {
	close(m.stop)
	<-m.done
	return m.reverts
}

func TestConflictingChangeNamesTheChangedField(t *testing.T) {
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
		t.Fatalf("the second operator's change returned %v, want a conflict that names the deadline", err)
	}
}

func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	f := startFleet(t, 3)
	r := startTraffic(t, f, 6)
	r.waitAnswered(t, 100)
	leaving := f.Host.ServiceEndpoints("drums")[0]
	leaving.Drain()
	eventually(t, "every instance reports the endpoint as leaving", func() bool { return allReportLeaving(f, leaving.Addr()) })
	before := leaving.Stats().Received
	r.waitAnswered(t, 300)
	if after := leaving.Stats().Received; after != before {
		t.Errorf("a draining endpoint received %d requests after every instance reported it as leaving", after-before)
	}
	r.stopAndAudit(t)
}

func allReportLeaving(f *Fleet, e fleet.Endpoint) bool {
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

// TestOrdersContinueDuringOneWayPartition blocks one link until the instance at its end has
// reported the other as unreachable. One such vote makes an instance suspect; a suspect
// instance must go on serving orders.
func TestOrdersContinueDuringOneWayPartition(t *testing.T) {
	f := startFleet(t, 4)
	instances := f.Instances()
	suspect := instances[0]
	f.BlockLink(suspect.ID, instances[1].ID)
	r := startTraffic(t, f, 6)
	r.waitAnswered(t, 300)
	eventually(t, "every instance reports the unreachable one as suspect", func() bool {
		return !slices.ContainsFunc(instances, func(in *Instance) bool { return statusAt(in, suspect.ID) != "suspect" })
	})
	r.waitAnswered(t, 300)
	f.UnblockLinks()
	r.waitAnswered(t, 300)
	r.stopAndAudit(t)
	eventually(t, "all instances consider each other alive", func() bool {
		return f.notReadyReason(1) == ""
	})
}

// statusAt returns the status of an instance in the member list of another; empty when it is not in the list.
func statusAt(in *Instance, of fleet.InstanceID) string {
	for _, m := range in.Node().Status().Members {
		if m.Instance.Ref.ID == of {
			return m.Status
		}
	}
	return ""
}

func TestIncompleteResponsesAreNeverForwardedAsComplete(t *testing.T) {
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
		a, err := sendRequest(ctx, c, client.Request{Service: "drums", Method: "POST", URI: "/drums", Body: []byte(id)}, id)
		outcome := outcomeOf(a, err)
		starts := f.Host.Recorder().Starts(id)
		if outcome == upstream.OutcomeAnswered && a.Status != http.StatusOK || outcome == upstream.OutcomeNone {
			t.Errorf("%s: status %d, execution %s: %v", id, a.Status, a.Execution, err)
		}
		if starts > 1 || outcome == upstream.OutcomeNotRun && starts > 0 {
			t.Errorf("%s started %d times and its caller's outcome is %d", id, starts, outcome)
		}
	}
}

// TestInstanceRemovedFromRosterRejoinsAsNewIncarnation removes a running instance from the roster,
// as the fleet does with one that was frozen for long.
func TestInstanceRemovedFromRosterRejoinsAsNewIncarnation(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(t, 3)
	r := startTraffic(t, f, 6)
	r.waitAnswered(t, 100)
	removed := f.Instances()[1]
	previous := removed.Node().Self().Ref
	removeFromRoster(ctx, t, f, previous)
	if _, err := f.Add("z3"); err != nil { // Its join makes the other instances read the roster.
		t.Fatal(err)
	}
	eventually(t, "the instance runs as a new incarnation", func() bool {
		return removed.Node().Self().Ref.Incarnation > previous.Incarnation
	})
	if err := f.WaitReady(ctx, 1); err != nil {
		t.Fatal(err)
	}
	r.waitAnswered(t, 100)
	r.stopAndAudit(t)
}

// removeFromRoster writes the next generation of the roster, without one incarnation.
func removeFromRoster(ctx context.Context, t *testing.T, f *Fleet, ref fleet.Ref) {
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
