package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// received is a request as it reached an upstream.
type received struct {
	path string
	text string // Head, body and trailer.
}

// accounts returns the values of the header that names the request's client account.
func (r received) accounts() []string {
	var names []string
	for _, line := range strings.Split(r.text, "\r\n") {
		if name, value, ok := strings.Cut(line, ":"); ok && strings.EqualFold(strings.TrimSpace(name), "tenant") {
			names = append(names, strings.TrimSpace(value))
		}
	}
	return names
}

// rawUpstream keeps the bytes of each request that it gets, and answers by the request's path: /fail/ with a server
// error, /turn/ as not run, /cut/ by closing the connection, /large/ with a large body, and all others with 200.
type rawUpstream struct {
	id string

	mu   sync.Mutex
	seen []received
	gate chan struct{} // Requests to /wait/ wait for it; nil for none.
}

func (fleet *testFleet) startRawUpstream(id, service string) *rawUpstream {
	fleet.t.Helper()
	u := &rawUpstream{id: id}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	fleet.register(&upstream{id: id, addr: l.Addr().String()}, service, "ready")
	return u
}

func (u *rawUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	var text strings.Builder
	br := bufio.NewReader(io.TeeReader(c, &text))
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		for name, values := range req.Trailer {
			for _, value := range values {
				fmt.Fprintf(&text, "\r\n%s: %s\r\n", name, value)
			}
		}
		u.mu.Lock()
		u.seen = append(u.seen, received{path: req.URL.Path, text: text.String() + string(body)})
		gate := u.gate
		u.mu.Unlock()
		text.Reset()
		head := fmt.Sprintf("Request-Id: %s\r\nServer-Stamp: 3e.%s\r\n", req.Header.Get("Request-Id"), u.id)
		answer := "HTTP/1.1 200 OK\r\n" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(u.id), u.id)
		if gate != nil && strings.Contains(req.URL.Path, "/wait/") {
			<-gate
		}
		switch {
		case strings.Contains(req.URL.Path, "/fail/"):
			answer = "HTTP/1.1 500 Internal Server Error\r\n" + head + "Content-Length: 0\r\n\r\n"
		case strings.Contains(req.URL.Path, "/turn/"):
			answer = "HTTP/1.1 503 Service Unavailable\r\n" + head + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		case strings.Contains(req.URL.Path, "/cut/"):
			return
		case strings.Contains(req.URL.Path, "/large/"):
			answer = "HTTP/1.1 200 OK\r\n" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("x", 1<<20))
		case req.Method == http.MethodHead:
			answer = "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 5\r\n\r\n"
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

func (u *rawUpstream) requests() []received {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.seen)
}

// testAccount is a client account of a test's configuration.
type testAccount struct {
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Rate     float64  `json:"rate_per_s,omitempty"`
	Burst    float64  `json:"burst,omitempty"`
}

// configureAccounts writes the next version of the configuration with client accounts, and waits until it is in force.
// Nil leaves accounts off.
func (fleet *testFleet) configureAccounts(accounts map[string]testAccount) {
	fleet.t.Helper()
	fleet.putAccounts(accounts)
	version := fleet.version
	eventually(fleet.t, "the configuration is in force and confirmed", func() bool {
		return !slices.ContainsFunc(fleet.instances, func(in *instance) bool {
			return int(in.gateway.control.snapshot.Load().Version) < version || !in.isConfirmed()
		})
	})
}

func (fleet *testFleet) putAccounts(accounts map[string]testAccount) {
	fleet.t.Helper()
	fleet.version++
	route := func(kind, prefix string, anonymous bool) map[string]any {
		return map[string]any{"host": "h.example", "path_prefix": prefix, "route_kind": kind, "timeout": "5000ms", "target_latency": "1000ms",
			"priority": 1, "service": "orders", "max_attempts": 2, "anonymous": anonymous}
	}
	value := map[string]any{
		"version":  fmt.Sprintf("%08x", fleet.version),
		"routes":   map[string]any{"safe": route("safe", "/safe/", false), "unsafe": route("unsafe", "/", false), "open": route("safe", "/open/", true)},
		"services": map[string]any{"orders": map[string]any{"health_path": "/healthz", "max_connections": 100}},
		"limits":   map[string]any{"max_header_bytes": 8192, "max_body_bytes": 100_000, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	}
	if accounts != nil {
		value["tenants"] = accounts
	}
	data, err := json.Marshal(value)
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.store.Put("op/config", data)
}

// exchange sends raw requests on one connection and returns the statuses of their answers, 0 for none.
func (in *instance) exchange(t *testing.T, raw string, methods ...string) []int {
	t.Helper()
	c, err := net.Dial("tcp4", in.gateway.current().Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	statuses := make([]int, 0, len(methods))
	for _, method := range methods {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return append(statuses, 0)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		statuses = append(statuses, resp.StatusCode)
	}
	return statuses
}

// head returns the head of a request to h.example, with further lines.
func head(method, path string, lines ...string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r%d\r\nDeadline-Ms: 4000\r\n", method, path, nextRequest.Add(1))
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n"
}

const (
	amberKey = "amber-key-0123456789"
	brassKey = "brass-key-0123456789"
	openKey  = "nobodys-key-01234567"
)

var testAccounts = map[string]testAccount{"amber": {Keys: []string{amberKey}}, "brass": {Keys: []string{brassKey}, Priority: 1}}

// Guards against a caller's key at an upstream, and against work for another account than the key's, on every path of
// a request.
func TestKeysNeverReachUpstreams(t *testing.T) {
	const token = "Authorization: Token " + amberKey
	chunked := "Transfer-Encoding: chunked"
	for name, c := range map[string]struct {
		raw      string
		methods  []string // POST if none.
		statuses []int    // 200 if none. 0: no answer, or any.
		accounts []string // That the upstreams see, by request; amber if none.
		none     bool     // No request reaches an upstream.
	}{
		"plain":                     {raw: head("POST", "/x", token, "Content-Length: 0")},
		"any case":                  {raw: head("POST", "/x", "aUTHORIZATION: tOKEN "+amberKey, "Content-Length: 0")},
		"body":                      {raw: head("POST", "/x", token, "Content-Length: 3") + "abc"},
		"chunked":                   {raw: head("POST", "/x", token, chunked) + "3\r\nabc\r\n0\r\n\r\n"},
		"own account name":          {raw: head("POST", "/x", token, "Tenant: brass", "tENANT: brass", "Content-Length: 0")},
		"account in Connection":     {raw: head("POST", "/x", token, "Connection: Tenant, Authorization", "Tenant: brass", "Content-Length: 0")},
		"account in a trailer":      {raw: head("POST", "/x", token, chunked, "Trailer: Tenant") + "3\r\nabc\r\n0\r\nTenant: brass\r\ntenant: brass\r\n\r\n"},
		"announced in every case":   {raw: head("POST", "/x", token, chunked, "trailer: X-A, aUTHORIZATION", "Trailer: Tenant,Authorization") + "3\r\nabc\r\n0\r\nTenant: brass\r\nAuthorization: Token " + brassKey + "\r\nX-A: b\r\n\r\n"},
		"HTTP/1.0":                  {raw: "POST /x HTTP/1.0\r\nHost: h.example\r\nRequest-Id: r-old\r\n" + token + "\r\nContent-Length: 0\r\n\r\n"},
		"HEAD":                      {raw: head("HEAD", "/safe/x", token), methods: []string{"HEAD"}},
		"streamed answer":           {raw: head("GET", "/safe/large/x", token), methods: []string{"GET"}},
		"retry after a failure":     {raw: head("GET", "/safe/fail/x", token), methods: []string{"GET"}, statuses: []int{500}, accounts: []string{"amber", "amber"}},
		"retry of what has not run": {raw: head("POST", "/turn/x", token, "Content-Length: 0"), statuses: []int{503}, accounts: []string{"amber", "amber"}},
		"retry after a cut":         {raw: head("GET", "/safe/cut/x", token), methods: []string{"GET"}, statuses: []int{502}, accounts: []string{"amber", "amber"}},
		"pipelined": {
			raw:      head("GET", "/safe/x", token) + head("GET", "/safe/x", "Authorization: Token "+brassKey) + head("GET", "/safe/x"),
			methods:  []string{"GET", "GET", "GET"},
			statuses: []int{200, 200, 401}, accounts: []string{"amber", "brass"},
		},
		"anonymous route":                 {raw: head("GET", "/open/x", "Tenant: brass"), methods: []string{"GET"}, accounts: []string{""}},
		"anonymous route, with a key":     {raw: head("GET", "/open/x", token), methods: []string{"GET"}},
		"anonymous route, unknown key":    {raw: head("GET", "/open/x", "Authorization: Token "+openKey), methods: []string{"GET"}, statuses: []int{401}, none: true},
		"anonymous route, another scheme": {raw: head("GET", "/open/x", "Authorization: Basic "+amberKey), methods: []string{"GET"}, statuses: []int{401}, none: true},
		"no key":                          {raw: head("POST", "/x", "Content-Length: 0"), statuses: []int{401}, none: true},
		"unknown key":                     {raw: head("POST", "/x", "Authorization: Token "+openKey, "Content-Length: 0"), statuses: []int{401}, none: true},
		"another scheme":                  {raw: head("POST", "/x", "Authorization: Bearer "+amberKey, "Content-Length: 0"), statuses: []int{401}, none: true},
		"empty key":                       {raw: head("POST", "/x", "Authorization: Token ", "Content-Length: 0"), statuses: []int{401}, none: true},
		"empty header":                    {raw: head("POST", "/x", "Authorization:", "Content-Length: 0"), statuses: []int{401}, none: true},
		"two keys":                        {raw: head("POST", "/x", token, "authorization: Token "+brassKey, "Content-Length: 0"), statuses: []int{401}, none: true},
		"one key twice":                   {raw: head("POST", "/x", token, token, "Content-Length: 0"), statuses: []int{401}, none: true},
		"folded":                          {raw: head("POST", "/x", "Authorization: Token", " "+amberKey, "Content-Length: 0"), statuses: []int{400}, none: true},
		"control byte in a name":          {raw: head("POST", "/x", token, "Tenant\x01: brass", "Content-Length: 0"), statuses: []int{400}, none: true},
		"malformed head":                  {raw: head("POST", "/x", token, "Content-Length: "+amberKey), statuses: []int{400}, none: true},
		"malformed version":               {raw: strings.Replace(head("POST", "/x", token), "HTTP/1.1", "HTTP/1.1 "+amberKey, 1), statuses: []int{0}, none: true},
		"key in a trailer alone":          {raw: head("POST", "/x", chunked, "Trailer: Authorization") + "3\r\nabc\r\n0\r\n" + token + "\r\n\r\n", statuses: []int{0}, none: true},
		"malformed trailer":               {raw: head("POST", "/x", token, chunked) + "3\r\nabc\r\n0\r\nX A: " + amberKey + "\r\n\r\n", statuses: []int{0}, accounts: []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newTestFleet(t)
			upstreams := []*rawUpstream{fleet.startRawUpstream("i-1", "orders"), fleet.startRawUpstream("i-2", "orders")}
			in := fleet.startInstance("one", "a")
			fleet.configureAccounts(testAccounts)
			eventually(t, "the upstreams are in use", func() bool {
				return in.exchange(t, head("GET", "/open/ready"), "GET")[0] == http.StatusOK && len(upstreams[0].requests())*len(upstreams[1].requests()) > 0
			})
			if c.methods == nil {
				c.methods = []string{"POST"}
			}
			if c.statuses == nil {
				c.statuses = []int{http.StatusOK}
			}
			if c.accounts == nil && !c.none {
				c.accounts = []string{"amber"}
			}
			got := in.exchange(t, c.raw, c.methods...)
			for i, want := range c.statuses {
				if want != 0 && (i >= len(got) || got[i] != want) {
					t.Errorf("statuses %v, want %v", got, c.statuses)
					break
				}
			}
			var accounts []string
			for _, u := range upstreams {
				for _, r := range u.requests() {
					if strings.Contains(r.path, "/ready") {
						continue
					}
					if strings.Contains(r.text, amberKey) || strings.Contains(r.text, brassKey) || strings.Contains(strings.ToLower(r.text), "authorization") {
						t.Errorf("the key reached an upstream:\n%s", r.text)
					}
					accounts = append(accounts, strings.Join(r.accounts(), " and "))
				}
			}
			slices.Sort(accounts)
			if (len(c.accounts) > 0 || c.none) && !slices.Equal(accounts, c.accounts) {
				t.Errorf("upstreams saw requests of the accounts %q, want %q", accounts, c.accounts)
			}
			_, metrics := get(t, in.gateway.current().Listen.Metrics, "/metrics")
			for _, key := range []string{amberKey, brassKey, openKey} {
				if strings.Contains(in.logs.String(), key) || strings.Contains(metrics, key) {
					t.Errorf("the key %s is in the log or the metrics:\n%s", key, in.logs.String())
				}
			}
		})
	}
}

// sendAcross sends a request whose first attempt waits at an upstream, calls change, and returns the request's status and
// the accounts that the attempts ran for.
func (fleet *testFleet) sendAcross(path string, change func()) (status int, accounts []string) {
	fleet.t.Helper()
	gate := make(chan struct{})
	upstreams := []*rawUpstream{fleet.startRawUpstream("i-1", "orders"), fleet.startRawUpstream("i-2", "orders")}
	for _, u := range upstreams {
		u.gate = gate
	}
	in := fleet.startInstance("one", "a")
	fleet.configureAccounts(testAccounts)
	eventually(fleet.t, "the upstreams are in use", func() bool {
		return in.exchange(fleet.t, head("GET", "/open/ready"), "GET")[0] == http.StatusOK && len(upstreams[0].requests())*len(upstreams[1].requests()) > 0
	})
	attempts := func() (list []received) {
		for _, u := range upstreams {
			list = append(list, slices.DeleteFunc(u.requests(), func(r received) bool { return strings.Contains(r.path, "/ready") })...)
		}
		return list
	}
	done := make(chan int)
	go func() {
		done <- in.exchange(fleet.t, head("POST", path, "Authorization: Token "+amberKey, "Content-Length: 0"), "POST")[0]
	}()
	eventually(fleet.t, "the first attempt waits", func() bool { return len(attempts()) == 1 })
	change()
	close(gate)
	status = <-done
	for _, r := range attempts() {
		accounts = append(accounts, r.accounts()...)
	}
	slices.Sort(accounts)
	return status, accounts
}

// Guards against work for an account that does not hold the key any more: it moves, or is removed, between two attempts
// of a request, or accounts are switched on or off.
func TestKeyIsLookedUpBeforeEachAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		next     map[string]testAccount
		status   int
		accounts []string
	}{
		"moved":                     {"/wait/turn/x", map[string]testAccount{"amber": {Keys: []string{}}, "brass": {Keys: []string{amberKey}}}, 503, []string{"amber", "brass"}},
		"removed, not run":          {"/wait/turn/x", map[string]testAccount{"brass": {Keys: []string{brassKey}}}, 401, []string{"amber"}},
		"removed, may have run":     {"/safe/wait/cut/x", map[string]testAccount{"brass": {Keys: []string{brassKey}}}, 502, []string{"amber"}},
		"accounts are switched off": {"/wait/turn/x", nil, 503, []string{"amber"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newTestFleet(t)
			status, accounts := fleet.sendAcross(c.path, func() { fleet.configureAccounts(c.next) })
			if status != c.status || !slices.Equal(slices.Compact(accounts), c.accounts) { // A hedge may have run for the first account too.
				t.Errorf("status %d, attempts for %q; want %d and %q", status, accounts, c.status, c.accounts)
			}
		})
	}
}

// Guards against a key of an older configuration, or of one that names a key twice: the configuration in force stays.
func TestKeysOutliveRestoredStoresAndInvalidConfigurations(t *testing.T) {
	fleet := newTestFleet(t)
	upstream := fleet.startRawUpstream("i-1", "orders")
	first, second := fleet.startInstance("one", "a"), fleet.startInstance("two", "a")
	fleet.configureAccounts(testAccounts)
	copied := fleet.store.Save()
	fleet.configureAccounts(map[string]testAccount{"brass": {Keys: []string{amberKey}}})
	fleet.store.Restore(copied)
	fleet.putAccounts(map[string]testAccount{"brass": {Keys: []string{amberKey}}, "cedar": {Keys: []string{amberKey}}})
	for _, in := range []*instance{first, second, fleet.startInstance("three", "a")} {
		eventually(t, "served", func() bool {
			return in.exchange(t, head("GET", "/safe/x", "Authorization: Token "+amberKey), "GET")[0] == http.StatusOK
		})
	}
	for _, r := range upstream.requests() {
		if got := r.accounts(); !slices.Equal(got, []string{"brass"}) {
			t.Errorf("a request ran for %q, whose key is brass's", got)
		}
	}
}

// Guards against one account's key in a datagram between instances: configurations are passed on with digests.
func TestKeysDoNotPassBetweenInstances(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	fleet.configureAccounts(testAccounts)
	value := make(chan string, 1)
	in.gateway.control.post(func() { value <- string(in.gateway.control.configValue) })
	if got := <-value; strings.Contains(got, amberKey) || strings.Contains(got, brassKey) {
		t.Errorf("the configuration that instances pass on holds a key:\n%s", got)
	}
}

// Guards against keys at upstreams while an instance that is cut off from the store has not learned of accounts.
func TestKeysAreRejectedWhileAccountsMayBeEnabled(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.revokeWithin = time.Second
	upstream := fleet.startRawUpstream("i-1", "orders")
	in := fleet.startInstance("one", "a")
	fleet.configureAccounts(nil)
	request := func() int {
		return in.exchange(t, head("GET", "/safe/x", "Authorization: Token "+amberKey), "GET")[0]
	}
	eventually(t, "served without accounts", func() bool { return request() == http.StatusOK })
	fleet.store.SetSilent(true)
	fleet.putAccounts(testAccounts)
	eventually(t, "rejected", func() bool { return request() == http.StatusServiceUnavailable })
	before := len(upstream.requests())
	if status := in.exchange(t, head("GET", "/safe/x"), "GET")[0]; status != http.StatusOK {
		t.Errorf("a request without a key: status %d", status)
	}
	if status := request(); status != http.StatusServiceUnavailable || len(upstream.requests()) != before+1 {
		t.Errorf("a request with a key: status %d, %d requests at the upstream", status, len(upstream.requests())-before)
	}
}

// Guards against an instance that is ready and rejects all keys, after the store was restored.
func TestReadyInstanceKnowsKeys(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.startRawUpstream("i-1", "orders")
	fleet.startInstance("one", "a")
	fleet.configureAccounts(testAccounts)
	fleet.store.Restore(fleet.store.Save())
	in := fleet.startInstance("two", "a")
	eventually(t, "ready", func() bool { return in.ready(t) })
	if status := in.exchange(t, head("GET", "/safe/x", "Authorization: Token "+amberKey), "GET")[0]; status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}
