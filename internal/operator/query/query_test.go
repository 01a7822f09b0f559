package query

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/operator/api"
)

const token = "0123456789abcdef"

// fakeInstance serves a status that tests can change.
type fakeInstance struct {
	status   atomic.Pointer[api.Status]
	requests atomic.Int64
	client   *Client
}

func newInstance(t *testing.T, id fleet.InstanceID, revision fleet.Revision) *fakeInstance {
	t.Helper()
	f := &fakeInstance{}
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	client, err := New(strings.TrimPrefix(server.URL, "http://"), token)
	if err != nil {
		t.Fatal(err)
	}
	f.client = client
	self := fleet.Instance{Ref: fleet.Ref{ID: id, Incarnation: 1}, OperatorAddr: client.Address()}
	f.status.Store(&api.Status{Self: self, Phase: api.PhaseServing, Revision: revision})
	return f
}

// set changes the active revision and, if any are given, the members.
func (f *fakeInstance) set(revision fleet.Revision, members ...api.Member) {
	status := *f.status.Load()
	status.Revision = revision
	if len(members) > 0 {
		status.Members = members
	}
	f.status.Store(&status)
}

func (f *fakeInstance) member(status string) api.Member {
	return api.Member{Instance: f.status.Load().Self, Status: status}
}

func (f *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.requests.Add(1)
	if r.Header.Get("Authorization") != "Bearer "+token {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	status := f.status.Load()
	switch r.URL.Path {
	case api.PathExplain:
		_ = json.NewEncoder(w).Encode(api.Explanation{Method: r.URL.Query().Get(api.ParamMethod), Path: r.URL.Query().Get(api.ParamPath)})
	case api.PathActiveConfig:
		_ = json.NewEncoder(w).Encode(api.ActiveConfig{Self: status.Self.Ref, Phase: status.Phase, Revision: status.Revision})
	default:
		_ = json.NewEncoder(w).Encode(status)
	}
}

func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func TestWaitForRevisionPollsEveryLiveInstance(t *testing.T) {
	a, b, c, d, e := newInstance(t, "a", 5), newInstance(t, "b", 4), newInstance(t, "c", 4), newInstance(t, "d", 1), newInstance(t, "e", 1)
	a.set(5, b.member("alive"), c.member("suspect"), d.member("dead"), e.member("leaving"))
	go func() {
		for b.requests.Load()+c.requests.Load() < 2 {
			time.Sleep(time.Millisecond)
		}
		b.set(5)
		c.set(6)
	}()
	live, err := WaitForRevision(context.Background(), []*Client{a.client}, 5)
	if err != nil || live != 3 || d.requests.Load()+e.requests.Load() != 0 {
		t.Fatalf("%d live, %v", live, err)
	}
}

func TestWaitForRevisionReportsBehindInstances(t *testing.T) {
	a, b, c := newInstance(t, "a", 5), newInstance(t, "b", 5), newInstance(t, "c", 3)
	withoutAddress := api.Member{Instance: fleet.Instance{Ref: fleet.Ref{ID: "d"}}, Status: "alive"}
	replaced := b.member("alive")
	replaced.Instance.Ref.Incarnation = 9
	a.set(5, b.member("alive"), c.member("alive"), withoutAddress, replaced)
	_, err := WaitForRevision(canceledContext(), []*Client{a.client}, 5)
	var behind *BehindError
	if !errors.As(err, &behind) || behind.Live != 5 || len(behind.Behind) != 3 {
		t.Fatal(err)
	}
	for i, want := range []string{"b at revision 0 (its address now belongs to b#1)", "c at revision 3", "d at revision 0 (its operator address is unknown)"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%d: %q is missing from %v", i, want, err)
		}
	}
}

func TestWaitForRevisionWithoutResponse(t *testing.T) {
	client, err := New("127.0.0.1:1", token)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := WaitForRevision(canceledContext(), []*Client{client}, 1); !errors.Is(err, ErrBehind) || !strings.Contains(err.Error(), "no instance responded") {
		t.Fatal(err)
	}
}

func TestRejectedToken(t *testing.T) {
	a := newInstance(t, "a", 1)
	a.client.token = "wrong"
	if _, err := WaitForRevision(context.Background(), []*Client{a.client}, 1); !errors.Is(err, ErrNotAuthorized) {
		t.Fatal(err)
	}
	if _, err := a.client.Explain(context.Background(), "GET", "/", "a"); !errors.Is(err, ErrNotAuthorized) {
		t.Fatal(err)
	}
}

func TestExplainSendsMethodAndPath(t *testing.T) {
	a := newInstance(t, "a", 1)
	got, err := a.client.Explain(context.Background(), "GET", "/stock?x=1&y", "a")
	if err != nil || got.Path != "/stock?x=1&y" || got.Method != "GET" {
		t.Fatalf("%+v %v", got, err)
	}
}

func TestAddressMustBeAnIPAddress(t *testing.T) {
	if _, err := New("localhost:80", token); err == nil {
		t.Fatal("a host name was accepted")
	}
}
