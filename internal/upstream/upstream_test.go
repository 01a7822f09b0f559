package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/coord/fleet"
)

// fastSpec returns a spec without delays.
func fastSpec() Spec {
	return Spec{Service: "orders", Slots: 2, Queue: -1, Median: 1, Spread: -1, ProbeTime: -1, ConnectTime: -1, NonIdempotentPaths: []string{"/orders"}}
}

func newTestHost(t *testing.T, specs ...Spec) (*Host, []*Endpoint) {
	t.Helper()
	h := NewHost(HostOptions{Seed: 1, RecordIdempotent: true})
	t.Cleanup(func() { _ = h.Close() })
	for _, spec := range specs {
		if _, err := h.Add(spec); err != nil {
			t.Fatal(err)
		}
	}
	return h, h.Endpoints()
}

// answer is a complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func send(ctx context.Context, e *Endpoint, method, uri, id string, header ...string) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(e.Addr())+uri, bytes.NewBufferString("body"))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set(HeaderRequestID, id)
	request.Header.Set(client.HeaderAccount, "counter-1")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body}, err
}

func TestAnswerIdentifiesItsRequest(t *testing.T) {
	h, e := newTestHost(t, fastSpec())
	for _, uri := range []string{"/orders/drums?size=5000", "/orders/drums?size=5000&chunked=1"} {
		got, err := send(context.Background(), e[0], http.MethodPost, uri, "r"+uri)
		if err != nil {
			t.Fatal(err)
		}
		var body Answer
		if err := json.Unmarshal(got.body, &body); err != nil {
			t.Fatal(err)
		}
		if body.RequestID != "r"+uri || body.Account != "counter-1" || body.BodyHash != HashBody([]byte("body")) || body.URI != uri {
			t.Fatalf("answer %+v", body)
		}
		if got.header.Get(HeaderRequestID) != "r"+uri || got.header.Get(HeaderLoad) != "0.500" {
			t.Fatalf("headers %v", got.header)
		}
		if h.Recorder().Starts("r"+uri) != 1 {
			t.Fatal("the start was not recorded")
		}
	}
}

func TestSlotsAndShedding(t *testing.T) {
	h, e := newTestHost(t, fastSpec())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	for i := range 2 {
		running.Go(func() {
			_, _ = send(ctx, e[0], http.MethodPost, "/orders?time_ms=600000", fmt.Sprint("hold-", i))
		})
	}
	waitUntil(func() bool { return e[0].Stats().InFlight == 2 })
	got, err := send(context.Background(), e[0], http.MethodPost, "/orders", "shed")
	if err != nil || got.status != http.StatusServiceUnavailable || got.header.Get(HeaderNotStarted) != "1" {
		t.Fatalf("all slots in use: %+v %v", got, err)
	}
	if h.Recorder().Starts("shed") != 0 {
		t.Fatal("a shed request was started")
	}
	cancel()
	running.Wait()
	waitUntil(func() bool { return e[0].Stats().Cancelled == 2 && e[0].Stats().InFlight == 0 })
	if peak := e[0].Stats().PeakInFlight; peak != 2 {
		t.Fatalf("peak %d with 2 slots", peak)
	}
}

func waitUntil(done func() bool) {
	for !done() {
		time.Sleep(time.Millisecond)
	}
}

func TestRequestPastDeadlineInQueueDoesNotStart(t *testing.T) {
	spec := fastSpec()
	spec.Slots, spec.Queue = 1, 5
	h, e := newTestHost(t, spec)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _, _ = send(ctx, e[0], http.MethodPost, "/orders?time_ms=600000", "hold") }()
	waitUntil(func() bool { return e[0].Stats().InFlight == 1 })
	got, err := send(context.Background(), e[0], http.MethodPost, "/orders", "late", HeaderDeadline, "5")
	if err != nil || got.header.Get(HeaderNotStarted) != "1" || h.Recorder().Starts("late") != 0 {
		t.Fatalf("late request: %+v %v", got, err)
	}
}

func TestDeadlineWhileRunning(t *testing.T) {
	h, e := newTestHost(t, fastSpec())
	got, err := send(context.Background(), e[0], http.MethodPost, "/orders?time_ms=600000", "slow", HeaderDeadline, "5")
	if err != nil || got.status != http.StatusGatewayTimeout || got.header.Get(HeaderNotStarted) != "" {
		t.Fatalf("slow request: %+v %v", got, err)
	}
	if h.Recorder().Starts("slow") != 1 {
		t.Fatal("the start was not recorded")
	}
}

func TestDrainRefusesNewWorkAndFinishesRunning(t *testing.T) {
	_, e := newTestHost(t, fastSpec())
	result := make(chan answer, 1)
	go func() {
		got, _ := send(context.Background(), e[0], http.MethodPost, "/orders?time_ms=300", "old")
		result <- got
	}()
	waitUntil(func() bool { return e[0].Stats().InFlight == 1 })
	e[0].Drain()
	got, err := send(context.Background(), e[0], http.MethodGet, "/stock", "new")
	if err != nil || got.status != http.StatusServiceUnavailable || got.header.Get(HeaderNotStarted) != "1" || got.header.Get(HeaderDraining) != "1" {
		t.Fatalf("new work while draining: %+v %v", got, err)
	}
	if old := <-result; old.status != http.StatusOK || old.header.Get(HeaderDraining) != "1" {
		t.Fatalf("running work: %+v", old)
	}
	if e[0].Upstream().State != fleet.UpstreamDraining {
		t.Fatal("the state is not draining")
	}
}

func TestFaultsOfWork(t *testing.T) {
	h, e := newTestHost(t, fastSpec())
	for _, step := range []struct {
		name   string
		faults Faults
		check  func(got answer, err error) bool
	}{
		{"fail", Faults{FailShare: 1}, func(got answer, err error) bool { return err == nil && got.status == 500 }},
		{"cut", Faults{CutOffShare: 1}, func(got answer, err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) && len(got.body) > 0 }},
		{"garbage", Faults{GarbageShare: 1}, func(got answer, err error) bool { return err != nil && got.status == 0 }},
		{"silent", Faults{SilentShare: 1}, func(got answer, err error) bool { return err != nil && got.status == 0 }},
	} {
		if err := e[0].SetFaults(step.faults); err != nil {
			t.Fatal(err)
		}
		got, err := send(context.Background(), e[0], http.MethodPost, "/orders", step.name)
		if !step.check(got, err) {
			t.Errorf("%s: %+v %v", step.name, got, err)
		}
		if h.Recorder().Starts(step.name) != 1 {
			t.Errorf("%s: started %d times", step.name, h.Recorder().Starts(step.name))
		}
		if probe, err := send(context.Background(), e[0], http.MethodGet, PathHealth, ""); err != nil || probe.status != 200 {
			t.Errorf("%s: probe %+v %v", step.name, probe, err)
		}
	}
}

func TestMisleadingHealthAndLoad(t *testing.T) {
	_, e := newTestHost(t, fastSpec())
	load := 0.25
	if err := e[0].SetFaults(Faults{Health: HealthDown, Load: &load}); err != nil {
		t.Fatal(err)
	}
	if probe, err := send(context.Background(), e[0], http.MethodGet, PathHealth, ""); err != nil || probe.status != 503 {
		t.Fatalf("health %+v %v", probe, err)
	}
	got, err := send(context.Background(), e[0], http.MethodGet, "/stock", "x")
	if err != nil || got.header.Get(HeaderLoad) != "0.250" {
		t.Fatalf("load header %+v %v", got, err)
	}
	probe, err := send(context.Background(), e[0], http.MethodGet, PathLoad, "")
	var report LoadReport
	if err != nil || json.Unmarshal(probe.body, &report) != nil || report.Load != 0.25 {
		t.Fatalf("load report %s %v", probe.body, err)
	}
}

func TestConnectivity(t *testing.T) {
	h, e := newTestHost(t, fastSpec())
	set := func(connectivity Connectivity) {
		e[0].SetConnectivity(func(caller netip.Addr) Connectivity {
			if caller == netip.MustParseAddr("127.0.0.1") {
				return connectivity
			}
			return ConnectivityNormal
		})
	}
	short := func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(context.Background(), 100*time.Millisecond)
	}
	set(ConnectivityClosed)
	if _, err := send(context.Background(), e[0], http.MethodPost, "/orders", "closed"); err == nil {
		t.Fatal("an answer over a closed connection")
	}
	set(ConnectivityBlackhole)
	ctx, cancel := short()
	if _, err := send(ctx, e[0], http.MethodPost, "/orders", "none"); err == nil {
		t.Fatal("an answer without a request")
	}
	cancel()
	if h.Recorder().Starts("none") != 0 {
		t.Fatal("a request arrived through a black hole")
	}
	set(ConnectivityNoReplies)
	ctx, cancel = context.WithCancel(context.Background())
	go func() {
		waitUntil(func() bool { return h.Recorder().Starts("mute") == 1 })
		cancel()
	}()
	if _, err := send(ctx, e[0], http.MethodPost, "/orders", "mute"); err == nil {
		t.Fatal("an answer arrived although none may be sent")
	}
	if h.Recorder().Starts("closed") != 0 || h.Recorder().Starts("mute") != 1 {
		t.Fatal("wrong number of starts")
	}
	set(ConnectivityNormal)
	if got, err := send(context.Background(), e[0], http.MethodPost, "/orders", "open"); err != nil || got.status != 200 {
		t.Fatalf("open again: %+v %v", got, err)
	}
}

func TestConnectivityOfOneAddressTakesPrecedence(t *testing.T) {
	_, e := newTestHost(t, fastSpec())
	local := netip.MustParseAddr("127.0.0.1")
	e[0].SetConnectivity(func(netip.Addr) Connectivity { return ConnectivityClosed })
	e[0].SetConnectivityFrom(local, ConnectivityNormal)
	if got, err := send(context.Background(), e[0], http.MethodPost, "/orders", "open"); err != nil || got.status != 200 {
		t.Fatalf("%+v %v", got, err)
	}
	e[0].SetConnectivityFrom(local, ConnectivityClosed)
	if _, err := send(context.Background(), e[0], http.MethodPost, "/orders", "closed"); err == nil {
		t.Fatal("answered although connections are closed from this address")
	}
	for name, want := range map[string]Connectivity{"open": ConnectivityNormal, "close": ConnectivityClosed, "none": ConnectivityBlackhole, "mute": ConnectivityNoReplies} {
		if got, err := ParseConnectivity(name); err != nil || got != want {
			t.Errorf("%s: %v %v", name, got, err)
		}
	}
	if _, err := ParseConnectivity("half"); err == nil {
		t.Error("an unknown name was accepted")
	}
}

func TestFlapping(t *testing.T) {
	since := time.Unix(100, 0)
	f := Faults{FlapPeriod: 10 * time.Second}
	for offset, want := range map[time.Duration]bool{0: true, 4 * time.Second: true, 5 * time.Second: false, 9 * time.Second: false, 10 * time.Second: true} {
		if got := f.active(since.Add(offset), since); got != want {
			t.Errorf("at %v: active %v", offset, got)
		}
	}
}

func TestColdStartSlowsServiceTime(t *testing.T) {
	spec := fastSpec()
	spec.Median, spec.ColdStart, spec.ColdFactor = time.Second, time.Hour, 5
	_, e := newTestHost(t, spec)
	for offset, want := range map[time.Duration]time.Duration{0: 5 * time.Second, 30 * time.Minute: 3 * time.Second, 2 * time.Hour: time.Second} {
		if got := e[0].serviceTime(e[0].started.Add(offset), Faults{}); got != want {
			t.Errorf("at %v: %v, want %v", offset, got, want)
		}
	}
	if got := e[0].serviceTime(e[0].started.Add(2*time.Hour), Faults{SlowFactor: 10}); got != 10*time.Second {
		t.Errorf("slow factor 10: %v", got)
	}
	if e[0].State() != fleet.UpstreamCold {
		t.Error("the state is not cold")
	}
}

func TestLoadLags(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	h := newLoadHistory(start)
	h.add(at(10), 1, 10*time.Second)
	h.add(at(12), 2, 10*time.Second)
	h.add(at(14), 3, 10*time.Second)
	if got := h.at(at(13)); got != 2 {
		t.Fatalf("%d slots in use", got)
	}
	if got := h.at(at(20)); got != 3 {
		t.Fatalf("%d slots in use", got)
	}
}

func TestInvalidInputIsRefusedWithoutStarting(t *testing.T) {
	h, e := newTestHost(t, fastSpec())
	for _, uri := range []string{"/orders?size=-1", "/orders?size=x", "/orders?status=99", "/orders?time_ms=-5", "/orders?size=99999999999"} {
		got, err := send(context.Background(), e[0], http.MethodPost, uri, uri)
		if err != nil || got.status != http.StatusBadRequest || got.header.Get(HeaderNotStarted) != "1" || h.Recorder().Starts(uri) != 0 {
			t.Errorf("%s: %+v %v", uri, got, err)
		}
	}
	for _, f := range []Faults{{FailShare: 2}, {SlowFactor: -1}, {Health: "half"}, {CutOffShare: -0.1}} {
		if err := e[0].SetFaults(f); err == nil {
			t.Errorf("invalid faults %+v were accepted", f)
		}
	}
	for _, spec := range []Spec{{Service: "s", Addr: "localhost:0"}, {Addr: "127.0.0.1:0"}, {Service: "s", Slots: -1}} {
		if _, err := h.Add(spec); err == nil {
			t.Errorf("invalid spec %+v was accepted", spec)
		}
	}
}
