package listing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// simulation connects a few managers by a network that drops, delays and duplicates messages.
type simulation struct {
	now      time.Time
	latest   metastore.Listing
	history  []metastore.Listing
	lag      int // How many versions behind the latest a read returns.
	down     bool
	reads    int
	managers []*Manager
	watchers []bool
	queue    []packet
	posted   []func(now time.Time)
	lost     func(p packet) bool
	versions []uint64 // Highest version seen at each manager.
}

type packet struct {
	from, to int
	body     Message
}

type link struct {
	s    *simulation
	from int
}

func (l link) Send(to fleet.Ref, _ wire.Kind, body any) {
	l.s.queue = append(l.s.queue, packet{from: l.from, to: index(to), body: body.(Message)})
}

func ref(i int) fleet.Ref {
	return fleet.Ref{ID: fleet.InstanceID(fmt.Sprint("i", i)), Incarnation: 1}
}

func index(r fleet.Ref) int {
	var i int
	_, _ = fmt.Sscanf(string(r.ID), "i%d", &i)
	return i
}

func (s *simulation) Read(context.Context) (metastore.Listing, error) {
	s.reads++
	if s.down {
		return metastore.Listing{}, metastore.ErrUnavailable
	}
	return s.history[max(0, len(s.history)-1-s.lag)], nil
}

func newSimulation(size, watchers int) *simulation {
	s := &simulation{now: time.Unix(1000, 0), lost: func(packet) bool { return false }, versions: make([]uint64, size)}
	s.history = []metastore.Listing{{}}
	for i := range size {
		s.watchers = append(s.watchers, i < watchers)
		s.managers = append(s.managers, New(Options{
			List:    s,
			Sender:  link{s, i},
			Watcher: func() bool { return s.watchers[i] },
			Peers:   func() []fleet.Ref { return s.peersOf(i) },
			Post: func(f func(now time.Time)) bool {
				s.posted = append(s.posted, f)
				return true
			},
			Go:     func(f func()) { f() },
			Random: rand.New(rand.NewPCG(1, uint64(i))),
		}))
	}
	return s
}

func (s *simulation) peersOf(i int) []fleet.Ref {
	var out []fleet.Ref
	for j := range s.managers {
		if j != i {
			out = append(out, ref(j))
		}
	}
	return out
}

// publish creates the next version of the list.
func (s *simulation) publish(change func(l *metastore.Listing)) {
	next := metastore.Listing{Version: s.latest.Version + 1, Upstreams: map[fleet.Service][]fleet.Upstream{}}
	for service, upstreams := range s.latest.Upstreams {
		next.Upstreams[service] = slices.Clone(upstreams)
	}
	next.Instances = slices.Clone(s.latest.Instances)
	change(&next)
	s.latest = next
	s.history = append(s.history, next)
}

// step advances the time by one tick and delivers the messages in flight.
func (s *simulation) step() {
	s.now = s.now.Add(50 * time.Millisecond)
	for _, m := range s.managers {
		m.Tick(s.now)
	}
	s.deliverAll()
}

func (s *simulation) deliverAll() {
	for len(s.queue)+len(s.posted) > 0 {
		posted, queue := s.posted, s.queue
		s.posted, s.queue = nil, nil
		for _, f := range posted {
			f(s.now)
		}
		for _, p := range queue {
			if !s.lost(p) {
				s.deliver(p)
			}
		}
	}
}

func (s *simulation) deliver(p packet) {
	data, err := wire.Encode(wire.KindListing, p.body)
	if err != nil {
		panic(err)
	}
	e, err := wire.Decode(data)
	if err != nil {
		panic(err)
	}
	if err := s.managers[p.to].Deliver(s.now, ref(p.from), e); err != nil {
		panic(err)
	}
}

func (s *simulation) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}
