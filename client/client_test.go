package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/result"
)

// behaviour is how a fake entry handles one request.
type behaviour int

const (
	answersRan behaviour = iota
	answersStopping
	answersRelayFailed
	answersIncarnation
	answersAttemptNotRun // Rejects the attempt, which says nothing about the key.
	answersShed
	runsAndTruncates
	runsAndCloses
	closesBeforeRunning
	behaviours
)

// fakeFleet is two entries that share a record of the requests that ran.
type fakeFleet struct {
	mu          sync.Mutex
	plan        []behaviour // Of the next requests, in order; answersRan after that.
	runs        int
	ranKeys     map[string]bool
	keys        []string
	discoveries int
	servers     []*httptest.Server
}

func newFakeFleet(t interface{ Cleanup(func()) }) *fakeFleet {
	f := &fakeFleet{ranKeys: make(map[string]bool)}
	for range 2 {
		f.servers = append(f.servers, httptest.NewServer(f))
	}
	t.Cleanup(f.close)
	return f
}

func (f *fakeFleet) close() {
	for _, s := range f.servers {
		s.Close()
	}
}

// fleetRecord is what a fake fleet received and ran.
type fleetRecord struct {
	runs, discoveries int
	keys              []string
}

func (f *fakeFleet) record() fleetRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fleetRecord{runs: f.runs, discoveries: f.discoveries, keys: append([]string(nil), f.keys...)}
}

func (f *fakeFleet) addresses() []string {
	var out []string
	for _, s := range f.servers {
		out = append(out, strings.TrimPrefix(s.URL, "http://"))
	}
	return out
}

func (f *fakeFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == DiscoverPath {
		f.discover(w)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	key := r.Header.Get(HeaderKey)
	f.keys = append(f.keys, key)
	next := answersRan
	if len(f.plan) > 0 {
		next, f.plan = f.plan[0], f.plan[1:]
	}
	f.behave(w, key, next)
}

func (f *fakeFleet) discover(w http.ResponseWriter) {
	f.discoveries++
	d := Discovery{MaxAgeMS: 60_000, Ticket: fmt.Sprint("ticket", f.discoveries), Revision: 1}
	for _, address := range f.addresses() {
		d.Entries = append(d.Entries, Entry{Address: address})
	}
	_ = json.NewEncoder(w).Encode(d)
}

// run records an execution, unless the key has run before.
func (f *fakeFleet) run(key string) {
	if key != "" && f.ranKeys[key] {
		return
	}
	f.ranKeys[key] = true
	f.runs++
}

func (f *fakeFleet) behave(w http.ResponseWriter, key string, b behaviour) {
	switch b {
	case answersRan:
		f.run(key)
		w.Header().Set(HeaderCode, strconv.Itoa(int(result.CodeAnswered)))
		w.Header().Set(HeaderExecution, ExecutionRan)
		_, _ = io.WriteString(w, "whole")
	case answersStopping:
		writeRejection(w, result.CodeStopping)
	case answersRelayFailed:
		f.run(key)
		writeRejection(w, result.CodeRelayFailed)
	case answersIncarnation:
		writeRejection(w, result.CodeTicketIncarnation)
	case answersAttemptNotRun:
		writeRejection(w, result.CodeAttemptNotRun)
	case answersShed:
		if f.ranKeys[key] && key != "" {
			writeRejection(w, result.CodeOutcomeUnknown)
			return
		}
		writeRejection(w, result.CodeShedQueueFull)
	case runsAndTruncates:
		f.run(key)
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case runsAndCloses:
		f.run(key)
		panic(http.ErrAbortHandler)
	case closesBeforeRunning:
		panic(http.ErrAbortHandler)
	}
}

func writeRejection(w http.ResponseWriter, code result.Code) {
	entry, _ := result.Lookup(code)
	w.Header().Set(HeaderCode, strconv.Itoa(int(code)))
	w.Header().Set(HeaderExecution, entry.Execution.String())
	w.WriteHeader(entry.Status)
}

func newTestClient(t interface{ Fatal(...any) }, f *fakeFleet) *Client {
	c, err := New(Options{Entries: f.addresses(), Account: "counter-1", Random: rand.New(rand.NewPCG(1, 1))})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestGuarantees draws requests and failures of entries, and compares the result of Do with what
// ran. It guards against requests that run twice, incomplete answers, and a reported execution
// that contradicts what ran.
func TestGuarantees(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFakeFleet(rt)
		c := newTestClient(rt, f)
		for range rapid.IntRange(0, 4).Draw(rt, "steps") {
			f.plan = append(f.plan, behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(rt, "behaviour")))
		}
		r := Request{Service: "orders", Method: http.MethodPost, URI: "/orders", Body: []byte("b")}
		r.Idempotent = rapid.Bool().Draw(rt, "idempotent")
		r.Unkeyed = rapid.Bool().Draw(rt, "unkeyed")
		answer, err := c.Do(context.Background(), r)
		execution := answer.Execution
		var none *NoAnswerError
		if errors.As(err, &none) {
			execution = none.Execution
		} else if err != nil {
			rt.Fatal(err)
		}
		got := f.record()
		if !r.Idempotent && got.runs > 1 {
			rt.Fatalf("ran %d times, keys %v", f.record().runs, f.record().keys)
		}
		if execution == ExecutionNotRun && f.record().runs > 0 {
			rt.Fatalf("reported not run, ran %d times, keys %v", f.record().runs, f.record().keys)
		}
		if execution == ExecutionRan && f.record().runs == 0 {
			rt.Fatal("reported ran, never ran")
		}
		if execution == ExecutionRan && string(answer.Body) != "whole" {
			rt.Fatalf("incomplete answer: %q", answer.Body)
		}
		if execution == "" {
			rt.Fatalf("no execution reported: %+v %v", answer, err)
		}
	})
}

func TestRetryKeepsTheKey(t *testing.T) {
	f := newFakeFleet(t)
	f.plan = []behaviour{runsAndCloses}
	answer, err := newTestClient(t, f).Do(context.Background(), Request{Service: "s", Method: http.MethodPost, URI: "/o"})
	if err != nil || answer.Attempts != 2 || len(f.record().keys) != 2 || f.record().keys[0] != f.record().keys[1] || f.record().runs != 1 {
		t.Fatalf("%+v %v, keys %v, runs %d", answer, err, f.record().keys, f.record().runs)
	}
}

func TestRejectedTicketGetsANewKey(t *testing.T) {
	f := newFakeFleet(t)
	f.plan = []behaviour{answersIncarnation}
	answer, err := newTestClient(t, f).Do(context.Background(), Request{Service: "s", Method: http.MethodPost, URI: "/o"})
	if err != nil || answer.Execution != ExecutionRan || f.record().keys[0] == f.record().keys[1] || f.record().discoveries != 2 {
		t.Fatalf("%+v %v, keys %v", answer, err, f.record().keys)
	}
}

func TestUnkeyedOrderIsSentOnce(t *testing.T) {
	f := newFakeFleet(t)
	f.plan = []behaviour{runsAndCloses}
	_, err := newTestClient(t, f).Do(context.Background(), Request{Service: "s", Method: http.MethodPost, URI: "/o", Unkeyed: true})
	var none *NoAnswerError
	if !errors.As(err, &none) || none.Execution != ExecutionUnknown || len(f.record().keys) != 1 {
		t.Fatalf("%v, %d sends", err, len(f.record().keys))
	}
}

func TestDiscoveryIsCachedForItsMaxAge(t *testing.T) {
	f := newFakeFleet(t)
	now := time.Unix(0, 0)
	c, err := New(Options{Entries: f.addresses(), Account: "a", Now: func() time.Time { return now }})
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {59 * time.Second, 1}, {time.Second, 2}} {
		now = now.Add(step.after)
		if _, err := c.Discover(context.Background(), "s"); err != nil || f.record().discoveries != step.want {
			t.Fatalf("after %v: %d discoveries, %v", step.after, f.record().discoveries, err)
		}
	}
}

func TestDiscoveryTriesAnotherEntry(t *testing.T) {
	f := newFakeFleet(t)
	f.servers[0].Close()
	c := newTestClient(t, f)
	answer, err := c.Do(context.Background(), Request{Service: "s", Method: http.MethodGet, URI: "/", Idempotent: true})
	if err != nil || answer.Execution != ExecutionRan {
		t.Fatalf("%+v %v", answer, err)
	}
}

func TestNoEntry(t *testing.T) {
	f := newFakeFleet(t)
	f.close()
	_, err := newTestClient(t, f).Do(context.Background(), Request{Service: "s", Method: http.MethodGet, URI: "/"})
	if !errors.Is(err, ErrNoEntry) {
		t.Fatal(err)
	}
}

func TestInvalidDiscoveryResponses(t *testing.T) {
	for _, text := range []string{"", "{", "{}", `{"entries":[{"address":"localhost:80"}]}`, `{"entries":[]}`} {
		if _, err := parseDiscovery("192.0.2.1:80", []byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
	for _, entries := range [][]string{nil, {"localhost:80"}} {
		if _, err := New(Options{Entries: entries}); err == nil {
			t.Errorf("entries %v were accepted", entries)
		}
	}
}

func FuzzParseDiscovery(f *testing.F) {
	f.Add([]byte(`{"entries":[{"address":"127.0.0.1:80","zone":"z"}],"max_age_ms":1000,"ticket":"t","revision":1}`))
	f.Add([]byte(`{"entries":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if d, err := parseDiscovery("192.0.2.1:80", data); err == nil && len(d.Entries) == 0 {
			t.Fatalf("accepted without an entry: %q", data)
		}
	})
}
