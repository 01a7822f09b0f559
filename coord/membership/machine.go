package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Machine maintains one instance's view of the fleet. It does no I/O; it is not safe for concurrent use.
type Machine struct {
	cfg          Config
	self         fleet.Instance
	random       *rand.Rand
	now          time.Time // Time of the last event.
	lastTick     time.Time
	roster       Roster
	overlay      *overlay
	delta        *Delta // Led to the current roster; nil when not known.
	links        map[fleet.Ref]*link
	facts        *facts
	voteVersions map[fleet.Ref]uint64 // Versions of this instance's votes, by subject.
	outbox       map[fleet.Ref][]Fact
	rosterSentAt map[fleet.Ref]time.Time // Last reply to an instance that is not on the roster.
	missingSince map[fleet.Ref]time.Time // When each member became dead or unreachable.
	platformList map[fleet.InstanceID]fleet.Incarnation
	join         joinState
	writer       writerState
	revision     fleet.Revision
	members      []Member
	membersStale bool // members must be recomputed.
	leaving      bool
	stopped      bool
	effects      []Effect
	counters     Counters
}

// link is the state of the link to one neighbour.
type link struct {
	instance     fleet.Instance
	receivedAt   time.Time // Time of the last heartbeat received, or when it became a neighbour.
	sentAt       time.Time // Time of the last heartbeat sent.
	generation   uint64
	revision     fleet.Revision
	differsSince time.Time // Start of the time that its facts differ; zero when they do not.
	requestedAt  time.Time
}

// NewMachine returns the machine of an instance that is not on the roster yet. random
// provides the jitter that spreads the instances' retries.
func NewMachine(cfg Config, self fleet.Instance, random *rand.Rand) *Machine {
	m := &Machine{
		cfg:          cfg.withDefaults(),
		self:         self,
		random:       random,
		roster:       Roster{Fleet: cfg.Fleet},
		overlay:      newOverlay(nil),
		links:        make(map[fleet.Ref]*link),
		facts:        newFacts(),
		voteVersions: make(map[fleet.Ref]uint64),
		outbox:       make(map[fleet.Ref][]Fact),
		rosterSentAt: make(map[fleet.Ref]time.Time),
		missingSince: make(map[fleet.Ref]time.Time),
	}
	return m
}

// Self returns this instance with its current incarnation.
func (m *Machine) Self() fleet.Instance {
	return m.self
}

// Joined reports whether this incarnation is on the roster.
func (m *Machine) Joined() bool {
	return m.join.joined
}

// Roster returns the roster with the highest generation received. Its Instances must not be modified.
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
	return m.overlay.neighboursOf(m.self.Ref)
}

// NeighbourAhead returns the neighbour with the highest configuration revision, if it is above this instance's.
func (m *Machine) NeighbourAhead() (fleet.Instance, fleet.Revision, bool) {
	best := m.revision
	var found fleet.Instance
	for _, n := range m.Neighbours() {
		if l := m.links[n.Ref]; l != nil && l.revision > best {
			best, found = l.revision, n
		}
	}
	return found, best, best > m.revision
}

// Deliver handles a message from another instance.
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
		m.handleJoin(from, *msg.Join)
	}
	m.handleRoster(from, msg)
	if !m.admitSender(from, msg) {
		return m.flush()
	}
	m.handleFacts(from, msg.Facts)
	if msg.Heartbeat != nil {
		m.handleHeartbeat(from, *msg.Heartbeat)
	}
	return m.flush()
}

// admitSender reports whether a message's heartbeat and facts may be used. Those from
// incarnations that are not on the roster are counted and rejected, and their heartbeats are
// answered with the roster, so that an instance that was removed learns of it.
func (m *Machine) admitSender(from fleet.Ref, msg Message) bool {
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
		m.replyToNonMember(from, msg.Heartbeat.Generation)
	}
	return false
}

// replyToNonMember sends the roster to an instance that is not on it, or requests its newer one.
func (m *Machine) replyToNonMember(to fleet.Ref, generation uint64) {
	if m.now.Sub(m.rosterSentAt[to]) < m.cfg.JoinInterval {
		return
	}
	m.rosterSentAt[to] = m.now
	if generation > m.roster.Generation {
		m.sendTo(fleet.Instance{Ref: to}, Message{RosterRequest: &RosterRequest{NewerThan: m.roster.Generation}})
		return
	}
	m.sendRoster(fleet.Instance{Ref: to})
}

func (m *Machine) handleHeartbeat(from fleet.Ref, h Heartbeat) {
	l := m.links[from]
	if l == nil {
		m.requestNewerRoster(from, &link{instance: fleet.Instance{Ref: from}}, h.Generation)
		return
	}
	l.receivedAt = m.now
	l.generation = h.Generation
	l.revision = h.Revision
	m.writer.pauseEndedAt = time.Time{}
	m.requestNewerRoster(from, l, h.Generation)
	m.compareFacts(l, h)
}

// requestNewerRoster requests the sender's roster when its generation is higher.
func (m *Machine) requestNewerRoster(from fleet.Ref, l *link, generation uint64) {
	if generation <= m.roster.Generation || m.now.Sub(l.requestedAt) < m.cfg.Heartbeat {
		return
	}
	l.requestedAt = m.now
	m.sendTo(l.instance, Message{RosterRequest: &RosterRequest{NewerThan: m.roster.Generation}})
}

// compareFacts queues all facts for a neighbour whose facts have differed for SyncInterval.
func (m *Machine) compareFacts(l *link, h Heartbeat) {
	if h.Digest == m.facts.digest || h.Generation != m.roster.Generation {
		l.differsSince = time.Time{}
		return
	}
	if l.differsSince.IsZero() {
		l.differsSince = m.now
		return
	}
	if m.now.Sub(l.differsSince) >= m.cfg.SyncInterval {
		l.differsSince = m.now
		m.counters.Syncs++
		m.outbox[l.instance.Ref] = m.facts.all()
	}
}

// Tick runs the periodic work. It must be called several times per heartbeat interval.
func (m *Machine) Tick(now time.Time) []Effect {
	if m.stopped {
		return nil
	}
	m.advance(now)
	m.detectPause()
	m.sendHeartbeats()
	m.updateVotes()
	m.tickJoin()
	m.refresh()
	m.updateMissing()
	m.tickWriter()
	m.sendFacts()
	return m.flush()
}

// advance moves the machine's clock, which never runs backwards.
func (m *Machine) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
}

// detectPause detects a gap between ticks, during which this instance received nothing. It
// restarts the timeouts of the neighbours, whose heartbeats may have been lost meanwhile, and the
// times since which members are missing. This member does not write the roster again before it
// receives a heartbeat or 2*SuspectAfter has passed.
func (m *Machine) detectPause() {
	gap := m.now.Sub(m.lastTick)
	paused := !m.lastTick.IsZero() && gap >= m.cfg.SuspectAfter/2
	m.lastTick = m.now
	if !paused {
		return
	}
	m.counters.Pauses++
	m.writer.pauseEndedAt = m.now
	for _, l := range m.links {
		l.receivedAt = m.now
	}
	for ref := range m.missingSince {
		m.missingSince[ref] = m.now
	}
}

// sendHeartbeats sends the heartbeats that are due.
func (m *Machine) sendHeartbeats() {
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

// updateVotes casts a vote on each neighbour whose reachability has changed.
func (m *Machine) updateVotes() {
	for _, n := range m.Neighbours() {
		unreachable := m.now.Sub(m.links[n.Ref].receivedAt) >= m.cfg.SuspectAfter
		if unreachable == m.facts.votedUnreachable(n.Ref, m.self.Ref) {
			continue
		}
		if unreachable {
			m.counters.Votes++
		}
		m.castVote(n.Ref, unreachable)
	}
}

func (m *Machine) castVote(subject fleet.Ref, unreachable bool) {
	m.voteVersions[subject]++
	m.mergeAndForward(m.self.Ref, Fact{Kind: FactVote, Subject: subject, Voter: m.self.Ref, Version: m.voteVersions[subject], Unreachable: unreachable})
}

// Leave announces that this instance is stopping.
func (m *Machine) Leave(now time.Time) []Effect {
	m.advance(now)
	m.leaving = true
	if m.join.joined {
		m.mergeAndForward(m.self.Ref, Fact{Kind: FactLeaving, Subject: m.self.Ref, Version: 1})
	}
	m.sendFacts()
	return m.flush()
}

// Stop announces that this instance has stopped and ends the machine. The writers remove it from the roster.
func (m *Machine) Stop(now time.Time) []Effect {
	m.advance(now)
	m.leaving = true
	if m.join.joined {
		m.mergeAndForward(m.self.Ref, Fact{Kind: FactStopped, Subject: m.self.Ref, Version: 1})
	}
	m.sendFacts()
	m.stopped = true
	return m.flush()
}

// InstancesListed passes in the platform's list of instances. It supplies targets for join
// requests, and shows which unreachable instances no longer exist.
func (m *Machine) InstancesListed(now time.Time, instances []fleet.Instance) []Effect {
	m.advance(now)
	m.platformList = make(map[fleet.InstanceID]fleet.Incarnation, len(instances))
	for _, i := range instances {
		m.platformList[i.Ref.ID] = i.Ref.Incarnation
	}
	m.join.seeds = slices.Clone(instances)
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

// refresh recomputes the members when something has changed.
func (m *Machine) refresh() {
	if !m.membersStale {
		return
	}
	m.membersStale = false
	m.members = m.computeMembers()
	m.emit(Changed{})
}

// flush returns the effects collected since the last flush.
func (m *Machine) flush() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}
