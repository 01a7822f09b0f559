package standin

import (
	"fmt"
	"time"

	"github.com/damaskcove/damaskcove/internal/metastore"
)

// store holds keys and leases. The caller must serialise all calls.
type store struct {
	records   map[string]*record
	leases    map[metastore.LeaseID]*lease
	lastLease metastore.LeaseID
}

// record is one key. It is kept with version 0 after the key is removed, so that versions never repeat.
type record struct {
	data    []byte
	version metastore.Version // 0 when the key is absent.
	highest metastore.Version // Highest version ever assigned.
	lease   metastore.LeaseID
	changed chan struct{} // Closed and replaced at each change.
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore() *store {
	return &store{
		records: make(map[string]*record),
		leases:  make(map[metastore.LeaseID]*lease),
	}
}

func (s *store) record(key string) *record {
	r, ok := s.records[key]
	if !ok {
		r = &record{changed: make(chan struct{})}
		s.records[key] = r
	}
	return r
}

// compareAndSwap writes key when its version is expected.
func (s *store) compareAndSwap(key string, expected metastore.Version, data []byte, id metastore.LeaseID) (metastore.Version, error) {
	if len(data) > metastore.MaxValueBytes {
		return 0, fmt.Errorf("%w: key %q, %d bytes, at most %d", metastore.ErrTooLarge, key, len(data), metastore.MaxValueBytes)
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return 0, fmt.Errorf("%w: lease %d of key %q", metastore.ErrLeaseLost, id, key)
	}
	r := s.record(key)
	if r.version != expected {
		return r.version, fmt.Errorf("%w: key %q is at version %d, expected %d", metastore.ErrConflict, key, r.version, expected)
	}
	r.highest++
	r.version = r.highest
	r.data = append([]byte(nil), data...)
	r.lease = id
	r.notifyWatches()
	return r.version, nil
}

func (r *record) notifyWatches() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// value returns the key's data and version.
func (r *record) value(key string) (metastore.Value, error) {
	if r.version == 0 {
		return metastore.Value{}, fmt.Errorf("%w: %q", metastore.ErrNotFound, key)
	}
	return metastore.Value{Data: append([]byte(nil), r.data...), Version: r.version}, nil
}

func (s *store) grant(now time.Time, ttl time.Duration) metastore.LeaseID {
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: now.Add(ttl)}
	return s.lastLease
}

func (s *store) keepAlive(now time.Time, id metastore.LeaseID) error {
	l, ok := s.leases[id]
	if !ok {
		return fmt.Errorf("%w: lease %d", metastore.ErrLeaseLost, id)
	}
	l.expires = now.Add(l.ttl)
	return nil
}

// expireDue expires every lease whose time to live is over.
func (s *store) expireDue(now time.Time) {
	for id, l := range s.leases {
		if !l.expires.After(now) {
			s.expireLease(id)
		}
	}
}

// expireLease removes a lease and its keys.
func (s *store) expireLease(id metastore.LeaseID) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	for _, r := range s.records {
		if r.version != 0 && r.lease == id {
			r.version = 0
			r.data = nil
			r.notifyWatches()
		}
	}
}

// clone returns a copy of the store.
func (s *store) clone() *store {
	c := newStore()
	c.lastLease = s.lastLease
	for key, r := range s.records {
		copied := *r
		copied.changed = make(chan struct{})
		c.records[key] = &copied
	}
	for id, l := range s.leases {
		copied := *l
		c.leases[id] = &copied
	}
	return c
}
