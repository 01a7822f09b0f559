package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Machine keeps one instance's view of the fleet.
type Machine struct {
	cfg      Config
	self     fleet.Instance
	random   *rand.Rand
	now      time.Time // Of the last event.
	lastTick time.Time
	roster   Roster
	overlay  *overlay
	delta    *Delta // That led to roster, when it is known.
	links    map[fleet.Ref]*link
	facts    *facts
	counts   map[fleet.Ref]uint64 // Of own votes, by subject.
	outbox   map[fleet.Ref][]Fact
	replied  map[fleet.Ref]time.Time // Last roster sent to an instance that is not on it.
	deadAt   map[fleet.Ref]time.Time // Since when a member is missing in this view.
	listed   map[fleet.InstanceID]fleet.Incarnation
	join     joinState
	writer   writerState
	revision fleet.Revision
	members  []Member
	stale    bool // Members must be worked out anew.
	leaving  bool
	stopped  bool
	effects  []Effect
	counters Counters
}

// link is what is known of one neighbour.
type link struct {
	instance   fleet.Instance
	heardAt    time.Time // Last heartbeat, or when it became a neighbour.
	sentAt     time.Time // Last heartbeat sent.
	generation uint64
	revision   fleet.Revision
	differs    time.Time // Since when its facts differ; zero when they do not.
	askedAt    time.Time
}

// NewMachine returns the machine of an instance that is not on the roster yet. random
// spreads the instances' retries.
func NewMachine(cfg Config, self fleet.Instance, random *rand.Rand) *Machine {
	m := &Machine{
		cfg:     cfg.withDefaults(),
		self:    self,
		random:  random,
		roster:  Roster{Fleet: cfg.Fleet},
		overlay: newOverlay(nil),
		links:   make(map[fleet.Ref]*link),
		facts:   newFacts(),
		counts:  make(map[fleet.Ref]uint64),
		outbox:  make(map[fleet.Ref][]Fact),
		replied: make(map[fleet.Ref]time.Time),
		deadAt:  make(map[fleet.Ref]time.Time),
	}
	return m
}

// Self returns this instance as its current life.
func (m *Machine) Self() fleet.Instance {
	return m.self
}

// Joined reports whether this life is on the roster.
func (m *Machine) Joined() bool {
	return m.join.done
}

// Roster returns the roster of the highest generation known. Its Instances must not be changed.
func (m *Machine) Roster() Roster {
	return m.roster
}

// Counters returns the counts so far.
func (m *Machine) Counters() Counters {
	return m.counters
}

// SetRevision sets the configuration revision that heartbeats carry.
func (m *Machine) SetRevision(r fleet.Revision) {
	m.revision = r
}

// Neighbours returns the instances that this one exchanges heartbeats with.
func (m *Machine) Neighbours() []fleet.Instance {
	return m.overlay.of(m.self.Ref)
}

// Ahead returns the neighbour whose configuration is the highest above this instance's.
func (m *Machine) Ahead() (fleet.Instance, fleet.Revision, bool) {
	best := m.revision
	var found fleet.Instance
	for _, n := range m.Neighbours() {
		if l := m.links[n.Ref]; l != nil && l.revision > best {
			best, found = l.revision, n
		}
	}
	return found, best, best > m.revision
}

// Deliver takes a message of another instance.
func (m *Machine) Deliver(now time.Time, from fleet.Ref, msg Message) []Effect {
	if m.stopped {
		return nil
	}
	m.advance(now)
	if msg.Fleet != m.cfg.Fleet {
		m.counters.OtherFleet++
		return nil
	}
	if msg.Join != nil {
		m.deliverJoin(from, *msg.Join)
	}
	m.deliverRosters(from, msg)
	if !m.known(from, msg) {
		return m.flush()
	}
	m.mergeFacts(from, msg.Facts)
	if msg.Heartbeat != nil {
		m.deliverHeartbeat(from, *msg.Heartbeat)
	}
	return m.flush()
}

// known counts and refuses heartbeats and facts of lives that are not on the roster, and
// tells them what the roster is, so that one that was taken off learns of it.
func (m *Machine) known(from fleet.Ref, msg Message) bool {
	if msg.Heartbeat == nil && len(msg.Facts) == 0 {
		return true
	}
	current, ok := m.roster.Find(from.ID)
	if ok && current.Ref == from {
		return true
	}
	if ok && current.Ref.Incarnation > from.Incarnation {
		m.counters.OldIncarnation++
	} else {
		m.counters.Unknown++
	}
	if msg.Heartbeat != nil {
		m.instruct(from, msg.Heartbeat.Generation)
	}
	return false
}

// instruct sends the roster to an instance that is not on it, or asks for its higher one.
func (m *Machine) instruct(to fleet.Ref, generation uint64) {
	if m.now.Sub(m.replied[to]) < m.cfg.JoinInterval {
		return
	}
	m.replied[to] = m.now
	if generation > m.roster.Generation {
		m.sendTo(fleet.Instance{Ref: to}, Message{Ask: &Ask{Have: m.roster.Generation}})
		return
	}
	m.sendRoster(fleet.Instance{Ref: to})
}

func (m *Machine) deliverHeartbeat(from fleet.Ref, h Heartbeat) {
	l := m.links[from]
	if l == nil {
		m.catchUp(from, &link{instance: fleet.Instance{Ref: from}}, h.Generation)
		return
	}
	l.heardAt = m.now
	l.generation = h.Generation
	l.revision = h.Revision
	m.writer.wokeAt = time.Time{}
	m.catchUp(from, l, h.Generation)
	m.compareFacts(l, h)
}

// catchUp asks a neighbour for its roster when that is of a higher generation.
func (m *Machine) catchUp(from fleet.Ref, l *link, generation uint64) {
	if generation <= m.roster.Generation || m.now.Sub(l.askedAt) < m.cfg.Heartbeat {
		return
	}
	l.askedAt = m.now
	m.sendTo(l.instance, Message{Ask: &Ask{Have: m.roster.Generation}})
}

// compareFacts sends all facts to a neighbour whose facts have differed for a while.
func (m *Machine) compareFacts(l *link, h Heartbeat) {
	if h.Digest == m.facts.digest || h.Generation != m.roster.Generation {
		l.differs = time.Time{}
		return
	}
	if l.differs.IsZero() {
		l.differs = m.now
		return
	}
	if m.now.Sub(l.differs) >= m.cfg.SyncInterval {
		l.differs = m.now
		m.counters.Syncs++
		m.outbox[l.instance.Ref] = m.facts.all()
	}
}

// Tick must be called several times per heartbeat.
func (m *Machine) Tick(now time.Time) []Effect {
	if m.stopped {
		return nil
	}
	m.advance(now)
	m.notePause()
	m.beat()
	m.vote()
	m.tickJoin()
	m.refresh()
	m.noteMissing()
	m.tickWriter()
	m.sendFacts()
	return m.flush()
}

// advance moves the machine's clock, which never goes back.
func (m *Machine) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
}

// notePause starts the neighbours' silence anew after a time without ticks: it was this instance
// that did not listen. It must hear a neighbour before it writes the roster.
func (m *Machine) notePause() {
	gap := m.now.Sub(m.lastTick)
	paused := !m.lastTick.IsZero() && gap >= m.cfg.SuspectAfter/2
	m.lastTick = m.now
	if !paused {
		return
	}
	m.counters.Pauses++
	m.writer.wokeAt = m.now
	for _, l := range m.links {
		l.heardAt = m.now
	}
	for ref := range m.deadAt {
		m.deadAt[ref] = m.now
	}
}

// beat sends the heartbeats that are due.
func (m *Machine) beat() {
	for _, n := range m.Neighbours() {
		l := m.links[n.Ref]
		if m.now.Sub(l.sentAt) < m.cfg.Heartbeat {
			continue
		}
		l.sentAt = m.now
		m.sendTo(n, Message{Heartbeat: &Heartbeat{
			Generation: m.roster.Generation,
			Revision:   m.revision,
			Digest:     m.facts.digest,
		}})
	}
}

// vote says of each neighbour whether it is silent, when that has changed.
func (m *Machine) vote() {
	for _, n := range m.Neighbours() {
		silent := m.now.Sub(m.links[n.Ref].heardAt) >= m.cfg.SuspectAfter
		if silent == m.facts.silentVote(n.Ref, m.self.Ref) {
			continue
		}
		if silent {
			m.counters.Votes++
		}
		m.cast(n.Ref, silent)
	}
}

func (m *Machine) cast(subject fleet.Ref, silent bool) {
	m.counts[subject]++
	m.learn(m.self.Ref, Fact{Kind: FactVote, Subject: subject, Voter: m.self.Ref, Count: m.counts[subject], Silent: silent})
}

// Leave announces that this instance is stopping.
func (m *Machine) Leave(now time.Time) []Effect {
	m.advance(now)
	m.leaving = true
	if m.join.done {
		m.learn(m.self.Ref, Fact{Kind: FactLeaving, Subject: m.self.Ref, Count: 1})
	}
	m.sendFacts()
	return m.flush()
}

// Gone announces that this instance has stopped and ends the machine. The writers take it off the roster.
func (m *Machine) Gone(now time.Time) []Effect {
	m.advance(now)
	m.leaving = true
	if m.join.done {
		m.learn(m.self.Ref, Fact{Kind: FactGone, Subject: m.self.Ref, Count: 1})
	}
	m.sendFacts()
	m.stopped = true
	return m.flush()
}

// Listed takes the platform's list of instances: a hint of who could be asked to join, and
// which of those that nobody hears were replaced for good.
func (m *Machine) Listed(now time.Time, instances []fleet.Instance) []Effect {
	m.advance(now)
	m.listed = make(map[fleet.InstanceID]fleet.Incarnation, len(instances))
	for _, i := range instances {
		m.listed[i.Ref.ID] = i.Ref.Incarnation
	}
	m.join.hints = slices.Clone(instances)
	return m.flush()
}

func (m *Machine) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Machine) sendTo(to fleet.Instance, msg Message) {
	if to.Ref == m.self.Ref {
		return
	}
	msg.Fleet = m.cfg.Fleet
	m.emit(Send{To: to, Message: msg})
}

func (m *Machine) sendRoster(to fleet.Instance) {
	r := m.roster
	m.sendTo(to, Message{Roster: &r})
}

// refresh works out the members anew when something has changed.
func (m *Machine) refresh() {
	if !m.stale {
		return
	}
	m.stale = false
	m.members = m.work()
	m.emit(Changed{})
}

// flush returns the effects gathered since the last flush.
func (m *Machine) flush() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}
