package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: linearizable, with leases, watches and a
// full history. Each machine reaches it at an address of its own, so that it can be made to give
// some machines no response while it serves the others and the operator.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]storeItem
	history   []storeItem
	leases    map[uint64]*storeLease
	lastLease uint64
	changed   chan struct{} // Closed at the next change.
	doors     []*door
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// door is the address at which one machine reaches the store.
type door struct {
	store    *store
	listener net.Listener

	mu     sync.Mutex
	silent bool
}

func newStore() *store {
	return &store{revision: 1, items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
}

// open returns a new address of the store.
func (s *store) open() (*door, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{store: s, listener: l}
	s.doors = append(s.doors, d)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d, nil
}

func (d *door) addr() string { return d.listener.Addr().String() }

// setSilent sets whether calls through this door get no response. A connection on which a response
// was lost returns nothing further.
func (d *door) setSilent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = on
}

func (d *door) isSilent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent
}

func (d *door) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
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
		if d.isSilent() { // Not executed, and no response on this connection any more.
			_, _ = io.Copy(io.Discard, br)
			return
		}
		status, reply := d.store.handle(req, body)
		if d.isSilent() { // The response is lost, and so is what would follow.
			_, _ = io.Copy(io.Discard, br)
			return
		}
		data, _ := json.Marshal(reply)
		head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), len(data))
		if _, err := c.Write(append([]byte(head), data...)); err != nil {
			return
		}
	}
}

func (s *store) handle(req *http.Request, body []byte) (int, any) {
	q := req.URL.Query()
	path := req.URL.Path
	switch {
	case path == "/damaskcove/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		it, ok := s.items[q.Get("key")]
		if !ok {
			return 404, map[string]any{"at": s.revision}
		}
		return 200, it
	case path == "/damaskcove/kv-range":
		return s.rangeCall(q)
	case path == "/damaskcove/kv-watch":
		return s.watchCall(q)
	case path == "/damaskcove/kv-txn":
		return s.txnCall(body)
	case path == "/damaskcove/kv-lease":
		return s.leaseCall(body)
	case strings.HasPrefix(path, "/damaskcove/kv-keep/"):
		return s.keepCall(strings.TrimPrefix(path, "/damaskcove/kv-keep/"))
	case strings.HasPrefix(path, "/damaskcove/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/damaskcove/kv-lease-end/"), 10, 64)
		s.endLease(id)
		return 200, map[string]any{}
	}
	return 404, map[string]any{}
}

const storePage = 500

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
	if more {
		keys = keys[:storePage]
	}
	items := make([]storeItem, 0, len(keys))
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	return 200, map[string]any{"items": items, "has_more": more, "at": s.revision}
}

func (s *store) watchCall(q url.Values) (int, any) {
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		var events []storeItem
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("path_prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return 200, map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-timeout:
			return 200, map[string]any{"events": []storeItem{}, "at": at}
		}
	}
}

func (s *store) txnCall(body []byte) (int, any) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Writes []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.Unmarshal(body, &t) != nil {
		return 400, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return 412, map[string]any{"items": []storeItem{}}
		}
	}
	for _, w := range t.Writes {
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			return 403, map[string]any{}
		}
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 404, map[string]any{}
		}
	}
	s.revision++
	for _, w := range t.Writes {
		s.write(w.Key, w.Value, w.Lease)
	}
	for _, k := range t.Deletes {
		s.remove(k)
	}
	s.wake()
	return 200, map[string]any{"revision": s.revision}
}

func (s *store) leaseCall(body []byte) (int, any) {
	var in struct {
		TTL string `json:"ttl_time"`
	}
	_ = json.Unmarshal(body, &in)
	ttl, err := time.ParseDuration(in.TTL)
	if err != nil {
		return 400, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	return 200, map[string]any{"lease": id, "ttl_time": in.TTL}
}

func (s *store) keepCall(text string) (int, any) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 404, map[string]any{}
	}
	l.timer.Reset(l.ttl)
	return 200, map[string]any{"ttl_time": l.ttl.String()}
}

func (s *store) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for k, it := range s.items {
		if it.Lease == id {
			s.remove(k)
		}
	}
	s.wake()
}

// write and remove change a key at the present revision; the caller holds mu.
func (s *store) write(key, value string, lease uint64) {
	it := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or an endpoint does. It returns when the store has accepted it.
func (s *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, base64.StdEncoding.EncodeToString(data), 0)
	s.wake()
}

// del removes a key as an endpoint does.
func (s *store) del(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}
