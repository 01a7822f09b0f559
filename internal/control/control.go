// Package control runs the one goroutine that owns an instance's control state.
//
// Duties (membership, configuration, health, claims) are slices that this goroutine
// drives: it hands them events and the time. Other goroutines reach them only
// through Loop.Post, and read the snapshots that they publish.
package control

import (
	"context"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// Component is one slice of control state. All its methods run on the control goroutine.
type Component interface {
	// Kinds lists the kinds of message that the duty takes.
	Kinds() []wire.Kind
	// Deliver hands over a message from one life of an instance. An error is counted and logged.
	Deliver(now time.Time, from fleet.Ref, e wire.Envelope) error
	// Tick is called every TickInterval.
	Tick(now time.Time)
}

// Sender sends messages to other instances. A message may be lost, doubled or delayed.
// Send never blocks: a full queue drops its oldest message.
type Sender interface {
	Send(to fleet.Ref, kind wire.Kind, body any)
}

// TickInterval is the time between two calls of Component.Tick.
const TickInterval = 50 * time.Millisecond

// queueLength bounds the events that wait for the control goroutine.
const queueLength = 4096

// Loop is the control goroutine's queue of events.
type Loop struct {
	events chan func(now time.Time)
	done   chan struct{}
	duties []Component
	routes map[wire.Kind]Component
	failed func(from fleet.Ref, kind wire.Kind, err error)
}

// NewLoop returns a loop that is not running yet. failed is told of each message that a duty refuses.
func NewLoop(failed func(from fleet.Ref, kind wire.Kind, err error)) *Loop {
	return &Loop{
		events: make(chan func(now time.Time), queueLength),
		done:   make(chan struct{}),
		routes: make(map[wire.Kind]Component),
		failed: failed,
	}
}

// Add registers a duty. It must be called before Run.
func (l *Loop) Add(d Component) {
	l.duties = append(l.duties, d)
	for _, kind := range d.Kinds() {
		l.routes[kind] = d
	}
}

// Post hands f to the control goroutine. It waits while the queue is full and
// returns false when the loop has ended, in which case f never runs.
func (l *Loop) Post(f func(now time.Time)) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.events <- f:
		return true
	case <-l.done:
		return false
	}
}

// Deliver hands a received message to the duty that takes its kind.
func (l *Loop) Deliver(from fleet.Ref, e wire.Envelope) {
	l.Post(func(now time.Time) { l.deliver(now, from, e) })
}

func (l *Loop) deliver(now time.Time, from fleet.Ref, e wire.Envelope) {
	duty, ok := l.routes[e.Kind]
	if !ok {
		l.failed(from, e.Kind, wire.ErrMalformed)
		return
	}
	if err := duty.Deliver(now, from, e); err != nil {
		l.failed(from, e.Kind, err)
	}
}

// Run drives the duties until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.events:
			f(time.Now())
		case <-ticker.C:
			l.tick(time.Now())
		}
	}
}

func (l *Loop) tick(now time.Time) {
	for _, d := range l.duties {
		d.Tick(now)
	}
}
