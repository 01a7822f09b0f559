// Package members runs the membership of one instance. It drives coord/membership on the
// control goroutine, reads and writes the roster record in the platform's store on separate
// goroutines, and publishes an immutable snapshot of the fleet for traffic goroutines.
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

// Snapshot is this instance's view of the fleet at one moment. It is immutable.
type Snapshot struct {
	Self    fleet.Instance // This instance with its current incarnation.
	Joined  bool           // This incarnation is on the roster.
	Members []membership.Member
	Roster  membership.Roster
	Map     *placement.Map // Of the members that may get requests.
	byRef   map[fleet.Ref]fleet.Instance
}

// Instance returns the instance on the roster that has a reference.
func (s *Snapshot) Instance(ref fleet.Ref) (fleet.Instance, bool) {
	i, ok := s.byRef[ref]
	return i, ok
}

// Options configure a Manager.
type Options struct {
	Self      fleet.Instance
	Config    membership.Config
	RosterKey string // Key of the roster record in the store.
	Random    *rand.Rand
	Loop      *control.Loop
	Sender    control.Sender
	Store     metastore.Store
	Budget    *storecall.Budget // Unlimited when nil.
	Log       *slog.Logger
	// OnChange is called with each new snapshot. All callbacks run on the control goroutine.
	OnChange func(now time.Time, s *Snapshot)
	// OnRejoined is called when this instance continues as a new incarnation.
	OnRejoined func(self fleet.Instance)
	// OnSuperseded is called when another process has this instance's ID.
	OnSuperseded func(by fleet.Instance)
}

// Manager runs the membership of one instance.
type Manager struct {
	options          Options
	ctx              context.Context
	machine          *membership.Machine
	store            *storecall.Store
	snapshot         atomic.Pointer[Snapshot]
	hints            atomic.Pointer[map[fleet.Ref]fleet.Instance] // From the platform's list and from join requests.
	reportedCounters membership.Counters                          // At the last report.
	rejections       refusals.Publisher
}

// New returns the Manager of an instance that has not begun to join. ctx bounds its store calls.
func New(ctx context.Context, o Options) *Manager {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	m := &Manager{
		options: o,
		ctx:     ctx,
		machine: membership.NewMachine(o.Config, o.Self, o.Random),
		store:   storecall.New(o.Store, "membership", o.Budget),
	}
	m.hints.Store(&map[fleet.Ref]fleet.Instance{})
	m.snapshot.Store(m.newSnapshot())
	return m
}

// Snapshot returns the latest snapshot, never nil. Any goroutine may call it.
func (m *Manager) Snapshot() *Snapshot {
	return m.snapshot.Load()
}

// Resolve returns the instance of a reference from the snapshot, the platform's list or the
// join requests received. Any goroutine may call it.
func (m *Manager) Resolve(ref fleet.Ref) (fleet.Instance, bool) {
	if i, ok := m.Snapshot().Instance(ref); ok {
		return i, true
	}
	i, ok := (*m.hints.Load())[ref]
	return i, ok
}

// Start begins to join. hints is the platform's list. It must run on the control goroutine.
func (m *Manager) Start(now time.Time, hints []fleet.Instance) {
	m.setHints(hints)
	m.run(now, m.machine.Start(now, hints))
}

// InstancesListed handles a new read of the platform's list. It must run on the control goroutine.
func (m *Manager) InstancesListed(now time.Time, instances []fleet.Instance) {
	m.setHints(instances)
	m.run(now, m.machine.InstancesListed(now, instances))
}

// SetRevision sets this instance's active configuration revision. It must run on the control goroutine.
func (m *Manager) SetRevision(r fleet.Revision) {
	m.machine.SetRevision(r)
}

// NeighbourAhead returns the neighbour with the highest configuration revision above this
// instance's, and that revision. It must run on the control goroutine.
func (m *Manager) NeighbourAhead() (fleet.Instance, fleet.Revision, bool) {
	return m.machine.NeighbourAhead()
}

// Neighbours returns the instances that this one exchanges heartbeats with. It must run on
// the control goroutine.
func (m *Manager) Neighbours() []fleet.Instance {
	return m.machine.Neighbours()
}

// Counters returns the counters of the membership protocol. It must run on the control goroutine.
func (m *Manager) Counters() membership.Counters {
	return m.machine.Counters()
}

// Leave announces a planned stop. It must run on the control goroutine.
func (m *Manager) Leave(now time.Time) {
	m.run(now, m.machine.Leave(now))
}

// Stop announces that this instance exits now. It must run on the control goroutine.
func (m *Manager) Stop(now time.Time) {
	m.run(now, m.machine.Stop(now))
}

// Kinds implements control.Component.
func (m *Manager) Kinds() []wire.Kind {
	return []wire.Kind{wire.KindMembership}
}

// Deliver implements control.Component. Its errors wrap wire.ErrMalformed.
func (m *Manager) Deliver(now time.Time, from fleet.Ref, e wire.Envelope) error {
	var msg membership.Message
	if err := wire.DecodeBody(e, &msg); err != nil {
		return err
	}
	if msg.Join != nil && msg.Join.Ref == from {
		m.addHint(*msg.Join)
	}
	m.run(now, m.machine.Deliver(now, from, msg))
	return nil
}

// Tick implements control.Component.
func (m *Manager) Tick(now time.Time) {
	m.run(now, m.machine.Tick(now))
	m.report()
}

// report adds the messages and writes rejected since the last call to the process counters.
func (m *Manager) report() {
	c := m.machine.Counters()
	if c == m.reportedCounters {
		return
	}
	m.reportedCounters = c
	m.rejections.Publish(map[result.Code]uint64{
		result.CodePeerOtherFleet:  c.OtherFleet,
		result.CodePeerMalformed:   c.Malformed,
		result.CodePeerIncarnation: c.OldIncarnation + c.Unknown,
		result.CodeRosterConflict:  c.Conflicts,
	})
}

// run executes the effects that the membership machine returned.
func (m *Manager) run(now time.Time, effects []membership.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case membership.Send:
			m.options.Sender.Send(e.To.Ref, wire.KindMembership, e.Message)
		case membership.ReadRoster:
			go m.read()
		case membership.WriteRoster:
			go m.write(e.Roster)
		case membership.Changed:
			m.publish(now)
		case membership.Rejoined:
			m.rejoined(now, e.Self)
		case membership.Superseded:
			m.superseded(e.By)
		}
	}
}

func (m *Manager) publish(now time.Time) {
	s := m.newSnapshot()
	m.snapshot.Store(s)
	if m.options.Budget != nil {
		m.options.Budget.SetFleetSize(len(s.Members))
	}
	if m.options.OnChange != nil {
		m.options.OnChange(now, s)
	}
}

func (m *Manager) rejoined(now time.Time, self fleet.Instance) {
	m.options.Log.Warn("instance was removed from the roster; rejoining as the next incarnation", "incarnation", self.Ref.Incarnation)
	if m.options.OnRejoined != nil {
		m.options.OnRejoined(self)
	}
	m.publish(now)
}

func (m *Manager) superseded(by fleet.Instance) {
	m.options.Log.Error("another process has this instance's ID", "incarnation", m.options.Self.Ref.Incarnation, "by", by.Ref.String())
	if m.options.OnSuperseded != nil {
		m.options.OnSuperseded(by)
	}
}

// newSnapshot returns a snapshot of the current state.
func (m *Manager) newSnapshot() *Snapshot {
	s := &Snapshot{
		Self:    m.machine.Self(),
		Joined:  m.machine.Joined(),
		Members: m.machine.Members(),
		Roster:  m.machine.Roster(),
	}
	s.byRef = make(map[fleet.Ref]fleet.Instance, len(s.Roster.Instances))
	for _, i := range s.Roster.Instances {
		s.byRef[i.Ref] = i
	}
	s.Map = m.mapOf(availableInstances(s.Members))
	return s
}

// mapOf returns the placement map of instances. It reuses the last map, with its caches, if
// the instances are the same.
func (m *Manager) mapOf(instances []fleet.Instance) *placement.Map {
	if last := m.snapshot.Load(); last != nil && slices.Equal(last.Map.Instances(), instances) {
		return last.Map
	}
	return placement.NewMap(instances)
}

// availableInstances returns the members that may get requests: reachable and neither dead nor leaving.
func availableInstances(members []membership.Member) []fleet.Instance {
	instances := make([]fleet.Instance, 0, len(members))
	for _, m := range members {
		if m.Reachable && (m.Status == membership.StatusAlive || m.Status == membership.StatusSuspect) {
			instances = append(instances, m.Instance)
		}
	}
	return instances
}

func (m *Manager) setHints(instances []fleet.Instance) {
	hints := make(map[fleet.Ref]fleet.Instance, len(instances))
	for _, i := range instances {
		hints[i.Ref] = i
	}
	m.hints.Store(&hints)
}

// maxHints bounds the hints, to which each join request may add one.
const maxHints = 4096

func (m *Manager) addHint(i fleet.Instance) {
	previous := *m.hints.Load()
	if previous[i.Ref] == i || len(previous) >= maxHints {
		return
	}
	hints := make(map[fleet.Ref]fleet.Instance, len(previous)+1)
	for ref, instance := range previous {
		hints[ref] = instance
	}
	hints[i.Ref] = i
	m.hints.Store(&hints)
}
