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

// Times of the duty.
const (
	ReadInterval    = time.Second     // Between two reads of a watcher, plus or minus ReadJitter.
	ReadJitter      = 0.2             // Share of ReadInterval.
	CurrentInterval = 2 * time.Second // Between two messages of a watcher while nothing changes.
	WatcherTimeout  = 6 * time.Second // After which a member reads the list itself; up to half more by chance.
	ReadTimeout     = 2 * time.Second // Of one read.
	RequestInterval = time.Second     // Between two questions for the whole list.
)

// Options are the parameters of a Duty.
type Options struct {
	List     metastore.List
	Sender   control.Sender
	Watcher  func() bool                               // Whether this instance reads the list for others now. On the control goroutine.
	Peers    func() []fleet.Ref                        // The members that a watcher pushes to: those of its zone. On the control goroutine.
	Post     func(f func(now time.Time)) bool          // Hands f to the control goroutine.
	Go       func(f func())                            // Runs f aside; nil for a goroutine.
	OnChange func(now time.Time, l *metastore.Listing) // A later list is held. On the control goroutine; may be nil.
	Random   *rand.Rand
}

// Stats are the counts of a Duty.
type Stats struct {
	Reads      uint64 `json:"reads"`
	ReadErrors uint64 `json:"read_errors"`
	Dropped    uint64 `json:"dropped"` // Entries of lists that could not be used.
	Pushed     uint64 `json:"pushed"`  // Messages sent.
	Applied    uint64 `json:"applied"` // Later lists taken.
	Stale      uint64 `json:"stale"`   // Earlier or equal lists refused.
}

// Duty keeps the platform's list. Its methods run on the control goroutine, but for Snapshot and Stats.
type Duty struct {
	o           Options
	snapshot    atomic.Pointer[metastore.Listing]
	stats       atomic.Pointer[Stats]
	counts      Stats
	reading     bool
	nextRead    time.Time // Of a watcher, and of a member that holds no list.
	nextCurrent time.Time // Of a watcher.
	silentUntil time.Time // Of a member: when it reads the list itself.
	nextAsk     time.Time
	watching    bool
}

var _ control.Duty = (*Duty)(nil)

// New returns a duty that holds no list yet.
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

// Snapshot returns the latest list, or nil before the first. It must not be changed.
func (d *Duty) Snapshot() *metastore.Listing {
	return d.snapshot.Load()
}

// Stats returns the counts so far.
func (d *Duty) Stats() Stats {
	return *d.stats.Load()
}

// Kinds implements control.Duty.
func (d *Duty) Kinds() []wire.Kind {
	return []wire.Kind{wire.KindListing}
}

// Tick implements control.Duty. Before the first list every instance reads it.
func (d *Duty) Tick(now time.Time) {
	defer d.publishStats()
	d.switchPart(now)
	if d.watching {
		d.watch(now)
		return
	}
	d.listen(now)
}

// listen reads the list when nothing was heard, or, each ReadInterval, when there is none yet.
func (d *Duty) listen(now time.Time) {
	none := d.snapshot.Load() == nil && !now.Before(d.nextRead)
	if !none && now.Before(d.silentUntil) {
		return
	}
	d.nextRead = now.Add(d.jittered(ReadInterval))
	d.silentUntil = now.Add(d.silence())
	d.read()
}

// switchPart notes that the instance has become a watcher or has ceased to be one.
func (d *Duty) switchPart(now time.Time) {
	watching := d.o.Watcher()
	if watching == d.watching {
		return
	}
	d.watching = watching
	d.nextCurrent = now
	d.nextRead = now
	d.silentUntil = now.Add(d.silence())
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
	share := 1 + ReadJitter*(2*d.o.Random.Float64()-1)
	return time.Duration(float64(interval) * share)
}

func (d *Duty) silence() time.Duration {
	return time.Duration(float64(WatcherTimeout) * (1 + d.o.Random.Float64()/2))
}

// read reads the list aside, one read at a time.
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
	if !d.later(l.Version) {
		return
	}
	cleaned, dropped := clean(&l)
	d.counts.Dropped += uint64(dropped)
	d.take(now, cleaned)
	if !d.watching {
		return
	}
	if before == nil {
		d.push(now, Message{Kind: MessageCurrent, Version: cleaned.Version})
		return
	}
	d.push(now, change(before, cleaned))
}

// later reports whether a list of a version may replace the one held.
func (d *Duty) later(version uint64) bool {
	held := d.snapshot.Load()
	if held != nil && version < held.Version {
		d.counts.Stale++
	}
	return held == nil || version > held.Version
}

// take puts a later list in place of the one held.
func (d *Duty) take(now time.Time, l *metastore.Listing) {
	d.snapshot.Store(l)
	d.counts.Applied++
	d.o.OnChange(now, l)
}

// push sends a message to every member that this watcher serves.
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

// Deliver implements control.Duty.
func (d *Duty) Deliver(now time.Time, from fleet.Ref, e wire.Envelope) error {
	defer d.publishStats()
	var m Message
	if err := wire.DecodeBody(e, &m); err != nil {
		return err
	}
	if m.Kind == MessageRequest {
		d.answer(from, m)
		return nil
	}
	d.silentUntil = now.Add(d.silence())
	switch m.Kind {
	case MessageCurrent:
		d.compare(now, from, m)
	case MessageChange:
		d.change(now, from, m)
	case MessageFull:
		d.replace(now, m)
	default:
		return fmt.Errorf("%w: listing message of kind %d from %v", wire.ErrMalformed, m.Kind, from)
	}
	return nil
}

// answer sends the whole list to a member that holds an earlier one.
func (d *Duty) answer(to fleet.Ref, m Message) {
	if held := d.snapshot.Load(); held != nil && held.Version > m.Version {
		d.send(to, whole(held))
	}
}

// compare asks for the whole list when the sender holds a later one.
func (d *Duty) compare(now time.Time, from fleet.Ref, m Message) {
	held := d.heldVersion()
	if m.Version <= held || now.Before(d.nextAsk) {
		return
	}
	d.nextAsk = now.Add(RequestInterval)
	d.send(from, Message{Kind: MessageRequest, Version: held})
}

// change applies a change that was made from the list held.
func (d *Duty) change(now time.Time, from fleet.Ref, m Message) {
	held := d.snapshot.Load()
	if held == nil || held.Version != m.Base {
		d.compare(now, from, m)
		return
	}
	if !d.later(m.Version) {
		return
	}
	dropped := m.clean()
	d.counts.Dropped += uint64(dropped)
	d.take(now, m.apply(held))
}

func (d *Duty) replace(now time.Time, m Message) {
	if !d.later(m.Version) {
		return
	}
	cleaned, dropped := clean(m.list())
	d.counts.Dropped += uint64(dropped)
	d.take(now, cleaned)
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
