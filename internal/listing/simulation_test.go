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

// world is a few duties over a network that loses, delays and doubles messages.
type world struct {
	now      time.Time
	latest   metastore.Listing
	history  []metastore.Listing
	lag      int // How many versions back a read sees.
	down     bool
	reads    int
	duties   []*Duty
	watchers []bool
	queue    []packet
	posted   []func(now time.Time)
	lost     func(p packet) bool
	versions []uint64 // Highest version that each duty has shown.
}

type packet struct {
	from, to int
	body     Message
}

type link struct {
	w    *world
	from int
}

func (l link) Send(to fleet.Ref, _ wire.Kind, body any) {
	l.w.queue = append(l.w.queue, packet{from: l.from, to: index(to), body: body.(Message)})
}

func ref(i int) fleet.Ref {
	return fleet.Ref{ID: fleet.InstanceID(fmt.Sprint("i", i)), Incarnation: 1}
}

func index(r fleet.Ref) int {
	var i int
	_, _ = fmt.Sscanf(string(r.ID), "i%d", &i)
	return i
}

func (w *world) Read(context.Context) (metastore.Listing, error) {
	w.reads++
	if w.down {
		return metastore.Listing{}, metastore.ErrUnavailable
	}
	return w.history[max(0, len(w.history)-1-w.lag)], nil
}

func newWorld(size, watchers int) *world {
	w := &world{now: time.Unix(1000, 0), lost: func(packet) bool { return false }, versions: make([]uint64, size)}
	w.history = []metastore.Listing{{}}
	for i := range size {
		w.watchers = append(w.watchers, i < watchers)
		w.duties = append(w.duties, New(Options{
			List:    w,
			Sender:  link{w, i},
			Watcher: func() bool { return w.watchers[i] },
			Peers:   func() []fleet.Ref { return w.peersOf(i) },
			Post: func(f func(now time.Time)) bool {
				w.posted = append(w.posted, f)
				return true
			},
			Go:     func(f func()) { f() },
			Random: rand.New(rand.NewPCG(1, uint64(i))),
		}))
	}
	return w
}

func (w *world) peersOf(i int) []fleet.Ref {
	var out []fleet.Ref
	for j := range w.duties {
		if j != i {
			out = append(out, ref(j))
		}
	}
	return out
}

// publish makes the next version of the list.
func (w *world) publish(change func(l *metastore.Listing)) {
	next := metastore.Listing{Version: w.latest.Version + 1, Upstreams: map[fleet.Service][]fleet.Upstream{}}
	for service, upstreams := range w.latest.Upstreams {
		next.Upstreams[service] = slices.Clone(upstreams)
	}
	next.Instances = slices.Clone(w.latest.Instances)
	change(&next)
	w.latest = next
	w.history = append(w.history, next)
}

// step passes a tick and delivers what is under way.
func (w *world) step() {
	w.now = w.now.Add(50 * time.Millisecond)
	for _, d := range w.duties {
		d.Tick(w.now)
	}
	w.settle()
}

func (w *world) settle() {
	for len(w.queue)+len(w.posted) > 0 {
		posted, queue := w.posted, w.queue
		w.posted, w.queue = nil, nil
		for _, f := range posted {
			f(w.now)
		}
		for _, p := range queue {
			if !w.lost(p) {
				w.deliver(p)
			}
		}
	}
}

func (w *world) deliver(p packet) {
	data, err := wire.Encode(wire.KindListing, p.body)
	if err != nil {
		panic(err)
	}
	e, err := wire.Decode(data)
	if err != nil {
		panic(err)
	}
	if err := w.duties[p.to].Deliver(w.now, ref(p.from), e); err != nil {
		panic(err)
	}
}

func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}
