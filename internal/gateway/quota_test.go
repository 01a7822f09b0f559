package gateway

import (
	"encoding/hex"
	"errors"
	"math"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/accounts"
	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/quota"
	"github.com/damaskcove/damaskcove/internal/forward"
)

func TestMessagesWithUses(t *testing.T) {
	largest := message{From: math.MaxUint64, Revision: math.MaxUint64, Config: math.MaxUint32}
	for range maxUses {
		largest.Uses = append(largest.Uses, quota.Use{Account: math.MaxUint64, Taken: math.MaxUint32, Returned: math.MaxUint32, Recent: math.MaxUint32})
	}
	for range maxEvents - eventsPerUse*maxUses {
		largest.Events = append(largest.Events, dispatch.Event{Endpoint: math.MaxUint32, InFlight: 200, Kind: dispatch.LimitUsed, Value: 1_000_000_000})
	}
	var datagram []byte
	sent := []message{{From: 1, Uses: []quota.Use{{Account: 9, Taken: 3}}}, {From: 2}, largest}
	for _, m := range sent {
		data, err := encodeMessage(m)
		if err != nil || len(data) > maxDatagramBytes {
			t.Fatalf("%d bytes, %v", len(data), err)
		}
		if len(datagram) == 0 {
			datagram = append(datagram, data[0])
		}
		datagram = append(datagram, data[1:]...)
	}
	got, err := decodeMessages(datagram)
	if err != nil || len(got) != len(sent) {
		t.Fatalf("%d messages, %v", len(got), err)
	}
	for k := range sent {
		if got[k].From != sent[k].From || !reflect.DeepEqual(got[k].Uses, sent[k].Uses) || len(got[k].Events) != len(sent[k].Events) {
			t.Errorf("got %+v, want %+v", got[k], sent[k])
		}
	}
}

// Instances of a fleet without accounts send what they always have.
func TestMessagesWithoutUsesAreUnchanged(t *testing.T) {
	data, err := encodeMessage(message{From: 5, Revision: 6, Following: true, Config: 7, Events: []dispatch.Event{{Endpoint: 1, InFlight: 2, Kind: dispatch.Started, Value: 3}}})
	if want := "00880506f4f4f5f407818401020103"; err != nil || hex.EncodeToString(data) != want {
		t.Errorf("%x, %v; want %s", data, err, want)
	}
}

func TestQuotaLevelsFitADatagram(t *testing.T) {
	m := quotaLevels{Levels: make([]quota.Level, maxLevels)}
	for k := range m.Levels {
		m.Levels[k] = quota.Level{Account: math.MaxUint64, Tokens: -math.MaxFloat32}
	}
	if data, err := encodeKind(datagramQuotaLevels, m); err != nil || len(data) > maxDatagramBytes {
		t.Errorf("%d bytes, %v", len(data), err)
	}
}

// acquire has an instance place a request of an account, and reports whether the account's limit has room.
func (in *instance) acquire(t *testing.T, account string) bool {
	t.Helper()
	now := time.Now()
	g, err := in.gateway.control.Acquire(dispatch.Request{Service: "orders", Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second), Account: accounts.IDOf(account)})
	var rejected *forward.Rejected
	if errors.As(err, &rejected) && rejected.Reason == dispatch.AccountLimit {
		if rejected.RetryAfter <= 0 {
			t.Errorf("no time after which there is room")
		}
		return false
	}
	if err != nil {
		t.Fatal(err)
	}
	in.gateway.control.Ended(g, dispatch.EndedServed, time.Millisecond)
	return true
}

// fullLevel is the level of an account's limit of which nothing is used.
const fullLevel = 11

// quotaLevel returns the level of an account's limit as an instance knows it, rounded down.
func (in *instance) quotaLevel(account string) int {
	return inControl(in, func(c *control) int {
		for _, v := range c.quota.Handover(time.Now()) {
			if v.Account == accounts.IDOf(account) {
				return int(math.Floor(float64(v.Tokens)))
			}
		}
		return fullLevel
	})
}

// startAccountFleet starts instances for the first time, with an account that has a stored burst and hardly any rate.
func startAccountFleet(t *testing.T, instances, brokersFrom int) (*testFleet, *upstream) {
	t.Helper()
	fleet := newTestFleet(t)
	fleet.firstStart, fleet.brokersFrom = true, brokersFrom
	u := fleet.startUpstream("i-1", "orders")
	for k := range instances {
		fleet.startInstance(string(rune('p'+k)), "a")
	}
	fleet.configureAccounts(map[string]testAccount{"bakery": {Keys: []string{"key-1"}, Rate: 0.001, Burst: 10}, "kiosk": {Keys: []string{"key-2"}}})
	for _, in := range fleet.instances {
		eventually(t, "every instance knows the others and the upstream", func() bool {
			return inControl(in, func(c *control) bool {
				return len(c.members.byKey) == instances-1 && len(c.registry.entries) == 1 && c.brokered() == (brokersFrom > 0)
			})
		})
	}
	return fleet, u
}

// What one instance places counts against the limit at all, and one that starts takes over what is left.
func TestAccountLimitOverInstances(t *testing.T) {
	fleet, _ := startAccountFleet(t, 3, 0)
	first, second := fleet.instances[0], fleet.instances[1]
	const full = fullLevel
	for range 4 {
		if !first.acquire(t, "bakery") {
			t.Fatal("a request within the limit was rejected")
		}
	}
	eventually(t, "the others know", func() bool { return second.quotaLevel("bakery") == full-4 })
	fleet.firstStart = false
	last := fleet.startInstance("z", "a")
	eventually(t, "an instance that starts knows", func() bool {
		return inControl(last, func(c *control) bool { return c.quota != nil }) && last.quotaLevel("bakery") > 0
	})
	for _, in := range fleet.instances {
		eventually(t, "every instance sends to the others", func() bool { return len(in.gateway.control.snapshot.Load().alive) == 3 })
	}
	if got := last.quotaLevel("bakery"); got > full-4 {
		t.Errorf("an instance that has started knows of %d requests that may run, want at most %d", got, full-4)
	}
	for range full - 4 {
		if !second.acquire(t, "bakery") {
			t.Fatal("a request within the limit was rejected")
		}
	}
	eventually(t, "the limit is used up", func() bool { return first.quotaLevel("bakery") == 0 && last.quotaLevel("bakery") <= 0 })
	if first.acquire(t, "bakery") {
		t.Error("a request over the limit was placed")
	}
	for range 50 {
		if !first.acquire(t, "kiosk") {
			t.Fatal("a request of an account without a limit was rejected")
		}
	}
	first.gateway.control.ReturnQuota(accounts.IDOf("bakery")) // It has taken 4.
	eventually(t, "the others know of the return", func() bool { return second.quotaLevel("bakery") == 1 })
}

// Each instance of a brokered fleet uses an equal part.
func TestAccountLimitOfABrokeredFleet(t *testing.T) {
	fleet, _ := startAccountFleet(t, 4, 4)
	placed := 0
	for range 25 {
		for _, in := range fleet.instances {
			if in.acquire(t, "bakery") {
				placed++
			}
		}
	}
	if most := (0.001*5+10)*1.1 + 20; placed == 0 || float64(placed) > most {
		t.Errorf("%d requests placed, at most %g may be", placed, most)
	}
}

// A request that finds no upstream does not use up its account's limit.
func TestRejectedRequestReturnsItsQuota(t *testing.T) {
	fleet, _ := startAccountFleet(t, 1, 0)
	in := fleet.instances[0]
	for range 3 * fullLevel {
		now := time.Now()
		_, err := in.gateway.control.Acquire(dispatch.Request{Service: "unknown", Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second), Account: accounts.IDOf("bakery")})
		var rejected *forward.Rejected
		if !errors.As(err, &rejected) || rejected.Reason != dispatch.NoEndpoint {
			t.Fatal(err)
		}
	}
	if got := in.quotaLevel("bakery"); got != fullLevel {
		t.Errorf("%d requests may run, want %d", got, fullLevel)
	}
}

// A caller over its account's limit gets 429, and other accounts are served.
func TestCallerOverItsLimit(t *testing.T) {
	fleet, u := startAccountFleet(t, 1, 0)
	in := fleet.instances[0]
	send := func(key string) int {
		raw := "GET /x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token " + key + "\r\nDeadline-Ms: 4000\r\n\r\n"
		return in.exchange(t, raw, http.MethodGet)[0]
	}
	for range fullLevel {
		if status := send("key-1"); status != http.StatusOK {
			t.Fatalf("a request within the limit got status %d", status)
		}
	}
	if status := send("key-1"); status != http.StatusTooManyRequests {
		t.Errorf("a request over the limit got status %d", status)
	}
	if status := send("key-2"); status != http.StatusOK {
		t.Errorf("a request without a limit got status %d", status)
	}
	if got := u.requests.Load(); got != fullLevel+1 {
		t.Errorf("%d requests reached the upstream, want %d", got, fullLevel+1)
	}
	eventually(t, "logged with account and limit", func() bool {
		return strings.Contains(in.logs.String(), `"code":1027`) && strings.Contains(in.logs.String(), "account bakery is at its limit of 0.001 requests a second")
	})
}
