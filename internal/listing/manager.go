package listing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/control"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/wire"
)

const (
	ReadInterval    = time.Second     // Between reads of a watcher, with ReadJitter.
	ReadJitter      = 0.2             // Fraction by which an interval varies in both directions.
	CurrentInterval = 2 * time.Second // Between messages of a watcher while nothing changes, with ReadJitter.
	WatcherTimeout  = 6 * time.Second // A member reads the list itself after this time without a message, plus up to half of it at random.
	ReadTimeout     = 2 * time.Second // Of one read.
	RequestInterval = time.Second     // Minimum time between requests for the full list.
)

// Options configure a Manager.
type Options struct {
	List     metastore.List
	Sender   control.Sender
	Watcher  func() bool                               // Reports whether this instance is a watcher now. Called on the control goroutine.
	Peers    func() []fleet.Ref                        // Returns the members that a watcher pushes to: those of its zone. Called on the control goroutine.
	Post     func(f func(now time.Time)) bool          // Runs f on the control goroutine.
	Go       func(f func())                            // Runs f in the background; nil to use a new goroutine.
	OnChange func(now time.Time, l *metastore.Listing) // Called on the control goroutine with each newer list; may be nil.
	Random   *rand.Rand
}

// Stats are the counters of a Manager.
type Stats struct {
	Reads      uint64 `json:"reads"`
	ReadErrors uint64 `json:"read_errors"`
	Dropped    uint64 `json:"dropped"` // Unusable entries of lists.
	Pushed     uint64 `json:"pushed"`  // Messages sent.
	Applied    uint64 `json:"applied"` // Newer lists applied.
	Stale      uint64 `json:"stale"`   // Older lists ignored.
}

// Manager keeps the current list. Its methods must be called on the control goroutine, except
// Snapshot and Stats, which are safe for concurrent use.
type Manager struct {
	options        Options
	snapshot       atomic.Pointer[metastore.Listing]
	stats          atomic.Pointer[Stats]
	counts         Stats
	reading        bool
	nextRead       time.Time // Of a watcher, and of a member without a list.
	nextCurrent    time.Time // When a watcher next sends MessageCurrent.
	fallbackReadAt time.Time // When a member reads the list itself unless a message arrives.
	nextRequest    time.Time
	watching       bool
}

var _ control.Component = (*Manager)(nil)

// New returns a Manager without a list.
func New(o Options) *Manager {
	if o.Go == nil {
		o.Go = func(f func()) { go f() }
	}
	if o.OnChange == nil {
		o.OnChange = func(time.Time, *metastore.Listing) {}
	}
	m := &Manager{options: o}
	m.stats.Store(&Stats{})
	return m
}

// Snapshot returns the current list, or nil before the first. It must not be modified.
func (m *Manager) Snapshot() *metastore.Listing {
	return m.snapshot.Load()
}

// Stats returns the current counters.
func (m *Manager) Stats() Stats {
	return *m.stats.Load()
}

// Kinds implements control.Component.
func (m *Manager) Kinds() []wire.Kind {
	return []wire.Kind{wire.KindListing}
}

// Tick implements control.Component.
func (m *Manager) Tick(now time.Time) {
	defer m.publishStats()
	m.updateRole(now)
	if m.watching {
		m.watch(now)
		return
	}
	m.readIfOverdue(now)
}

// readIfOverdue reads the list if no message has arrived in time, and every ReadInterval until
// the first list.
func (m *Manager) readIfOverdue(now time.Time) {
	firstReadDue := m.snapshot.Load() == nil && !now.Before(m.nextRead)
	if !firstReadDue && now.Before(m.fallbackReadAt) {
		return
	}
	m.nextRead = now.Add(m.jittered(ReadInterval))
	m.fallbackReadAt = now.Add(m.jitteredWatcherTimeout())
	m.read()
}

// updateRole checks whether the instance is a watcher and resets the timers when this changes.
func (m *Manager) updateRole(now time.Time) {
	watching := m.options.Watcher()
	if watching == m.watching {
		return
	}
	m.watching = watching
	m.nextCurrent = now
	m.nextRead = now
	m.fallbackReadAt = now.Add(m.jitteredWatcherTimeout())
}

func (m *Manager) watch(now time.Time) {
	if !now.Before(m.nextRead) {
		m.nextRead = now.Add(m.jittered(ReadInterval))
		m.read()
	}
	current := m.snapshot.Load()
	if current == nil || now.Before(m.nextCurrent) {
		return
	}
	m.push(now, Message{Kind: MessageCurrent, Version: current.Version})
}

func (m *Manager) jittered(interval time.Duration) time.Duration {
	factor := 1 + ReadJitter*(2*m.options.Random.Float64()-1)
	return time.Duration(float64(interval) * factor)
}

func (m *Manager) jitteredWatcherTimeout() time.Duration {
	return time.Duration(float64(WatcherTimeout) * (1 + m.options.Random.Float64()/2))
}

// read starts reading the list in the background unless a read is running.
func (m *Manager) read() {
	if m.reading {
		return
	}
	m.reading = true
	m.counts.Reads++
	m.options.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), ReadTimeout)
		defer cancel()
		listing, err := m.options.List.Read(ctx)
		m.options.Post(func(now time.Time) { m.readDone(now, listing, err) })
	})
}

func (m *Manager) readDone(now time.Time, l metastore.Listing, err error) {
	defer m.publishStats()
	m.reading = false
	if err != nil {
		m.counts.ReadErrors++
		return
	}
	before := m.snapshot.Load()
	if !m.isNewer(l.Version) {
		return
	}
	cleaned, dropped := clean(&l)
	m.counts.Dropped += uint64(dropped)
	m.setSnapshot(now, cleaned)
	if !m.watching {
		return
	}
	if before == nil {
		m.push(now, Message{Kind: MessageCurrent, Version: cleaned.Version})
		return
	}
	m.push(now, changeMessage(before, cleaned))
}

// isNewer reports whether a version is newer than the current list. It counts older ones.
func (m *Manager) isNewer(version uint64) bool {
	held := m.snapshot.Load()
	if held != nil && version < held.Version {
		m.counts.Stale++
	}
	return held == nil || version > held.Version
}

// setSnapshot replaces the current list by a newer one.
func (m *Manager) setSnapshot(now time.Time, l *metastore.Listing) {
	m.snapshot.Store(l)
	m.counts.Applied++
	m.options.OnChange(now, l)
}

// push sends a message to every member that this watcher pushes to.
func (m *Manager) push(now time.Time, msg Message) {
	m.nextCurrent = now.Add(m.jittered(CurrentInterval))
	for _, peer := range m.options.Peers() {
		m.send(peer, msg)
	}
}

func (m *Manager) send(to fleet.Ref, msg Message) {
	m.counts.Pushed++
	m.options.Sender.Send(to, wire.KindListing, msg)
}

// Deliver implements control.Component.
func (m *Manager) Deliver(now time.Time, from fleet.Ref, e wire.Envelope) error {
	defer m.publishStats()
	var msg Message
	if err := wire.DecodeBody(e, &msg); err != nil {
		return err
	}
	if msg.Kind == MessageRequest {
		m.sendIfNewer(from, msg)
		return nil
	}
	m.fallbackReadAt = now.Add(m.jitteredWatcherTimeout())
	switch msg.Kind {
	case MessageCurrent:
		m.requestIfNewer(now, from, msg)
	case MessageChange:
		m.applyChange(now, from, msg)
	case MessageFull:
		m.applyFull(now, msg)
	default:
		return fmt.Errorf("%w: listing message of kind %d from %v", wire.ErrMalformed, msg.Kind, from)
	}
	return nil
}

// sendIfNewer sends the full list to a member that holds an older one.
func (m *Manager) sendIfNewer(to fleet.Ref, msg Message) {
	if held := m.snapshot.Load(); held != nil && held.Version > msg.Version {
		m.send(to, fullMessage(held))
	}
}

// requestIfNewer requests the full list if the sender holds a newer one.
func (m *Manager) requestIfNewer(now time.Time, from fleet.Ref, msg Message) {
	held := m.heldVersion()
	if msg.Version <= held || now.Before(m.nextRequest) {
		return
	}
	m.nextRequest = now.Add(RequestInterval)
	m.send(from, Message{Kind: MessageRequest, Version: held})
}

// applyChange applies a change to the list it was computed from, or requests the full list if
// the current one has another version.
func (m *Manager) applyChange(now time.Time, from fleet.Ref, msg Message) {
	held := m.snapshot.Load()
	if held == nil || held.Version != msg.Base {
		m.requestIfNewer(now, from, msg)
		return
	}
	if !m.isNewer(msg.Version) {
		return
	}
	dropped := msg.clean()
	m.counts.Dropped += uint64(dropped)
	m.setSnapshot(now, msg.apply(held))
}

func (m *Manager) applyFull(now time.Time, msg Message) {
	if !m.isNewer(msg.Version) {
		return
	}
	cleaned, dropped := clean(msg.listing())
	m.counts.Dropped += uint64(dropped)
	m.setSnapshot(now, cleaned)
}

func (m *Manager) heldVersion() uint64 {
	if held := m.snapshot.Load(); held != nil {
		return held.Version
	}
	return 0
}

func (m *Manager) publishStats() {
	counts := m.counts
	m.stats.Store(&counts)
}
