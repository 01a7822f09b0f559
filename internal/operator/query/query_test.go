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

// fakeInstance serves a status that a test changes.
type fakeInstance struct {
	status atomic.Pointer[api.Status]
	asked  atomic.Int64
	client *Client
}

func newInstance(t *testing.T, id fleet.InstanceID, revision fleet.Revision, members ...api.Member) *fakeInstance {
	t.Helper()
	f := &fakeInstance{}
	f.set(id, revision, members...)
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	client, err := New(strings.TrimPrefix(server.URL, "http://"), token)
	if err != nil {
		t.Fatal(err)
	}
	f.client = client
	return f
}

func (f *fakeInstance) set(id fleet.InstanceID, revision fleet.Revision, members ...api.Member) {
	f.status.Store(&api.Status{Self: fleet.Instance{Ref: fleet.Ref{ID: id, Incarnation: 1}}, Phase: api.PhaseServing, Revision: revision, Members: members})
}

func (f *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.asked.Add(1)
	if r.Header.Get("Authorization") != "Bearer "+token {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	if r.URL.Path == api.PathExplain {
		_ = json.NewEncoder(w).Encode(api.Explanation{Method: r.URL.Query().Get(api.ParamMethod), Path: r.URL.Query().Get(api.ParamPath)})
		return
	}
	_ = json.NewEncoder(w).Encode(f.status.Load())
}

func member(id fleet.InstanceID, status string, revision fleet.Revision) api.Member {
	return api.Member{Instance: fleet.Instance{Ref: fleet.Ref{ID: id}}, Status: status, Revision: revision}
}

func TestFollowWaitsForEveryLiveInstance(t *testing.T) {
	a := newInstance(t, "a", 5, member("c", "alive", 4), member("d", "dead", 1), member("e", "leaving", 1))
	b := newInstance(t, "b", 4)
	go func() {
		for a.asked.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		b.set("b", 5)
		a.set("a", 5, member("c", "alive", 5))
	}()
	live, err := Follow(context.Background(), []*Client{a.client, b.client}, 5)
	if err != nil || live != 3 {
		t.Fatalf("%d live, %v", live, err)
	}
}

func TestFollowSaysWhoIsBehind(t *testing.T) {
	a := newInstance(t, "a", 5, member("c", "alive", 3), member("b", "alive", 5))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := Follow(ctx, []*Client{a.client}, 5)
	var behind *BehindError
	if !errors.As(err, &behind) || len(behind.Behind) != 1 || behind.Behind[0] != (Lag{Instance: "c", Revision: 3}) || behind.Live != 3 {
		t.Fatal(err)
	}
}

func TestFollowWithoutAnAnswer(t *testing.T) {
	client, err := New("127.0.0.1:1", token)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Follow(ctx, []*Client{client}, 1); !errors.Is(err, ErrBehind) || !strings.Contains(err.Error(), "no instance answered") {
		t.Fatal(err)
	}
}

func TestRefusedToken(t *testing.T) {
	a := newInstance(t, "a", 1)
	a.client.token = "wrong"
	if _, err := Follow(context.Background(), []*Client{a.client}, 1); !errors.Is(err, ErrNotAuthorized) {
		t.Fatal(err)
	}
	if _, err := a.client.Explain(context.Background(), "GET", "/", "a"); !errors.Is(err, ErrNotAuthorized) {
		t.Fatal(err)
	}
}

func TestExplainPassesItsQuestion(t *testing.T) {
	a := newInstance(t, "a", 1)
	got, err := a.client.Explain(context.Background(), "GET", "/stock?x=1&y", "a")
	if err != nil || got.Path != "/stock?x=1&y" || got.Method != "GET" {
		t.Fatalf("%+v %v", got, err)
	}
}

func TestAddressMustBeAnIPNumber(t *testing.T) {
	if _, err := New("localhost:80", token); err == nil {
		t.Fatal("taken")
	}
}
