package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/platform/standin"
)

func TestKeysAreFoundInStreams(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	mark := newKeyMark(random)
	for range 500 {
		text := strings.Repeat("x", random.IntN(60)) + string(mark) + strings.Repeat("x", random.IntN(60))
		broken := strings.Replace(text, string(mark[5:7]), "y", 1)
		s, clean := keyScanner{mark: mark}, keyScanner{mark: mark}
		for data, scan := range map[string]*keyScanner{text: &s, broken: &clean} {
			for len(data) > 0 {
				n := min(len(data), 1+random.IntN(30))
				_, _ = scan.Write([]byte(data[:n]))
				data = data[n:]
			}
		}
		if !s.found || clean.found {
			t.Fatalf("in %q %t, in %q %t", text, s.found, broken, clean.found)
		}
	}
	none := keyScanner{}
	if _, _ = none.Write([]byte("x")); none.found || keyMark(nil).in([]byte("x")) {
		t.Error("a key is found though there are none")
	}
}

// Each key has one owner in each version, but for the invalid ones.
func TestAccountsChangeTheirKeys(t *testing.T) {
	b := newAccountBook(3, rand.New(rand.NewPCG(1, 6)))
	changes := []func(){b.add, b.remove, b.move, b.addAgain}
	for k := range 2000 {
		before := b.snapshot()
		changes[b.random.IntN(len(changes))]()
		owners := map[string]string{}
		for name, keys := range b.snapshot() {
			for _, key := range keys {
				if other, ok := owners[key]; ok {
					t.Fatalf("change %d: %s belongs to %s and %s, after %v", k, key, other, name, before)
				}
				owners[key] = name
				if !b.mark.in([]byte(key)) {
					t.Fatalf("change %d: %s has no mark", k, key)
				}
			}
		}
		twice, ok := b.encodeTwice()
		named := 0
		for _, account := range twice {
			named += len(account.(map[string]any)["api_keys"].([]string))
		}
		if ok != (len(owners) > 0) || ok && named != len(owners)+1 {
			t.Fatalf("change %d: %d keys are named, %d are there", k, named, len(owners))
		}
	}
}

// Requests carry what their credential says, and the rest is well-formed.
func TestRequestsCarryTheirCredential(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 7))
	b := newAccountBook(4, random)
	seen := map[string]bool{}
	for range 3000 {
		q := request{method: []string{http.MethodGet, http.MethodPost}[random.IntN(2)], host: "h", path: "/a/x", deadline: time.Second, own: true}
		if q.method == http.MethodPost {
			q.body = 100
		}
		b.authorize(&q, random)
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(q.text("1"))))
		if err != nil {
			t.Fatalf("%v: %q", err, q.text("1"))
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || len(body) != q.body {
			t.Fatalf("a body of %d bytes: %v", len(body), err)
		}
		credential := Credential{}
		if values := r.Header.Values(headerKey); len(values) > 0 {
			credential.State = CredentialMalformed
			scheme, key, _ := strings.Cut(values[0], " ")
			if len(values) == 1 && strings.EqualFold(scheme, keyScheme) && key != "" {
				credential = present(key)
			}
		}
		if credential != q.credential {
			t.Fatalf("%v, want %v: %q", credential, q.credential, q.text("1"))
		}
		_, known := (&Version{Accounts: b.keys}).owner(credential.Key)
		for what, is := range map[string]bool{
			"absent": credential.State == CredentialAbsent, "malformed": credential.State == CredentialMalformed, "known": known,
			"unknown": credential.State == CredentialPresent && !known, "HEAD": r.Method == http.MethodHead, "HTTP/1.0": r.ProtoMinor == 0,
			"account": r.Header.Get(headerAccount) != "", "two accounts": len(r.Header.Values(headerAccount)) > 1,
			"trailer account": r.Trailer.Get(headerAccount) != "", "trailer key": r.Trailer.Get(headerKey) != "",
			"hop by hop": strings.Contains(q.text("1"), "\nConnection: "),
		} {
			seen[what] = seen[what] || is
		}
	}
	for what, is := range seen {
		if !is {
			t.Errorf("no request is of the kind: %s", what)
		}
	}
}

// An upstream records the account names and the keys that reach it, wherever they are.
func TestUpstreamsRecordWhatReachesThem(t *testing.T) {
	mark := newKeyMark(rand.New(rand.NewPCG(1, 1)))
	key := "K" + string(mark) + "-1"
	rec := newRecorder()
	u, err := startUpstream(standin.New(standin.Options{}), rec, mark, "u", "u", "s", "z", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer u.end()
	const length = "Content-Length: 0\r\n"
	cases := []struct {
		name, headers, rest string
		accounts            []string
		keyIn               string
		leaks               int
	}{
		{"nothing", length, "", nil, "", 0},
		{"an account", length + "Tenant: a\r\n", "", []string{"a"}, "", 0},
		{"two accounts", length + "Tenant: a\r\ntENANT: b\r\n", "", []string{"a", "b"}, "", 0},
		{"a key", length + "authorization: Token " + key + "\r\n", "", nil, "header", 1},
		{"a key elsewhere", length + "X-Note: " + key + "\r\n", "", nil, "header", 1},
		{"a key in the body", fmt.Sprintf("Content-Length: %d\r\n", len(key)), key, nil, "body", 1},
		{"trailers", "Transfer-Encoding: chunked\r\n", "0\r\ntenant: c\r\nauthorization: Token " + key + "\r\n\r\n", []string{"c"}, "trailer", 1},
		{"declared trailers", "Tenant: a\r\nTrailer: Tenant\r\nTransfer-Encoding: chunked\r\n", "0\r\nTenant: c\r\n\r\n", []string{"a", "c"}, "", 0},
	}
	for k, c := range cases {
		conn, err := net.Dial("tcp4", u.link.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\nConnection: close\r\n%s: 1\r\n%s\r\n%s", k, headerWork, c.headers, c.rest)
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
	records, _ := rec.finish()
	leaks := 0
	for k, c := range cases {
		i := slices.IndexFunc(records.Runs, func(r Run) bool { return r.Request == fmt.Sprint(k) })
		if i < 0 {
			t.Fatalf("%s: no run", c.name)
		}
		if run := records.Runs[i]; !slices.Equal(run.Accounts, c.accounts) || run.KeyIn != c.keyIn {
			t.Errorf("%s: accounts %q, a key in %q", c.name, run.Accounts, run.KeyIn)
		}
		leaks += c.leaks
	}
	if len(records.Leaks) != leaks || leaks > 0 && (records.Leaks[0].Place != LeakUpstream || records.Leaks[0].Upstream != "u") {
		t.Errorf("%d leaks, want %d: %v", len(records.Leaks), leaks, records.Leaks)
	}
}

// Keys are found in datagrams, in values that are written to the store, in logs and in answers to callers.
func TestKeysThatLeaveAnInstanceAreRecorded(t *testing.T) {
	mark := newKeyMark(rand.New(rand.NewPCG(1, 1)))
	rec := newRecorder()
	f := newFleet(Options{}, rec, mark)
	defer f.store.Close()
	to, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = to.Close() }()
	p, err := f.network.open("b", netip.MustParseAddrPort("127.0.0.1:0"), to.LocalAddr().(*net.UDPAddr).AddrPort(), func(netip.Addr) string { return "a" })
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	m := &machine{name: "a", recorder: rec, mark: mark, log: log}
	f.machines = []*machine{m}
	r := &run{recorder: rec, fleet: f}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	f.byAddr[l.Addr().String()] = m
	for _, text := range []string{"x", "x" + string(mark) + "x"} {
		from, err := net.DialUDP("udp4", nil, p.conn.LocalAddr().(*net.UDPAddr))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = from.Write([]byte(text))
		_ = from.Close()
		_, _ = to.Read(make([]byte, 100))
		m.rewrite([]byte(text))
		_, _ = fmt.Fprintln(log, text)
		go func() {
			if c, err := l.Accept(); err == nil {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				_ = c.Close()
			}
		}()
		c, err := dialInstance(f, l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.do([]request{{method: http.MethodGet, host: "h", path: "/", deadline: 5 * time.Second}}, false)
		_ = c.Close()
	}
	if err := r.readLogs(); err != nil {
		t.Fatal(err)
	}
	records, _ := rec.finish()
	got := map[LeakPlace]int{}
	for _, l := range records.Leaks {
		got[l.Place]++
	}
	for _, place := range []LeakPlace{LeakLink, LeakStore, LeakLog, LeakAnswer} {
		if got[place] != 1 {
			t.Errorf("%s: %d leaks, want 1", place, got[place])
		}
	}
}

// What a restored store gets again is the last valid configuration, under the number under which it is recorded.
func TestInvalidConfigurationsAreNotWrittenAgain(t *testing.T) {
	store, rec := standin.New(standin.Options{}), newRecorder()
	defer store.Close()
	o := newOperator(store, rec, rand.New(rand.NewPCG(1, 2)), newAccountBook(3, rand.New(rand.NewPCG(1, 6))))
	read := func() (version string, keys []string) {
		var value struct {
			Version string
			Tenants map[string]struct {
				Keys []string `json:"api_keys"`
			}
		}
		if err := json.Unmarshal(store.Value("op/config"), &value); err != nil {
			t.Fatal(err)
		}
		for _, account := range value.Tenants {
			keys = append(keys, account.Keys...)
		}
		slices.Sort(keys)
		return value.Version, keys
	}
	if err := o.change("the first", nil); err != nil {
		t.Fatal(err)
	}
	version, keys := read()
	if err := o.writeTwice(); err != nil {
		t.Fatal(err)
	}
	if other, twice := read(); other == version || len(slices.Compact(slices.Clone(twice))) != len(twice)-1 {
		t.Fatalf("version %s is written with the keys %q", other, twice)
	}
	if err := o.rewrite(); err != nil {
		t.Fatal(err)
	}
	if again, same := read(); again != version || !slices.Equal(keys, same) {
		t.Errorf("version %s is written again with the keys %q, want %s with %q", again, same, version, keys)
	}
	if records, _ := rec.finish(); len(records.Versions) != 1 {
		t.Errorf("%d versions are recorded, want the valid one", len(records.Versions))
	}
}
