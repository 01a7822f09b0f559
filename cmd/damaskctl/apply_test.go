package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
	"github.com/damaskcove/damaskcove/internal/operate"
	"github.com/damaskcove/damaskcove/internal/operator/api"
)

// testStore is a platform stand-in and the templates of one operator.
type testStore struct {
	t        *testing.T
	server   *standin.Server
	template string
}

func newStore(t *testing.T) testStore {
	t.Helper()
	server, err := standin.Serve(standin.New(standin.Options{}), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return testStore{t: t, server: server}.withNewOperator()
}

// withNewOperator returns the same store with fresh templates of another operator.
func (s testStore) withNewOperator() testStore {
	s.t.Helper()
	data, err := os.ReadFile("../../examples/qalqan/templates.toml")
	if err != nil {
		s.t.Fatal(err)
	}
	dir := s.t.TempDir()
	s.template = writeFile(s.t, filepath.Join(dir, "templates.toml"), string(data))
	return s
}

func (s testStore) edit(from, to string) {
	s.t.Helper()
	data, err := os.ReadFile(s.template)
	if err != nil {
		s.t.Fatal(err)
	}
	if !strings.Contains(string(data), from) {
		s.t.Fatalf("%q is missing from the templates", from)
	}
	writeFile(s.t, s.template, strings.Replace(string(data), from, to, 1))
}

func (s testStore) run(command string, flags ...string) commandResult {
	return runCommand(context.Background(), append([]string{command, filepath.Dir(s.template), "--platform", s.server.Addr(), "--timeout", "10s"}, flags...)...)
}

func (s testStore) config() *rollout.Config {
	s.t.Helper()
	config, err := operate.Load(context.Background(), s.server.Platform(), "qalqan")
	if err != nil {
		s.t.Fatal(err)
	}
	return config
}

func (r commandResult) expect(t *testing.T, exit int, texts ...string) {
	t.Helper()
	if r.exit != exit {
		t.Fatalf("exit %d, want %d\n%s\n%s", r.exit, exit, r.stdout, r.stderr)
	}
	for _, text := range texts {
		if !strings.Contains(r.stdout+r.stderr, text) {
			t.Fatalf("%q is missing from\n%s\n%s", text, r.stdout, r.stderr)
		}
	}
}

func TestApplyChangesOnlyWhatWasEdited(t *testing.T) {
	s := newStore(t)
	s.run("apply").expect(t, exitDone, "accepted as revision 1")
	s.run("apply").expect(t, exitDone, "nothing to change at revision 1")
	s.edit("floor_slots = 27", "floor_slots = 30")
	s.run("diff").expect(t, exitDone, "changed here: 1", "floor_slots: 27 -> 30", "changed by others: 0")
	s.run("apply").expect(t, exitDone, "changes: 1", "accepted as revision 2")
	if got := s.config().Services["cuts"].FloorSlots; got != 30 {
		t.Fatalf("floor %d", got)
	}
}

func TestConflictPrintsOtherOperatorsChange(t *testing.T) {
	a := newStore(t)
	a.run("apply").expect(t, exitDone)
	b := a.withNewOperator()
	b.run("apply").expect(t, exitConflict, "--rebase")
	b.run("apply", "--rebase").expect(t, exitDone, "nothing to change")
	b.edit("floor_slots = 27", "floor_slots = 30")
	b.run("apply").expect(t, exitDone, "revision 2")
	a.edit("floor_slots = 27", "floor_slots = 21")
	a.run("apply").expect(t, exitConflict, "2201 config-conflict", "floor_slots: 27 -> 30")
	a.run("diff").expect(t, exitDone, "changed by others: 1")
	if got := a.config().Services["cuts"].FloorSlots; got != 30 {
		t.Fatalf("floor %d after a conflict", got)
	}
}

func TestOperatorsWhoChangeDifferentTemplatesBothSucceed(t *testing.T) {
	a := newStore(t)
	a.run("apply").expect(t, exitDone)
	b := a.withNewOperator()
	b.edit("floor_slots = 27", "floor_slots = 30")
	b.run("apply", "--rebase").expect(t, exitDone, "revision 2")
	a.edit("weight = 4", "weight = 5")
	a.run("apply").expect(t, exitDone, "revision 3")
	a.edit("weight = 5", "weight = 6")
	a.run("apply").expect(t, exitDone, "revision 4")
	if got := a.config(); got.Services["cuts"].FloorSlots != 30 || got.Accounts["regional-warehouse"].Weight != 6 {
		t.Fatalf("floor %d, weight %d", got.Services["cuts"].FloorSlots, got.Accounts["regional-warehouse"].Weight)
	}
	a.edit("floor_slots = 27", "floor_slots = 21")
	a.run("apply").expect(t, exitConflict, "floor_slots: 27 -> 30")
}

func TestLostReplyDoesNotApplyTwice(t *testing.T) {
	s := newStore(t)
	s.server.Platform().UpdateFaults(func(f *standin.Faults) { f.LoseReplies = 1 })
	s.run("apply").expect(t, exitDone, "accepted as revision 1")
	if got := s.config().Revision; got != 1 {
		t.Fatalf("revision %d", got)
	}
}

func TestApplyWithChangeIDSurvivesLostReplies(t *testing.T) {
	s := newStore(t)
	s.server.Platform().UpdateFaults(func(f *standin.Faults) { f.LoseReplies = 1_000_000 })
	first := runCommand(context.Background(), "apply", s.template, "--platform", s.server.Addr(), "--timeout", "10s", "--change-id", "c1")
	first.expect(t, exitDone, "accepted as revision 1")
	s.server.Platform().UpdateFaults(func(f *standin.Faults) { f.LoseReplies = 0; f.Store = standin.OutageDrop })
	s.edit("floor_slots = 27", "floor_slots = 30")
	runCommand(context.Background(), "apply", s.template, "--platform", s.server.Addr(), "--timeout", "1s").expect(t, exitUnavailable, "2400")
}

func TestWrapErrorAfterUnknownWrite(t *testing.T) {
	s := &unknownWriteRecorder{Store: standin.New(standin.Options{Faults: standin.Faults{LoseReplies: 1}})}
	_, _ = s.CompareAndSwap(context.Background(), "k", 0, nil, 0)
	if got := classify(s.wrapError(context.DeadlineExceeded, "c1")); got.exit != exitUnknown || !strings.Contains(got.Error(), "--change-id c1") {
		t.Fatalf("%+v", got)
	}
	if got := classify(s.wrapError(&operate.ConflictError{}, "c1")); got.exit != exitConflict {
		t.Fatalf("%+v", got)
	}
}

// serveStatus serves the operator endpoints of an instance whose members include a dead one.
func serveStatus(t *testing.T, revision fleet.Revision) string {
	t.Helper()
	self := fleet.Instance{Ref: fleet.Ref{ID: "entry-9", Incarnation: 1}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		if r.URL.Path == api.PathActiveConfig {
			_ = json.NewEncoder(w).Encode(api.ActiveConfig{Self: self.Ref, Revision: revision})
			return
		}
		status := api.Status{Fleet: "qalqan", Self: self, Phase: api.PhaseServing, Revision: revision}
		status.Members = []api.Member{{Instance: fleet.Instance{Ref: fleet.Ref{ID: "entry-8"}}, Status: "dead"}}
		_ = json.NewEncoder(w).Encode(status)
	}))
	t.Cleanup(server.Close)
	self.OperatorAddr = strings.TrimPrefix(server.URL, "http://")
	return self.OperatorAddr
}

func TestApplyWaitsOrReportsBehindInstances(t *testing.T) {
	s := newStore(t)
	token := writeFile(t, filepath.Join(t.TempDir(), "token"), "secret\n")
	s.run("apply", "--wait", "--operator", serveStatus(t, 1), "--token-file", token).expect(t, exitDone, "active on all 1 live instances")
	s.edit("floor_slots = 27", "floor_slots = 30")
	s.run("apply", "--wait", "--operator", serveStatus(t, 1), "--token-file", token, "--timeout", "1s").expect(t, exitBehind, "accepted as revision 2", "entry-9 at revision 1")
	s.run("apply", "--wait", "--operator", serveStatus(t, 1)).expect(t, exitNotAuthorized, "2502 not-authorized")
}

func TestStatusAndExplainPrint(t *testing.T) {
	t.Setenv(tokenVariable, "secret")
	address := serveStatus(t, 4)
	runCommand(context.Background(), "status", "--operator", address).expect(t, exitDone, "instance entry-9#1 of fleet qalqan", "entry-8")
	runCommand(context.Background(), "status", "--operator", address, "--report", "json").expect(t, exitDone, `"revision":4`)
	runCommand(context.Background(), "explain", "/fabrics", "--account", "x", "--operator", address).expect(t, exitDone, "carried here")
}

func TestManyDifferencesAreTruncated(t *testing.T) {
	s := newStore(t)
	var names []string
	for i := range 2 * maxDifferences {
		names = append(names, fmt.Sprintf("%q", fmt.Sprint("more-", i)))
	}
	s.edit("[accounts.tablets]", "[accounts.many]\ntemplate = \"tablet\"\nnames = ["+strings.Join(names, ", ")+"]\n[accounts.tablets]")
	s.run("diff").expect(t, exitDone, "more; --all shows them")
	if got := s.run("diff", "--all"); strings.Count(got.stdout, "account more-") != 2*maxDifferences {
		t.Fatalf("%s", got.stdout)
	}
}
