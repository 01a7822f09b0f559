// Package control runs the one goroutine that owns an instance's control state.
//
// The state is divided into components (membership, configuration, listing, health, claims).
// The goroutine calls them with messages, posted functions and ticks. Other goroutines reach
// them only through Loop.Post, and read the snapshots that they publish.
package control

import (
	"context"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// Component is one part of the control state. All its methods run on the control goroutine.
type Component interface {
	// Kinds returns the kinds of messages that the component handles.
	Kinds() []wire.Kind
	// Deliver handles a message from one incarnation of an instance. The loop passes an error to
	// the callback given to NewLoop.
	Deliver(now time.Time, from fleet.Ref, e wire.Envelope) error
	// Tick is called every TickInterval.
	Tick(now time.Time)
}

// Sender sends messages to other instances. A message may be lost, duplicated or delayed.
// Send never blocks: if the queue is full, a message is dropped.
type Sender interface {
	Send(to fleet.Ref, kind wire.Kind, body any)
}

// TickInterval is the time between two calls of Component.Tick.
const TickInterval = 50 * time.Millisecond

// queueLength bounds the queued functions; Post blocks when the queue is full.
const queueLength = 4096

// Loop is the event loop of the control goroutine.
type Loop struct {
	events     chan func(now time.Time)
	done       chan struct{}
	components []Component
	routes     map[wire.Kind]Component
	onError    func(from fleet.Ref, kind wire.Kind, err error)
}

// NewLoop returns a loop that is not running yet. onError is called for each message that no
// component handles or whose component returns an error.
func NewLoop(onError func(from fleet.Ref, kind wire.Kind, err error)) *Loop {
	return &Loop{
		events:  make(chan func(now time.Time), queueLength),
		done:    make(chan struct{}),
		routes:  make(map[wire.Kind]Component),
		onError: onError,
	}
}

// Add registers a component. It must be called before Run.
func (l *Loop) Add(c Component) {
	l.components = append(l.components, c)
	for _, kind := range c.Kinds() {
		l.routes[kind] = c
	}
}

// Post queues f to run on the control goroutine. It blocks while the queue is full. It returns
// false if the loop has ended, in which case f never runs.
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

// Deliver queues a received message for the component that handles its kind.
func (l *Loop) Deliver(from fleet.Ref, e wire.Envelope) {
	l.Post(func(now time.Time) { l.deliver(now, from, e) })
}

func (l *Loop) deliver(now time.Time, from fleet.Ref, e wire.Envelope) {
	component, ok := l.routes[e.Kind]
	if !ok {
		l.onError(from, e.Kind, wire.ErrMalformed)
		return
	}
	if err := component.Deliver(now, from, e); err != nil {
		l.onError(from, e.Kind, err)
	}
}

// Run runs posted functions and calls the components' Tick until ctx ends.
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
	for _, c := range l.components {
		c.Tick(now)
	}
}
