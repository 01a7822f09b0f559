package gateway

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
	"github.com/damaskcove/damaskcove/platform"
)

func TestRouterPrefersLongestPrefix(t *testing.T) {
	r := newRouter(&platform.Config{Routes: []platform.Route{
		{Name: "all", Host: "h", Prefix: "/"}, {Name: "a", Host: "h", Prefix: "/a/"}, {Name: "ab", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "g", Prefix: "/a/b/c/"},
	}})
	for uri, want := range map[string]string{
		"/": "all", "/a": "all", "/a/": "a", "/a/b": "a", "/a/b/?/a/": "ab", "/a/b/c/d": "ab", "/?/a/b/": "all", "x": "",
	} {
		if got, _ := r.find("H:80", uri); got.Name != want {
			t.Errorf("%q is routed to %q, want %q", uri, got.Name, want)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	parts := []platform.WeightedService{{Service: "a", Weight: 900}, {Service: "b", Weight: 100}}
	n := 0
	const draws = 20_000
	for range draws {
		if pickService(parts) == "b" {
			n++
		}
	}
	if n < draws/10*8/10 || n > draws/10*12/10 {
		t.Errorf("%d of %d draws for a weight of a tenth", n, draws)
	}
}

func TestParseSettingsReportsEveryError(t *testing.T) {
	_, err := ParseSettings("f.toml", []byte(`[instance]
id = ""
zone = "a"
link_mbps = -1
colour = "red"
[listen]
callers = "localhost:80"
[retry]
ratio = 2.0
[quota]
window = "1ms"
excess = -0.1
tolerance = nan
[place]
floor_share = 1.5
[promises]
drain_within = "1h1s"
revoke_within = "-1s"
[log]
requests = "some"
`))
	var faults *tomlfile.ValidationError
	if !errors.As(err, &faults) {
		t.Fatalf("got %v", err)
	}
	for _, key := range []string{"instance.id", "instance.link_mbps", "instance.colour", "listen.callers", "listen.ready", "store.address", "retry.ratio", "quota.window", "quota.excess", "quota.tolerance", "place.floor_share", "promises.drain_within", "promises.revoke_within", "log.requests"} {
		if !slices.ContainsFunc(faults.Fields, func(f tomlfile.FieldError) bool { return f.Key == key }) {
			t.Errorf("no error about %s in\n%v", key, err)
		}
	}
}

func TestRestartNeededNamesChangedTables(t *testing.T) {
	a, b := DefaultSettings(), DefaultSettings()
	b.Store.Address = "192.0.2.1:80"
	b.Log.Requests = LogAll
	if got := a.restartNeeded(&b); !slices.Equal(got, []string{"store"}) {
		t.Errorf("got %v", got)
	}
}

func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := message{From: dispatch.PeerID(rapid.Uint64().Draw(t, "from")), Revision: platform.Revision(rapid.Uint64().Draw(t, "revision")), Leaving: rapid.Bool().Draw(t, "leaving"), HasFullRetryWindow: rapid.Bool().Draw(t, "seasoned")}
		for range rapid.IntRange(0, maxEvents).Draw(t, "events") {
			m.Events = append(m.Events, dispatch.Event{
				Endpoint: dispatch.EndpointID(rapid.Uint32().Draw(t, "endpoint")),
				InFlight: rapid.IntRange(0, 200).Draw(t, "in flight"),
				Kind:     dispatch.EventKind(rapid.IntRange(1, int(dispatch.LimitEnded)).Draw(t, "kind")),
				Value:    rapid.IntRange(0, 1_000_000_000).Draw(t, "took"),
			})
		}
		data, err := encodeMessage(m)
		if err != nil || len(data) > maxDatagramBytes {
			t.Fatalf("%d bytes, %v", len(data), err)
		}
		list, err := decodeMessages(data)
		if err != nil || len(list) != 1 {
			t.Fatalf("got %d messages, %v", len(list), err)
		}
		got := list[0]
		if got.From != m.From || got.Revision != m.Revision || got.Leaving != m.Leaving || got.HasFullRetryWindow != m.HasFullRetryWindow || !slices.Equal(got.Events, m.Events) {
			t.Fatalf("got %+v; want %+v", got, m)
		}
	})
}

func FuzzDecodeMessages(f *testing.F) {
	data, err := encodeMessage(message{From: 1, Events: []dispatch.Event{{Endpoint: 1, InFlight: 2, Kind: dispatch.Started}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Add([]byte{9})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeMessages(data)
	})
}

// Guards against a data race: an instance registers again, and discovery read its record in a snapshot meanwhile.
func TestSnapshotKeepsItsRegistrations(t *testing.T) {
	settings := DefaultSettings()
	c := newControl(&settings, slog.New(slog.DiscardHandler), nil)
	put := func(callers string) {
		value, err := cbor.Marshal(memberRecord{Peer: 7, Zone: "a", CallerAddr: callers, PeerAddr: netip.MustParseAddrPort("192.0.2.1:1")})
		if err != nil {
			t.Fatal(err)
		}
		c.members.put(time.Now(), memberPrefix+"other", value)
	}
	put("192.0.2.1:80")
	c.publish(time.Now())
	snapshot := c.snapshot.Load()
	done := make(chan []string)
	go func() { done <- addresses(snapshot.alive, "a") }()
	put("192.0.2.1:81")
	if got := <-done; !slices.Equal(got, []string{"192.0.2.1:80"}) {
		t.Errorf("addresses of the snapshot: %v", got)
	}
	c.publish(time.Now())
	if got := addresses(c.snapshot.Load().alive, "a"); !slices.Equal(got, []string{"192.0.2.1:81"}) {
		t.Errorf("addresses of the next snapshot: %v", got)
	}
}

func TestDiscoveryOmitsSilentAndLeavingInstances(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembers("self", "a", slog.New(slog.DiscardHandler))
	put := func(id, zone string) *member {
		e := &member{memberRecord: &memberRecord{Zone: zone, CallerAddr: id, PeerAddr: netip.MustParseAddrPort("192.0.2.1:1")}, joined: now, lastSeen: now}
		m.byKey[memberPrefix+id] = e
		return e
	}
	for _, id := range []string{"1", "2", "3", "4"} {
		put(id, "a")
	}
	put("5", "b")
	silent := put("6", "a")
	put("7", "a").leaving = true
	later := now.Add(silenceTimeout + time.Second)
	for _, e := range m.byKey {
		e.lastSeen = later
	}
	silent.lastSeen = now
	got := addresses(records(m.alive(later)), "a")
	slices.Sort(got)
	if !slices.Equal(got, []string{"1", "2", "3", "4"}) {
		t.Errorf("callers of zone a get %v", got)
	}
	if got := addresses(records(m.alive(later)), "b"); len(got) != 5 {
		t.Errorf("callers of a zone with one instance get %v", got)
	}
	// An instance that gets no messages at all can't tell which others are gone.
	if got := m.alive(later.Add(time.Hour)); len(got) != 6 {
		t.Errorf("isolated: %d instances are alive, want 6", len(got))
	}
}

// Guards against use of upstreams that left while one instance could not reach the store. If others
// got later revisions meanwhile, the store was available, and a missing registration was removed.
func TestMissingUpstreamAfterOutageOfOneInstanceIsRemoved(t *testing.T) {
	entry := []byte(`{"service":"s","address":"192.0.2.1:80","zone":"a","version":"v","capacity":4,"state":"ready","warmup_left":"0ms","sequence":1}`)
	for name, tc := range map[string]struct {
		othersAhead bool
		kept        bool
	}{
		"others were ahead":  {othersAhead: true, kept: false},
		"the store was down": {othersAhead: false, kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			settings := DefaultSettings()
			settings.Instance = InstanceSettings{ID: "one", Zone: "a"}
			c := newControl(&settings, slog.New(slog.DiscardHandler), nil)
			now := time.Unix(1000, 0)
			c.applyFullRead(now, []platform.Item{{Key: "servers/i-1", Value: entry, Revision: 5}}, 5, 5)
			if tc.othersAhead {
				c.handleMessage(now.Add(time.Second), &message{From: c.peer + 1, Revision: 9})
			}
			back := now.Add(12 * time.Second)
			c.lastStoreError = back
			c.applyFullRead(back, nil, 9, 9)
			if kept := len(c.registry.keys()) == 1; kept != tc.kept {
				t.Errorf("kept %v", kept)
			}
			c.registry.expire(back.Add(2 * time.Second))
			if len(c.registry.keys()) != 0 {
				t.Error("still kept two seconds after the store was available again")
			}
		})
	}
}

// Guards against dropping a live instance: the store removes the registration of one that has just
// joined and not sent a message yet, or that still sends messages.
func TestDeregisteredInstanceStaysWhileAliveOrJustJoined(t *testing.T) {
	now := time.Unix(1000, 0)
	value, err := cbor.Marshal(memberRecord{Peer: 7, Zone: "a", PeerAddr: netip.MustParseAddrPort("10.1.0.1:7540")})
	if err != nil {
		t.Fatal(err)
	}
	for name, tc := range map[string]struct {
		seen, leaving bool
		after         time.Duration
		stays         bool
	}{
		"just joined":   {false, false, silenceTimeout, true},
		"never seen":    {false, false, silenceTimeout + time.Millisecond, false},
		"seen":          {true, false, 2 * silenceTimeout, true},
		"seen, leaving": {true, true, 0, false},
	} {
		m := newMembers("self", "a", slog.New(slog.NewJSONHandler(io.Discard, nil)))
		m.put(now, memberPrefix+"one", value)
		at := now.Add(tc.after)
		if tc.seen {
			m.recordMessage(at, &message{From: 7, Leaving: tc.leaving})
		}
		m.remove(at, memberPrefix+"one")
		m.expire(at)
		if got := len(m.byKey) == 1; got != tc.stays {
			t.Errorf("%s: stays %v", name, got)
		}
		if m.expire(at.Add(silenceTimeout + time.Millisecond)); len(m.byKey) != 0 {
			t.Errorf("%s: stays although it is silent", name)
		}
	}
}

func TestLogWriterNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	l := newLogWriter(w)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	const lines = 2 * logBufferBytes / 1000
	for range lines {
		if _, err := l.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if l.dropped.Load() == 0 {
		t.Errorf("no line dropped of %d bytes that nobody reads, bound %d", lines*len(line), logBufferBytes)
	}
	read := make(chan int)
	go func() {
		data, _ := io.ReadAll(r)
		read <- bytes.Count(data, []byte("\n"))
	}()
	_ = l.Close()
	_ = w.Close()
	if got := <-read + int(l.dropped.Load()); got != lines {
		t.Errorf("%d lines written or dropped, want %d", got, lines)
	}
}

// fillTemplate fills in a template as the platform does: values are JSON, and a section is kept only
// if its value is given.
func fillTemplate(template string, values map[string]string) string {
	section := regexp.MustCompile(`\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	template = section.ReplaceAllStringFunc(template, func(found string) string {
		parts := section.FindStringSubmatch(found)
		if _, ok := values[parts[1]]; !ok {
			return ""
		}
		return parts[2]
	})
	placeholder := regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
	return placeholder.ReplaceAllStringFunc(template, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		if parts[2] == "" {
			return strings.Trim(values[parts[1]], `"`)
		}
		return values[parts[1]]
	})
}

// The platform fills in the template: its keys must match the settings, and a process must start
// with any of the bounds as a fraction or omitted.
func TestDeployTemplateMatchesSettings(t *testing.T) {
	text, err := os.ReadFile("../../deploy/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	least := map[string]string{
		"node_name": `"edge-1"`, "zone": `"a"`, "listeners_map.frontend": `"10.1.0.34:8548"`, "listeners_map.ready": `"10.1.0.34:8542"`,
		"listeners_map.directory_service": `"10.1.0.34:8546"`, "ip": `"10.1.0.34"`, "port_range.0": "7540", "platform.address": `"10.200.1.7:8541"`,
	}
	all := map[string]string{
		"region": `"r"`, "bootstrap": "true", "limits.link_mbps": "200.0", "bounds.config_apply": `"2000ms"`, "bounds.drain": `"2.5s"`, "bounds.grace": `"6s"`,
		"bounds.strict_revocation": "true", "bounds.revoke": `"5s"`,
		"bounds.retry_window": `"10s"`, "bounds.retry_budget_ratio": "0.25", "bounds.retry_extra": "62", "bounds.floor_share": "0.6",
		"bounds.quota_window": `"4s"`, "bounds.quota_excess": "0.2", "bounds.quota_tolerance": "12",
	}
	maps.Copy(all, least)
	fractions := maps.Clone(all)
	fractions["bounds.quota_tolerance"], fractions["bounds.quota_excess"] = "10.5", "0"
	fractions["bounds.retry_extra"], fractions["bounds.retry_budget_ratio"], fractions["bounds.floor_share"] = "20.476190476190474", "0", "1"
	for name, tc := range map[string]struct {
		values map[string]string
		retry  RetrySettings
		quota  QuotaSettings
		drain  time.Duration
		floor  float64
		link   float64
	}{
		"all":       {all, RetrySettings{Window: 10 * time.Second, Ratio: 0.25, Extra: 62}, QuotaSettings{Window: 4 * time.Second, Excess: 0.2, Tolerance: 12}, 2500 * time.Millisecond, 0.6, 200},
		"fractions": {fractions, RetrySettings{Window: 10 * time.Second, Ratio: 0, Extra: 20.476190476190474}, QuotaSettings{Window: 4 * time.Second, Excess: 0, Tolerance: 10.5}, 2500 * time.Millisecond, 1, 200},
		"least":     {least, DefaultSettings().Retry, DefaultSettings().Quota, DefaultSettings().Promises.DrainWithin, DefaultSettings().Place.FloorShare, 0},
	} {
		s, err := ParseSettings("settings.toml", []byte(fillTemplate(string(text), tc.values)))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if s.Listen.Peers != "10.1.0.34:7540" || s.Retry != tc.retry || s.Quota != tc.quota || s.Promises.DrainWithin != tc.drain || s.Place.FloorShare != tc.floor || s.Instance.LinkMbps != tc.link || s.Instance.FirstStart != (name != "least") || (s.Promises.RevokeWithin == 5*time.Second) != (name != "least") {
			t.Errorf("%s: got %+v", name, s)
		}
	}
}
