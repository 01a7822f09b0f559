package load

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

func options() Options {
	return Options{
		Direct: []string{"127.0.0.1:1"}, Accounts: []fleet.Account{"a"}, Method: http.MethodGet, Path: "/stock",
		Rate: 500, Duration: 200 * time.Millisecond, Timeout: time.Minute, Outstanding: 1000, Seed: 1,
	}
}

func newHost(t *testing.T, spec upstream.Spec) (*upstream.Host, string) {
	t.Helper()
	h := upstream.NewHost(upstream.HostOptions{RecordIdempotent: true})
	t.Cleanup(func() { _ = h.Close() })
	spec.Service = "stock"
	e, err := h.Add(spec)
	if err != nil {
		t.Fatal(err)
	}
	return h, string(e.Addr())
}

func TestDirectCountsMatchTheUpstream(t *testing.T) {
	h, address := newHost(t, upstream.Spec{Slots: 1000, Median: 1, Spread: -1, ConnectTime: -1})
	o := options()
	o.Direct = []string{address}
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if report.Requests == 0 || report.Answered != report.Requests || report.Mixed != 0 || report.Path != "direct" {
		t.Fatalf("%+v", report)
	}
	if started := h.Recorder().Summary().Starts; started != report.Requests {
		t.Fatalf("%d requests, %d starts", report.Requests, started)
	}
}

func TestLatencyCountsFromTheScheduledStart(t *testing.T) {
	r := newRecorder()
	scheduled := time.Unix(0, 0)
	r.add(outcome{scheduled: scheduled, sent: scheduled.Add(time.Second), done: scheduled.Add(3 * time.Second), answered: true, code: "1000"})
	got := r.finish(pathFleet, 1, time.Second)
	for name, pair := range map[string][2]float64{
		"corrected":   {got.Corrected.P50, 3000},
		"uncorrected": {got.Uncorrected.P50, 2000},
		"delay":       {got.StartDelay.P50, 1000},
	} {
		if pair[0] < pair[1]*0.998 || pair[0] > pair[1]*1.002 {
			t.Errorf("%s: %v ms, want %v", name, pair[0], pair[1])
		}
	}
}

func TestScheduleDependsOnTheSeed(t *testing.T) {
	sumOfIntervals := func(seed uint64) time.Duration {
		g := &generator{options: Options{Rate: 1000}, random: rand.New(rand.NewPCG(seed, seed))}
		var sum time.Duration
		for range 10_000 {
			sum += g.nextInterval()
		}
		return sum
	}
	first, again, other := sumOfIntervals(1), sumOfIntervals(1), sumOfIntervals(2)
	if first != again || first == other {
		t.Fatal("the intervals do not depend on the seed alone")
	}
	if mean := first / 10_000; mean < 970*time.Microsecond || mean > 1030*time.Microsecond {
		t.Fatalf("mean interval %v at 1000 requests per second", mean)
	}
}

// blockingSender answers once the channel is closed.
type blockingSender chan struct{}

func (h blockingSender) send(context.Context, int, string) outcome {
	<-h
	return outcome{answered: true, code: codeNone}
}

func TestRequestsOverOutstandingAreNotSent(t *testing.T) {
	blocking := make(blockingSender)
	g := &generator{options: options(), sender: blocking, recorder: newRecorder(), inFlight: make(chan struct{}, 3)}
	g.random = rand.New(rand.NewPCG(1, 1))
	start := time.Now()
	g.run(context.Background(), start, start, start.Add(g.options.Duration))
	close(blocking)
	g.requests.Wait()
	report := g.recorder.finish(pathDirect, g.options.Rate, g.options.Duration)
	if report.Answered != 3 || report.NotSent == 0 || report.Requests != report.Answered+report.NotSent {
		t.Fatalf("%+v", report)
	}
}

func TestMixedAnswersAreCounted(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.HeaderRequestID, "another")
	}))
	defer server.Close()
	o := options()
	o.Direct = []string{strings.TrimPrefix(server.URL, "http://")}
	report, err := Run(context.Background(), o)
	if err != nil || report.Mixed != report.Requests || report.Mixed == 0 {
		t.Fatalf("%+v %v", report, err)
	}
}

func TestFleetUsesDiscovery(t *testing.T) {
	var discoveries atomic.Int64
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	mux.HandleFunc(client.DiscoverPath, func(w http.ResponseWriter, _ *http.Request) {
		discoveries.Add(1)
		_ = json.NewEncoder(w).Encode(client.Discovery{Entries: []client.Entry{{Address: address}}, MaxAgeMS: 60_000, Ticket: "t"})
	})
	mux.HandleFunc("/stock", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(client.HeaderCode, "1000")
		w.Header().Set(client.HeaderExecution, client.ExecutionRan)
		w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	})
	o := options()
	o.Direct, o.Entries, o.Service = nil, []string{address}, "stock"
	o.Accounts = []fleet.Account{"a", "b"}
	report, err := Run(context.Background(), o)
	if err != nil || report.Answered != report.Requests || report.Codes["1000"] != report.Requests || report.Mixed != 0 {
		t.Fatalf("%+v %v", report, err)
	}
	if discoveries.Load() != 2 {
		t.Fatalf("%d discoveries for 2 accounts", discoveries.Load())
	}
	var table bytes.Buffer
	if err := report.WriteTable(&table); err != nil || !strings.Contains(table.String(), "code 1000") {
		t.Fatalf("%s %v", table.String(), err)
	}
}

func TestValidateListsAllInvalidOptions(t *testing.T) {
	_, err := Run(context.Background(), Options{Entries: []string{"localhost:1"}, Method: "G T", Path: "stock", Keyed: true, Unkeyed: true, Body: -1})
	if err == nil {
		t.Fatal("invalid options were accepted")
	}
	if n := len(strings.Split(err.Error(), "\n")); n != 11 {
		t.Fatalf("%d invalid options:\n%v", n, err)
	}
}
