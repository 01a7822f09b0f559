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

// Options configures a Duty.
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

// Stats are the counters of a Duty.
type Stats struct {
	Reads      uint64 `json:"reads"`
	ReadErrors uint64 `json:"read_errors"`
	Dropped    uint64 `json:"dropped"` // Unusable entries of lists.
	Pushed     uint64 `json:"pushed"`  // Messages sent.
	Applied    uint64 `json:"applied"` // Newer lists applied.
	Stale      uint64 `json:"stale"`   // Older lists ignored.
}

// Duty keeps the current list. Its methods must be called on the control goroutine, except
// Snapshot and Stats, which are safe for concurrent use.
type Duty struct {
	o              Options
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

var _ control.Component = (*Duty)(nil)

// New returns a duty without a list.
func New(o Options) *Duty {
	if o.Go == nil {
		o.Go = func(f func()) { go f() }
	}
	if o.OnChange == nil {
		o.OnChange = func(time.Time, *metastore.Listing) {}
	}
	d := &Duty{o: o}
	d.stats.Store(&Stats{})
	return d
}

// Snapshot returns the current list, or nil before the first. It must not be modified.
func (d *Duty) Snapshot() *metastore.Listing {
	return d.snapshot.Load()
}

// Stats returns the current counters.
func (d *Duty) Stats() Stats {
	return *d.stats.Load()
}

// Kinds implements control.Component.
func (d *Duty) Kinds() []wire.Kind {
	return []wire.Kind{wire.KindListing}
}

// Tick implements control.Component.
func (d *Duty) Tick(now time.Time) {
	defer d.publishStats()
	d.updateRole(now)
	if d.watching {
		d.watch(now)
		return
	}
	d.readIfSilent(now)
}

// readIfSilent reads the list if no message has arrived in time, and every ReadInterval until
// the first list.
func (d *Duty) readIfSilent(now time.Time) {
	firstReadDue := d.snapshot.Load() == nil && !now.Before(d.nextRead)
	if !firstReadDue && now.Before(d.fallbackReadAt) {
		return
	}
	d.nextRead = now.Add(d.jittered(ReadInterval))
	d.fallbackReadAt = now.Add(d.jitteredWatcherTimeout())
	d.read()
}

// updateRole checks whether the instance is a watcher and resets the timers when this changes.
func (d *Duty) updateRole(now time.Time) {
	watching := d.o.Watcher()
	if watching == d.watching {
		return
	}
	d.watching = watching
	d.nextCurrent = now
	d.nextRead = now
	d.fallbackReadAt = now.Add(d.jitteredWatcherTimeout())
}

func (d *Duty) watch(now time.Time) {
	if !now.Before(d.nextRead) {
		d.nextRead = now.Add(d.jittered(ReadInterval))
		d.read()
	}
	current := d.snapshot.Load()
	if current == nil || now.Before(d.nextCurrent) {
		return
	}
	d.push(now, Message{Kind: MessageCurrent, Version: current.Version})
}

func (d *Duty) jittered(interval time.Duration) time.Duration {
	factor := 1 + ReadJitter*(2*d.o.Random.Float64()-1)
	return time.Duration(float64(interval) * factor)
}

func (d *Duty) jitteredWatcherTimeout() time.Duration {
	return time.Duration(float64(WatcherTimeout) * (1 + d.o.Random.Float64()/2))
}

// read starts reading the list in the background unless a read is running.
func (d *Duty) read() {
	if d.reading {
		return
	}
	d.reading = true
	d.counts.Reads++
	d.o.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), ReadTimeout)
		defer cancel()
		listing, err := d.o.List.Read(ctx)
		d.o.Post(func(now time.Time) { d.readDone(now, listing, err) })
	})
}

func (d *Duty) readDone(now time.Time, l metastore.Listing, err error) {
	defer d.publishStats()
	d.reading = false
	if err != nil {
		d.counts.ReadErrors++
		return
	}
	before := d.snapshot.Load()
	if !d.isNewer(l.Version) {
		return
	}
	cleaned, dropped := clean(&l)
	d.counts.Dropped += uint64(dropped)
	d.setSnapshot(now, cleaned)
	if !d.watching {
		return
	}
	if before == nil {
		d.push(now, Message{Kind: MessageCurrent, Version: cleaned.Version})
		return
	}
	d.push(now, changeMessage(before, cleaned))
}

// isNewer reports whether a version is newer than the current list. It counts older ones.
func (d *Duty) isNewer(version uint64) bool {
	held := d.snapshot.Load()
	if held != nil && version < held.Version {
		d.counts.Stale++
	}
	return held == nil || version > held.Version
}

// setSnapshot replaces the current list by a newer one.
func (d *Duty) setSnapshot(now time.Time, l *metastore.Listing) {
	d.snapshot.Store(l)
	d.counts.Applied++
	d.o.OnChange(now, l)
}

// push sends a message to every member that this watcher pushes to.
func (d *Duty) push(now time.Time, m Message) {
	d.nextCurrent = now.Add(d.jittered(CurrentInterval))
	for _, peer := range d.o.Peers() {
		d.send(peer, m)
	}
}

func (d *Duty) send(to fleet.Ref, m Message) {
	d.counts.Pushed++
	d.o.Sender.Send(to, wire.KindListing, m)
}

// Deliver implements control.Component.
func (d *Duty) Deliver(now time.Time, from fleet.Ref, e wire.Envelope) error {
	defer d.publishStats()
	var m Message
	if err := wire.DecodeBody(e, &m); err != nil {
		return err
	}
	if m.Kind == MessageRequest {
		d.sendIfNewer(from, m)
		return nil
	}
	d.fallbackReadAt = now.Add(d.jitteredWatcherTimeout())
	switch m.Kind {
	case MessageCurrent:
		d.requestIfNewer(now, from, m)
	case MessageChange:
		d.applyChange(now, from, m)
	case MessageFull:
		d.applyFull(now, m)
	default:
		return fmt.Errorf("%w: listing message of kind %d from %v", wire.ErrMalformed, m.Kind, from)
	}
	return nil
}

// sendIfNewer sends the full list to a member that holds an older one.
func (d *Duty) sendIfNewer(to fleet.Ref, m Message) {
	if held := d.snapshot.Load(); held != nil && held.Version > m.Version {
		d.send(to, fullMessage(held))
	}
}

// requestIfNewer requests the full list if the sender holds a newer one.
func (d *Duty) requestIfNewer(now time.Time, from fleet.Ref, m Message) {
	held := d.heldVersion()
	if m.Version <= held || now.Before(d.nextRequest) {
		return
	}
	d.nextRequest = now.Add(RequestInterval)
	d.send(from, Message{Kind: MessageRequest, Version: held})
}

// applyChange applies a change to the list it was computed from, or requests the full list if
// the current one has another version.
func (d *Duty) applyChange(now time.Time, from fleet.Ref, m Message) {
	held := d.snapshot.Load()
	if held == nil || held.Version != m.Base {
		d.requestIfNewer(now, from, m)
		return
	}
	if !d.isNewer(m.Version) {
		return
	}
	dropped := m.clean()
	d.counts.Dropped += uint64(dropped)
	d.setSnapshot(now, m.apply(held))
}

func (d *Duty) applyFull(now time.Time, m Message) {
	if !d.isNewer(m.Version) {
		return
	}
	cleaned, dropped := clean(m.listing())
	d.counts.Dropped += uint64(dropped)
	d.setSnapshot(now, cleaned)
}

func (d *Duty) heldVersion() uint64 {
	if held := d.snapshot.Load(); held != nil {
		return held.Version
	}
	return 0
}

func (d *Duty) publishStats() {
	counts := d.counts
	d.stats.Store(&counts)
}
