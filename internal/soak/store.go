package soak

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	storeLatency   = 4 * time.Millisecond // Of a call, without a fault.
	storeHistory   = 20 * time.Second     // Age up to which changes can be watched.
	storePage      = 50                   // Items in a reply to a range; few, so that ranges have several pages.
	readsPerSecond = 2000                 // Further calls get 429.
)

// store is a stand-in of the platform's metadata store. Each machine reaches it through a door of its
// own, so that faults can concern single machines.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]storeItem
	history   []storeEvent
	compacted uint64 // Revision up to which the history was forgotten.
	leases    map[uint64]*storeLease
	lastLease uint64
	changed   chan struct{} // Closed at the next change.
	paused    bool          // Leases don't expire.
	readsFrom time.Time     // Start of the second in which reads are counted.
	reads     int
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeEvent struct {
	item storeItem
	at   time.Time
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// doorFault is how a door treats calls.
type doorFault int

const (
	faultNone   doorFault = iota
	faultSilent           // Calls have no effect and get no response, nor do later ones on their connections.
	faultCutOut           // Calls have their effect; responses are lost.
	faultBusy             // Calls get 503.
	faultReset            // Connections are reset.
	faultSlow             // Calls take doorState.latency.
	faultLost             // Some responses are lost; some writes have their effect late.
)

// doorState is a door's fault and its figures.
type doorState struct {
	fault   doorFault
	latency time.Duration
	share   float64 // Of calls, for faultLost.
}

// door is the address at which one machine reaches the store.
type door struct {
	store    *store
	machine  string
	listener net.Listener
	rewrite  func(value []byte) []byte // Applied to the values that the machine writes; may be nil.

	mu    sync.Mutex
	state doorState
	conns map[*doorConn]bool
}

type doorConn struct {
	net.Conn
	muted atomic.Bool // A response was lost: the connection returns nothing further.
}

func newStore() *store {
	return &store{revision: 1, items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
}

// open returns a new door at an address.
func (s *store) open(machine, addr string) (*door, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("open the store's door of %s: %w", machine, err)
	}
	d := &door{store: s, machine: machine, listener: l, conns: map[*doorConn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(&doorConn{Conn: c})
		}
	}()
	return d, nil
}

func (d *door) close() { _ = d.listener.Close() }

func (d *door) current() doorState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}

// set starts a fault, or ends it. A reset also concerns the calls that wait.
func (d *door) set(state doorState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state = state
	if state.fault == faultReset {
		for c := range d.conns {
			reset(c.Conn)
		}
	}
}

// mute makes all open connections silent for good; new ones work.
func (d *door) mute() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.muted.Store(true)
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	under := c
	if linked, ok := c.(*linkConn); ok {
		under = linked.Conn
	}
	if tcp, ok := under.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (d *door) serve(c *doorConn) {
	d.mu.Lock()
	d.conns[c] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		status, reply, lost := d.call(req, body)
		switch fault := d.current().fault; {
		case fault == faultReset:
			reset(c.Conn)
			return
		case lost, c.muted.Load(), fault == faultSilent, fault == faultCutOut:
			_, _ = io.Copy(io.Discard, br)
			return
		}
		data, err := json.Marshal(reply)
		if err != nil {
			return
		}
		head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), len(data))
		if _, err := c.Write(append([]byte(head), data...)); err != nil {
			return
		}
	}
}

// call carries out one call under the door's present fault. lost reports that its response is lost.
func (d *door) call(req *http.Request, body []byte) (status int, reply any, lost bool) {
	state := d.current()
	latency := storeLatency
	switch state.fault {
	case faultSilent:
		return 0, nil, true
	case faultReset:
		return 0, nil, false
	case faultBusy:
		return http.StatusServiceUnavailable, map[string]any{}, false
	case faultSlow:
		latency = state.latency
	case faultLost:
		if rand.Float64() < state.share {
			if rand.IntN(2) == 0 {
				late := time.Duration(500+rand.IntN(2500)) * time.Millisecond
				time.AfterFunc(late, func() { d.store.handle(d, req, body) })
				return 0, nil, true
			}
			lost = true
		}
	}
	time.Sleep(latency)
	status, reply = d.store.handle(d, req, body)
	return status, reply, lost
}

func (s *store) handle(d *door, req *http.Request, body []byte) (int, any) {
	q := req.URL.Query()
	path := req.URL.Path
	if req.Method == http.MethodGet && !s.admit() {
		return http.StatusTooManyRequests, map[string]any{}
	}
	switch {
	case path == "/damaskcove/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		item, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, map[string]any{"at": s.revision}
		}
		return http.StatusOK, item
	case path == "/damaskcove/kv-range":
		return s.rangeCall(q)
	case path == "/damaskcove/kv-watch":
		return s.watchCall(q)
	case path == "/damaskcove/kv-txn":
		return s.txnCall(d, body)
	case path == "/damaskcove/kv-lease":
		return s.leaseCall(body)
	case strings.HasPrefix(path, "/damaskcove/kv-keep/"):
		return s.keepCall(strings.TrimPrefix(path, "/damaskcove/kv-keep/"))
	case strings.HasPrefix(path, "/damaskcove/kv-lease-end/"):
		id, err := strconv.ParseUint(strings.TrimPrefix(path, "/damaskcove/kv-lease-end/"), 10, 64)
		if err != nil {
			return http.StatusBadRequest, map[string]any{}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
		return http.StatusOK, map[string]any{}
	}
	return http.StatusNotFound, map[string]any{}
}

// admit counts a read and reports whether it is within the limit.
func (s *store) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.readsFrom) >= time.Second {
		s.readsFrom, s.reads = now, 0
	}
	s.reads++
	return s.reads <= readsPerSecond
}

func (s *store) rangeCall(q url.Values) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("path_prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > storePage
	keys = keys[:min(len(keys), storePage)]
	items := make([]storeItem, 0, len(keys))
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "at": s.revision}
}

func (s *store) watchCall(q url.Values) (int, any) {
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	ms, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			return http.StatusGone, map[string]any{}
		}
		var events []storeItem
		for _, e := range s.history {
			if e.item.Revision > after && strings.HasPrefix(e.item.Key, q.Get("path_prefix")) {
				events = append(events, e.item)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"events": []storeItem{}, "at": at}
		}
	}
}

func (s *store) txnCall(d *door, body []byte) (int, any) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.Unmarshal(body, &t) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []storeItem{}}
		}
	}
	for _, w := range t.Writes {
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.revision++
	for _, w := range t.Writes {
		if d.rewrite != nil {
			w.Value = d.rewrite(w.Value)
		}
		s.write(w.Key, w.Value, w.Lease)
	}
	for _, k := range t.Deletes {
		s.remove(k)
	}
	s.wake()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) leaseCall(body []byte) (int, any) {
	var in struct {
		TTL string `json:"ttl_time"`
	}
	if json.Unmarshal(body, &in) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	ttl, err := time.ParseDuration(in.TTL)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_time": in.TTL}
}

func (s *store) keepCall(text string) (int, any) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, map[string]any{}
	}
	l.expires = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"ttl_time": l.ttl.String()}
}

// endLease ends a lease; the caller holds mu.
func (s *store) endLease(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	s.revision++
	for k, item := range s.items {
		if item.Lease == id {
			s.remove(k)
		}
	}
	s.wake()
}

// sweep ends the leases that are due and forgets old history.
func (s *store) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := 0
	for old < len(s.history) && now.Sub(s.history[old].at) > storeHistory {
		old++
	}
	s.forget(old)
	if s.paused {
		return
	}
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// forget drops the first n events; the caller holds mu.
func (s *store) forget(n int) {
	if n > 0 {
		s.compacted = s.history[n-1].item.Revision
		s.history = slices.Clone(s.history[n:])
	}
}

// compact forgets the whole history.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(len(s.history))
}

// pauseLeases stops the leases, or lets them run on with the time that they had.
func (s *store) pauseLeases(on bool, lasted time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = on
	for _, l := range s.leases {
		l.expires = l.expires.Add(lasted)
	}
}

// revoke ends the leases of the keys for which match returns true.
func (s *store) revoke(match func(key string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, item := range s.items {
		if item.Lease != 0 && match(key) {
			s.endLease(item.Lease)
		}
	}
}

// write and remove change a key at the present revision; the caller holds mu.
func (s *store) write(key string, value []byte, lease uint64) {
	item := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(value), Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.history = append(s.history, storeEvent{item, time.Now()})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, storeEvent{storeItem{Key: key, Revision: s.revision, Deleted: true}, time.Now()})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or an upstream does, and returns the time of the acknowledgement.
func (s *store) put(key string, value any) (time.Time, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return time.Time{}, fmt.Errorf("encode the value of %s: %w", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, data, 0)
	s.wake()
	return time.Now(), nil
}

// del removes a key as an upstream does, and returns the time of the acknowledgement.
func (s *store) del(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
	return time.Now()
}
