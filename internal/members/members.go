// Package members runs the membership of one instance: it drives coord/membership on the
// control goroutine, reads and writes the roster record in the platform's store on
// goroutines of its own, and publishes what traffic goroutines need as one snapshot.
package members

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/membership"
	"github.com/damaskcove/damaskcove/coord/placement"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/control"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/refusals"
	"github.com/damaskcove/damaskcove/internal/storecall"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// Snapshot is what an instance knows of the fleet at one moment. It is immutable.
type Snapshot struct {
	Self    fleet.Instance // This instance as its current life.
	Joined  bool           // This life is on the roster.
	Members []membership.Member
	Roster  membership.Roster
	Map     *placement.Map // Of the members that may take work.
	byRef   map[fleet.Ref]fleet.Instance
}

// Instance returns the instance of the roster with a reference.
func (s *Snapshot) Instance(ref fleet.Ref) (fleet.Instance, bool) {
	i, ok := s.byRef[ref]
	return i, ok
}

// Options are the settings of a Duty.
type Options struct {
	Self      fleet.Instance
	Config    membership.Config
	RosterKey string // Of the record in the store.
	Random    *rand.Rand
	Loop      *control.Loop
	Sender    control.Sender
	Store     metastore.Store
	Budget    *storecall.Budget // Nil for no bound.
	Log       *slog.Logger
	// OnChange is told of each new snapshot on the control goroutine.
	OnChange func(now time.Time, s *Snapshot)
	// OnRejoined is told on the control goroutine that this instance is another life from now on.
	OnRejoined func(self fleet.Instance)
	// OnSuperseded is told on the control goroutine that another process has this instance's ID.
	OnSuperseded func(by fleet.Instance)
}

// Manager is the membership of one instance.
type Manager struct {
	o        Options
	ctx      context.Context
	machine  *membership.Machine
	store    *storecall.Store
	snapshot atomic.Pointer[Snapshot]
	hints    atomic.Pointer[map[fleet.Ref]fleet.Instance]
	last     membership.Counters
	refused  refusals.Tally
}

// New returns the duty of an instance that has not begun to join. ctx bounds its calls of the store.
func New(ctx context.Context, o Options) *Manager {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	d := &Manager{
		o:       o,
		ctx:     ctx,
		machine: membership.NewMachine(o.Config, o.Self, o.Random),
		store:   storecall.New(o.Store, "membership", o.Budget),
	}
	d.hints.Store(&map[fleet.Ref]fleet.Instance{})
	d.snapshot.Store(d.take())
	return d
}

// Snapshot returns the latest snapshot, never nil. Any goroutine may call it.
func (d *Manager) Snapshot() *Snapshot {
	return d.snapshot.Load()
}

// Resolve returns the instance of a reference from the snapshot, the platform's list and
// the instances that asked to join. Any goroutine may call it.
func (d *Manager) Resolve(ref fleet.Ref) (fleet.Instance, bool) {
	if i, ok := d.Snapshot().Instance(ref); ok {
		return i, true
	}
	i, ok := (*d.hints.Load())[ref]
	return i, ok
}

// Start begins to join. hints is the platform's list. It must run on the control goroutine.
func (d *Manager) Start(now time.Time, hints []fleet.Instance) {
	d.noteHints(hints)
	d.run(now, d.machine.Start(now, hints))
}

// InstancesListed takes the platform's list whenever it was read. It must run on the control goroutine.
func (d *Manager) InstancesListed(now time.Time, instances []fleet.Instance) {
	d.noteHints(instances)
	d.run(now, d.machine.InstancesListed(now, instances))
}

// SetRevision sets the configuration revision in force here. It must run on the control goroutine.
func (d *Manager) SetRevision(r fleet.Revision) {
	d.machine.SetRevision(r)
}

// NeighbourAhead returns the neighbour with the highest configuration above this instance's.
// It must run on the control goroutine.
func (d *Manager) NeighbourAhead() (fleet.Instance, fleet.Revision, bool) {
	return d.machine.NeighbourAhead()
}

// Neighbours returns the instances that this one exchanges heartbeats with. It must run on
// the control goroutine.
func (d *Manager) Neighbours() []fleet.Instance {
	return d.machine.Neighbours()
}

// Counters returns the machine's counts. It must run on the control goroutine.
func (d *Manager) Counters() membership.Counters {
	return d.machine.Counters()
}

// Leave announces a planned stop. It must run on the control goroutine.
func (d *Manager) Leave(now time.Time) {
	d.run(now, d.machine.Leave(now))
}

// Stop announces that this instance exits now. It must run on the control goroutine.
func (d *Manager) Stop(now time.Time) {
	d.run(now, d.machine.Stop(now))
}

// Kinds implements control.Component.
func (d *Manager) Kinds() []wire.Kind {
	return []wire.Kind{wire.KindMembership}
}

// Deliver implements control.Component. It returns wire.ErrMalformed.
func (d *Manager) Deliver(now time.Time, from fleet.Ref, e wire.Envelope) error {
	var msg membership.Message
	if err := wire.DecodeBody(e, &msg); err != nil {
		return err
	}
	if msg.Join != nil && msg.Join.Ref == from {
		d.noteHint(*msg.Join)
	}
	d.run(now, d.machine.Deliver(now, from, msg))
	return nil
}

// Tick implements control.Component.
func (d *Manager) Tick(now time.Time) {
	d.run(now, d.machine.Tick(now))
	d.report()
}

// report counts what the machine has refused since the last call.
func (d *Manager) report() {
	c := d.machine.Counters()
	if c == d.last {
		return
	}
	d.last = c
	d.refused.Report(map[result.Code]uint64{
		result.CodePeerOtherFleet:  c.OtherFleet,
		result.CodePeerMalformed:   c.Malformed,
		result.CodePeerIncarnation: c.OldIncarnation + c.Unknown,
		result.CodeRosterConflict:  c.Conflicts,
	})
}

// run carries out the machine's effects.
func (d *Manager) run(now time.Time, effects []membership.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case membership.Send:
			d.o.Sender.Send(e.To.Ref, wire.KindMembership, e.Message)
		case membership.ReadRoster:
			go d.read()
		case membership.WriteRoster:
			go d.write(e.Roster)
		case membership.Changed:
			d.publish(now)
		case membership.Rejoined:
			d.rejoined(now, e.Self)
		case membership.Superseded:
			d.superseded(e.By)
		}
	}
}

func (d *Manager) publish(now time.Time) {
	s := d.take()
	d.snapshot.Store(s)
	if d.o.Budget != nil {
		d.o.Budget.SetFleetSize(len(s.Members))
	}
	if d.o.OnChange != nil {
		d.o.OnChange(now, s)
	}
}

func (d *Manager) rejoined(now time.Time, self fleet.Instance) {
	d.o.Log.Warn("taken off the roster; joining as the next incarnation", "incarnation", self.Ref.Incarnation)
	if d.o.OnRejoined != nil {
		d.o.OnRejoined(self)
	}
	d.publish(now)
}

func (d *Manager) superseded(by fleet.Instance) {
	d.o.Log.Error("another process has this instance's ID", "incarnation", d.o.Self.Ref.Incarnation, "by", by.Ref.String())
	if d.o.OnSuperseded != nil {
		d.o.OnSuperseded(by)
	}
}

// take returns a snapshot of the machine.
func (d *Manager) take() *Snapshot {
	s := &Snapshot{
		Self:    d.machine.Self(),
		Joined:  d.machine.Joined(),
		Members: d.machine.Members(),
		Roster:  d.machine.Roster(),
	}
	s.byRef = make(map[fleet.Ref]fleet.Instance, len(s.Roster.Instances))
	for _, i := range s.Roster.Instances {
		s.byRef[i.Ref] = i
	}
	s.Map = d.mapOf(working(s.Members))
	return s
}

// mapOf returns the map of some instances: the last one, with its caches, when they are the same.
func (d *Manager) mapOf(instances []fleet.Instance) *placement.Map {
	if last := d.snapshot.Load(); last != nil && slices.Equal(last.Map.Instances(), instances) {
		return last.Map
	}
	return placement.NewMap(instances)
}

// working returns the members that may take work: neither dead, leaving nor out of reach.
func working(members []membership.Member) []fleet.Instance {
	instances := make([]fleet.Instance, 0, len(members))
	for _, m := range members {
		if m.Reachable && (m.Status == membership.StatusAlive || m.Status == membership.StatusSuspect) {
			instances = append(instances, m.Instance)
		}
	}
	return instances
}

func (d *Manager) noteHints(instances []fleet.Instance) {
	hints := make(map[fleet.Ref]fleet.Instance, len(instances))
	for _, i := range instances {
		hints[i.Ref] = i
	}
	d.hints.Store(&hints)
}

// maxHints bounds the instances that are remembered as joining.
const maxHints = 4096

func (d *Manager) noteHint(i fleet.Instance) {
	former := *d.hints.Load()
	if former[i.Ref] == i || len(former) >= maxHints {
		return
	}
	hints := make(map[fleet.Ref]fleet.Instance, len(former)+1)
	for ref, known := range former {
		hints[ref] = known
	}
	hints[i.Ref] = i
	d.hints.Store(&hints)
}
