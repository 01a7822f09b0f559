package gateway

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/platform"
	"github.com/damaskcove/damaskcove/platform/standin"
)

const waitTimeout = 20 * time.Second

// testFleet is a store, upstreams and instances on loopback addresses.
type testFleet struct {
	t         *testing.T
	store     *standin.Store
	instances []*instance
	version   int

	firstStart   bool             // instance.first_start of the instances.
	memoryMB     int              // instance.memory_mb of the instances; 0 for none.
	brokersFrom  int              // place.brokers_from of the instances; 0 for the default.
	stopWithin   time.Duration    // promises.stop_within of the instances; 0 for 4 s.
	discoveryTTL time.Duration    // promises.discovery_ttl of the instances; 0 for 200 ms.
	revokeWithin time.Duration    // promises.revoke_within of the instances; 0 for none.
	noStopBefore func() time.Time // Nil: a stop counts from its signal's effect.
}

type instance struct {
	gateway  *Gateway
	settings string
	stop     context.CancelFunc
	done     chan error
	logs     *syncBuffer
}

// syncBuffer is a buffer that is safe for concurrent use: a test reads what an instance logs.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	store, err := standin.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	return &testFleet{t: t, store: store}
}

// nextPort counts the ports that freeAddr has returned. They are below the ephemeral range, from which
// an outgoing connection could take a port before the test listens on it.
var nextPort atomic.Int32

const (
	firstPort   = 10_000
	portCount   = 20_000
	octetValues = 250 // Values of one octet of the process's own address.
)

// freeAddr returns a free address and port, on a loopback address that only this process uses.
func freeAddr(t *testing.T, network string) string {
	t.Helper()
	pid := os.Getpid()
	for {
		port := firstPort + int(nextPort.Add(1))%portCount
		at := fmt.Sprintf("127.%d.%d.%d:%d", 64+pid/octetValues/octetValues%64, pid/octetValues%octetValues, pid%octetValues+1, port)
		if network == "udp" {
			c, err := net.ListenPacket("udp4", at)
			if err == nil {
				_ = c.Close()
				return at
			}
			continue
		}
		l, err := net.Listen("tcp4", at)
		if err == nil {
			_ = l.Close()
			return at
		}
	}
}

func (fleet *testFleet) settingsFile(id, zone string) string {
	text := fmt.Sprintf(`[instance]
id = %q
zone = %q
[listen]
callers = %q
ready = %q
discovery = %q
peers = %q
metrics = %q
[store]
address = %q
[promises]
stop_within = %q
discovery_ttl = %q
[place]
brokers_from = %d
[log]
requests = "all"
`, id, zone, freeAddr(fleet.t, "tcp"), freeAddr(fleet.t, "tcp"), freeAddr(fleet.t, "tcp"), freeAddr(fleet.t, "udp"), freeAddr(fleet.t, "tcp"), fleet.store.Addr(),
		cmp.Or(fleet.stopWithin, 4*time.Second).String(), cmp.Or(fleet.discoveryTTL, 200*time.Millisecond).String(), cmp.Or(fleet.brokersFrom, DefaultSettings().Place.BrokersFrom))
	if fleet.firstStart {
		text = strings.Replace(text, "[listen]", "first_start = true\n[listen]", 1)
	}
	if fleet.memoryMB > 0 {
		text = strings.Replace(text, "[listen]", fmt.Sprintf("memory_mb = %d\n[listen]", fleet.memoryMB), 1)
	}
	if fleet.revokeWithin > 0 {
		text = strings.Replace(text, "[place]", fmt.Sprintf("revoke_within = %q\n[place]", fleet.revokeWithin.String()), 1)
	}
	path := filepath.Join(fleet.t.TempDir(), id+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		fleet.t.Fatal(err)
	}
	return path
}

func (fleet *testFleet) startInstance(id, zone string) *instance {
	fleet.t.Helper()
	return fleet.startWith(fleet.settingsFile(id, zone), id)
}

func (fleet *testFleet) startWith(settings, id string) *instance {
	fleet.t.Helper()
	in := &instance{settings: settings, logs: &syncBuffer{}, done: make(chan error, 1)}
	g, err := New(in.settings, in.logs)
	if err != nil {
		fleet.t.Fatal(err)
	}
	in.gateway = g
	if fleet.noStopBefore != nil {
		g.SetNoStopBefore(fleet.noStopBefore)
	}
	ctx, cancel := context.WithCancel(context.Background())
	in.stop = cancel
	go func() { in.done <- g.Run(ctx, make(chan os.Signal)) }()
	fleet.t.Cleanup(func() {
		cancel()
		select {
		case <-in.done:
		case <-time.After(waitTimeout):
			fleet.t.Errorf("instance %s does not stop", id)
		}
	})
	fleet.instances = append(fleet.instances, in)
	return in
}

// configure writes the next version of the configuration, which routes a host to a service.
func (fleet *testFleet) configure(host, service string) {
	fleet.version++
	fleet.configureVersion(fleet.version, host, service)
}

func (fleet *testFleet) configureVersion(version int, host, service string) {
	route := func(kind, prefix string) map[string]any {
		return map[string]any{"host": host, "path_prefix": prefix, "route_kind": kind, "timeout": "5000ms", "target_latency": "1000ms",
			"priority": 1, "service": service, "max_attempts": 2}
	}
	value, err := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("%08x", version),
		"routes":   map[string]any{"safe": route("safe", "/safe/"), "unsafe": route("unsafe", "/")},
		"services": map[string]any{service: map[string]any{"health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 8192, "max_body_bytes": 100_000, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.store.Put("op/config", value)
}

// upstream is a test server that is registered as an endpoint.
type upstream struct {
	id       string
	addr     string
	requests atomic.Int64
	failing  atomic.Bool
	leaving  atomic.Bool  // It says so in its answers.
	limit    atomic.Int64 // Requests a second that it names in its answers; 0 if it names none.
	holdOff  atomic.Int64 // Seconds; it turns requests away with this Retry-After unless it is zero.
	sequence int          // Of its registration; 0 for 4.
	born     int64        // Unix milliseconds of its start, for its registration; 0 for none.

	mu       sync.Mutex
	arrivals []time.Time // Of requests.

	successor atomic.Pointer[upstream] // Listens at its address now; nil for none.

	hold atomic.Pointer[chan struct{}]
}

func (fleet *testFleet) startUpstream(id, service string) *upstream {
	fleet.t.Helper()
	u := &upstream{id: id}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fleet.t.Fatal(err)
	}
	u.addr = l.Addr().String()
	server := &http.Server{Handler: u}
	go func() { _ = server.Serve(l) }()
	fleet.t.Cleanup(func() { _ = server.Close() })
	fleet.register(u, service, "ready")
	return u
}

// startUpstreamAt starts an upstream at the address of another one, which ends.
func (fleet *testFleet) startUpstreamAt(id, service string, ended *upstream) *upstream {
	fleet.t.Helper()
	u := &upstream{id: id, addr: ended.addr}
	ended.successor.Store(u)
	fleet.register(u, service, "ready")
	return u
}

func (fleet *testFleet) register(u *upstream, service, state string) {
	born := ""
	if u.born != 0 {
		born = fmt.Sprintf(`,"born":%d`, u.born)
	}
	fleet.store.Put("servers/"+u.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"a","version":"v1","capacity":4,"state":%q,"warmup_left":"0ms","sequence":%d%s}`, service, u.addr, state, cmp.Or(u.sequence, 4), born))
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if next := u.successor.Load(); next != nil {
		next.ServeHTTP(w, r)
		return
	}
	if r.Header.Get("Expect-Instance") != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.requests.Add(1)
	u.recordArrival()
	if hold := u.hold.Load(); hold != nil {
		<-*hold
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", "3e."+u.id)
	if u.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if limit := u.limit.Load(); limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatInt(limit, 10))
	}
	if seconds := u.holdOff.Load(); seconds > 0 {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if u.failing.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprint(w, u.id)
}

func (u *upstream) recordArrival() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals = append(u.arrivals, time.Now())
}

// mostArrivals returns the largest number of requests that arrived within a span that began after a time.
func (u *upstream) mostArrivals(after time.Time, span time.Duration) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most := 0
	for i, first := range u.arrivals {
		n := 0
		for _, at := range u.arrivals[i:] {
			if at.Sub(first) < span {
				n++
			}
		}
		if first.After(after) {
			most = max(most, n)
		}
	}
	return most
}

var nextRequest atomic.Int64

// send sends a request to an instance and returns the status, the body and the request id.
func (in *instance) send(t *testing.T, host, path string) (int, string, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+in.gateway.current().Listen.Callers+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	id := fmt.Sprint("r", nextRequest.Add(1))
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "5000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("request %s: %v", id, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var body bytes.Buffer
	if _, err := body.ReadFrom(resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, body.String(), id
}

func get(t *testing.T, addr, path string) (int, string) {
	t.Helper()
	resp, err := http.Get("http://" + addr + path)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	var body bytes.Buffer
	if _, err := body.ReadFrom(resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, body.String()
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func (in *instance) ready(t *testing.T) bool {
	status, _ := get(t, in.gateway.current().Listen.Ready, "/damaskcove/readyz")
	return status == http.StatusOK
}

func (in *instance) resolves(t *testing.T) []string {
	t.Helper()
	_, body := get(t, in.gateway.current().Listen.Discovery, "/damaskcove/resolve?name=h&region=r&zone=a")
	var reply struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.Unmarshal([]byte(body), &reply)
	return reply.Addresses
}

func TestRequestIsServedEndToEnd(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	if status, _, _ := in.send(t, "h.example", "/x"); status != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: status %d", status)
	}
	if in.ready(t) {
		t.Error("ready without a configuration")
	}
	fleet.configure("h.example", "orders")
	fleet.startUpstream("i-1", "orders")
	fleet.store.Put("servers/i-foreign", []byte("\x00"))
	eventually(t, "ready", func() bool { return in.ready(t) })
	eventually(t, "served", func() bool {
		status, body, _ := in.send(t, "H.example:80", "/x")
		return status == 200 && body == "i-1"
	})
	_, _, id := in.send(t, "h.example", "/x?q=1")
	if status, _, _ := in.send(t, "other.example", "/x"); status != http.StatusNotFound {
		t.Errorf("another host: status %d", status)
	}
	eventually(t, "the request is in the log", func() bool { return strings.Contains(in.logs.String(), `"request":"`+id+`"`) })
	if got := in.resolves(t); !slices.Equal(got, []string{in.gateway.current().Listen.Callers}) {
		t.Errorf("discovery answers %v", got)
	}
	if _, text := get(t, in.gateway.current().Listen.Metrics, "/metrics"); !strings.Contains(text, "answers_answered ") || !strings.Contains(text, "answer_ms_p99 ") {
		t.Errorf("metrics:\n%s", text)
	}
}

// Guards against one unsupported route disabling the others. What is not supported is logged once,
// not again with each version.
func TestUnsupportedRouteLeavesOthersWorking(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	fleet.startUpstream("i-1", "orders")
	for version := 1; version <= 2; version++ {
		fleet.store.Put("op/config", fmt.Appendf(nil, `{"version":"%08x","services":{"orders":{}},"limits":{},"routes":{
			"plain":{"host":"h.example","path_prefix":"/","route_kind":"unsafe","timeout":"5s","target_latency":"1s","service":"orders"},
			"kind":{"host":"h.example","path_prefix":"/kind/","route_kind":"teleport","timeout":"5s","target_latency":"1s","service":"orders"},
			"odd":{"host":"h.example","path_prefix":"/odd/","route_kind":"unsafe","timeout":"5s","target_latency":"1s","service":{"name":"orders"}}}}`, version))
	}
	eventually(t, "version 2 is in force", func() bool { return in.gateway.control.snapshot.Load().Version == 2 })
	eventually(t, "served", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status == 200 })
	if status, _, _ := in.send(t, "h.example", "/kind/x"); status != http.StatusOK {
		t.Errorf("a route of unknown kind: status %d", status)
	}
	if status, _, _ := in.send(t, "h.example", "/odd/x"); status != http.StatusServiceUnavailable {
		t.Errorf("a route with an unsupported service: status %d", status)
	}
	eventually(t, "the unsupported route is logged", func() bool { return strings.Contains(in.logs.String(), "route odd: service") })
	if got := strings.Count(in.logs.String(), "route kind: route_kind"); got != 1 {
		t.Errorf("%d log lines about one unsupported value, want 1", got)
	}
}

func TestInstancesShareOutcomes(t *testing.T) {
	fleet := newTestFleet(t)
	a, b := fleet.startInstance("one", "a"), fleet.startInstance("two", "b")
	fleet.configure("h.example", "orders")
	bad, good := fleet.startUpstream("i-bad", "orders"), fleet.startUpstream("i-good", "orders")
	bad.failing.Store(true)
	for _, in := range []*instance{a, b} {
		eventually(t, "the other instance is alive", func() bool { return len(in.gateway.control.snapshot.Load().alive) == 1 })
	}
	eventually(t, "the first instance gets a failure", func() bool { _, _, _ = a.send(t, "h.example", "/x"); return bad.requests.Load() > 0 })
	eventually(t, "the first instance gets a success", func() bool { status, _, _ := a.send(t, "h.example", "/x"); return status == 200 })
	eventually(t, "the second instance has the report", func() bool {
		learned := make(chan bool, 1)
		b.gateway.control.post(func() {
			learned <- b.gateway.control.machine.Chance(time.Now(), endpointID("i-bad")) < 0.5
		})
		return <-learned
	})
	before := bad.requests.Load()
	for range 5 {
		if status, body, id := b.send(t, "h.example", "/x"); status != 200 || body != good.id {
			t.Errorf("request %s: %d %q", id, status, body)
		}
	}
	if got := bad.requests.Load(); got != before {
		t.Errorf("the failing upstream got %d requests from an instance that had the reports of its failures", got-before)
	}
}

func TestConfigurationVersionNeverGoesBack(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	fleet.configureVersion(5, "h.example", "orders")
	fleet.startUpstream("i-1", "orders")
	fleet.startUpstream("i-2", "bookings")
	eventually(t, "version 5 is in force", func() bool { _, body, _ := in.send(t, "h.example", "/x"); return body == "i-1" })
	fleet.configureVersion(9, "h.example", "bookings")
	eventually(t, "version 9 is in force", func() bool { _, body, _ := in.send(t, "h.example", "/x"); return body == "i-2" })
	fleet.configureVersion(7, "h.example", "orders")
	fleet.store.Put("op/config", []byte("{"))
	fleet.store.Compact()
	fleet.store.SetFault(standin.NoFault) // Ends the watch, so that the instance reads the store again.
	eventually(t, "all keys are read again", func() bool { return fleet.store.Calls("range") >= 2 })
	for range 20 {
		if _, body, id := in.send(t, "h.example", "/x"); body != "i-2" {
			t.Fatalf("request %s is routed by version 7, want version 9: %q", id, body)
		}
	}
}

func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	fleet.configure("h.example", "orders")
	leaving, removed := fleet.startUpstream("i-1", "orders"), fleet.startUpstream("i-2", "orders")
	fleet.startUpstream("i-3", "orders")
	eventually(t, "the first two upstreams are used", func() bool {
		_, _, _ = in.send(t, "h.example", "/x")
		return leaving.requests.Load() > 0 && removed.requests.Load() > 0
	})
	fleet.register(leaving, "orders", "draining")
	fleet.store.Delete("servers/i-2")
	eventually(t, "only the third upstream is used", func() bool {
		before := leaving.requests.Load() + removed.requests.Load()
		for range 20 {
			_, _, _ = in.send(t, "h.example", "/x")
		}
		return leaving.requests.Load()+removed.requests.Load() == before
	})
}

func TestRequestsSucceedDuringStoreOutage(t *testing.T) {
	for name, fault := range map[string]standin.Fault{"busy": standin.Unavailable, "silent": standin.Unresponsive} {
		t.Run(name, func(t *testing.T) {
			fleet := newTestFleet(t)
			in := fleet.startInstance("one", "a")
			fleet.configure("h.example", "orders")
			fleet.startUpstream("i-1", "orders")
			eventually(t, "served", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status == 200 })
			fleet.store.SetFault(fault)
			eventually(t, "the outage is logged", func() bool {
				return strings.Contains(in.logs.String(), `"msg":"store unavailable; serving with the last known state"`)
			})
			// The upstream's registration expires in the outage.
			fleet.store.Delete("servers/i-1")
			if status, _, _ := in.send(t, "h.example", "/x"); status != 200 {
				t.Errorf("during the store outage: status %d", status)
			}
			fleet.store.SetFault(standin.NoFault)
			eventually(t, "the end of the outage is logged", func() bool { return strings.Contains(in.logs.String(), `"msg":"store available again"`) })
			if status, _, _ := in.send(t, "h.example", "/x"); status != 200 {
				t.Errorf("just after the store outage: status %d", status)
			}
			eventually(t, "an upstream that does not register again is removed", func() bool { status, _, _ := in.send(t, "h.example", "/x"); return status == 503 })
		})
	}
}

func TestInstanceRegistersAgainWhenKeyIsDeleted(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.startInstance("one", "a")
	eventually(t, "registered", func() bool { return len(fleet.store.Keys(memberPrefix)) == 1 })
	fleet.store.Delete(memberPrefix + "one")
	eventually(t, "registered again", func() bool { return len(fleet.store.Keys(memberPrefix)) == 1 })
}

func TestPlannedStopCompletesRequestsInFlight(t *testing.T) {
	fleet := newTestFleet(t)
	leaving, staying := fleet.startInstance("one", "a"), fleet.startInstance("two", "a")
	fleet.configure("h.example", "orders")
	u := fleet.startUpstream("i-1", "orders")
	both := func() bool { return len(staying.resolves(t)) == 2 && leaving.ready(t) }
	eventually(t, "discovery returns both instances", both)
	eventually(t, "served", func() bool { status, _, _ := leaving.send(t, "h.example", "/x"); return status == 200 })
	hold := make(chan struct{})
	u.hold.Store(&hold)
	before := u.requests.Load()
	answered := make(chan int, 1)
	go func() {
		status, _, _ := leaving.send(t, "h.example", "/x")
		answered <- status
	}()
	eventually(t, "the request is at its upstream", func() bool { return u.requests.Load() > before })
	leaving.stop()
	eventually(t, "discovery returns one instance", func() bool { return len(staying.resolves(t)) == 1 })
	if leaving.ready(t) {
		t.Error("ready while leaving")
	}
	close(hold)
	if status := <-answered; status != 200 {
		t.Errorf("the request in flight: status %d", status)
	}
	select {
	case err := <-leaving.done:
		leaving.done <- err
		if err != nil {
			t.Error(err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the instance does not stop")
	}
	if keys := fleet.store.Keys(memberPrefix); len(keys) != 1 {
		t.Errorf("registrations %v", keys)
	}
}

func TestSettingsAreReloadedWithoutSignal(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	text, err := os.ReadFile(in.settings)
	if err != nil {
		t.Fatal(err)
	}
	change := func(old, replacement string) {
		next := bytes.Replace(text, []byte(old), []byte(replacement), 1)
		if err := os.WriteFile(in.settings, next, 0o600); err != nil {
			t.Fatal(err)
		}
		later := time.Now().Add(time.Hour)
		if err := os.Chtimes(in.settings, later, later); err != nil {
			t.Fatal(err)
		}
	}
	change(`requests = "all"`, `requests = "some"`)
	eventually(t, "the error is logged", func() bool { return strings.Contains(in.logs.String(), "log.requests") })
	if in.gateway.current().Log.Requests != LogAll {
		t.Error("invalid settings are in force")
	}
	later := time.Now().Add(2 * time.Hour)
	change(`requests = "all"`, `requests = "unserved"`)
	if err := os.Chtimes(in.settings, later, later); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the change is in force", func() bool { return in.gateway.current().Log.Requests == LogUnserved })
}

// restart stops an instance and starts it again with its settings.
func (fleet *testFleet) restart(in *instance, id string) *instance {
	fleet.t.Helper()
	in.stop()
	<-in.done
	in.done <- nil // For the clean-up.
	return fleet.startWith(in.settings, id)
}

// registrationValue returns the value under which an instance registers.
func (in *instance) registrationValue(t *testing.T) []byte {
	t.Helper()
	value, err := cbor.Marshal(in.gateway.control.self)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// revision returns the store's revision as instances know it.
func (fleet *testFleet) revision() platform.Revision {
	return platform.NewRevision(fleet.store.Era(), fleet.store.Revision())
}
