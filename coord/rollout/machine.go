package rollout

import (
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Default times of a MachineConfig.
const (
	DefaultRequestTimeout = time.Second
	DefaultShardTimeout   = 2 * time.Second
	DefaultStartWait      = 2 * time.Second
	DefaultReadInterval   = 5 * time.Second
)

// MachineConfig holds the settings of a Machine. Zero times take the defaults.
type MachineConfig struct {
	Fleet          string
	RequestTimeout time.Duration // Time without a reply before a head is requested from another peer.
	ShardTimeout   time.Duration // Time without a reply before a shard is requested from another source.
	StartWait      time.Duration // Maximum wait for the peers' replies at the start, when the store does not answer.
	ReadInterval   time.Duration // Time between reads of the store's head while there is no configuration.
}

func (c MachineConfig) withDefaults() MachineConfig {
	setDefault(&c.RequestTimeout, DefaultRequestTimeout)
	setDefault(&c.ShardTimeout, DefaultShardTimeout)
	setDefault(&c.StartWait, DefaultStartWait)
	setDefault(&c.ReadInterval, DefaultReadInterval)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Counters counts events of a Machine and the input that it rejected.
type Counters struct {
	Applied         uint64 // Configurations that became active.
	LowerRevision   uint64 // Heads below the active revision.
	OtherFleet      uint64
	Malformed       uint64
	WrongDigest     uint64
	TooLarge        uint64
	Unsolicited     uint64 // Shards that were not requested.
	ShardsFetched   uint64
	StaleStoreReads uint64 // Heads read from the store below the active revision.
	Forks           uint64 // Heads of another history than the active configuration's.
}

// Machine maintains one instance's configuration. It does no I/O; it is not safe for concurrent use.
type Machine struct {
	cfg             MachineConfig
	self            fleet.Ref
	peers           []fleet.Ref
	watcher         bool
	current         *Config
	head            Head                         // Of current, without recent IDs.
	shards          map[Digest][]byte            // Shards of head's snapshot that this instance has. The map is replaced, not modified, when the head changes.
	lineage         map[fleet.Revision]ChangeRef // Latest changes up to current, as far as their IDs are known.
	restoredAt      time.Time                    // Time of the last RestoreHead.
	candidate       *candidate
	peerRevisions   map[fleet.Ref]fleet.Revision // Highest revision reported by each peer.
	requestedAt     map[fleet.Ref]time.Time      // Times of the pending head requests, by peer.
	replied         map[fleet.Ref]bool           // Peers that sent a head while there was no configuration.
	startedAt       time.Time
	headRequestedAt time.Time // Time of the last ReadHead.
	headRead        bool      // The store's head was read while there was no configuration.
	fetches         map[Digest]*fetch
	effects         []Effect
	counters        Counters
}

// candidate is a head that is newer than the active configuration and not applied yet.
type candidate struct {
	head     Head
	from     fleet.Ref // Zero when it came from the store.
	complete bool      // Of another history: all of it has to be applied.
}

// NewMachine returns a machine without a configuration.
func NewMachine(cfg MachineConfig, self fleet.Ref) *Machine {
	return &Machine{
		cfg:           cfg.withDefaults(),
		self:          self,
		shards:        make(map[Digest][]byte),
		lineage:       make(map[fleet.Revision]ChangeRef),
		peerRevisions: make(map[fleet.Ref]fleet.Revision),
		requestedAt:   make(map[fleet.Ref]time.Time),
		replied:       make(map[fleet.Ref]bool),
		fetches:       make(map[Digest]*fetch),
	}
}

// Current returns the active configuration, or nil before the first.
func (m *Machine) Current() *Config {
	return m.current
}

// Counters returns the counts so far.
func (m *Machine) Counters() Counters {
	return m.counters
}

// Watcher reports whether this instance watches the head in the store.
func (m *Machine) Watcher() bool {
	return m.watcher
}

// SetPeers sets the instances to exchange configuration with, and whether this one watches the store.
func (m *Machine) SetPeers(peers []fleet.Ref, watcher bool) {
	m.peers = slices.DeleteFunc(slices.Clone(peers), func(p fleet.Ref) bool { return p == m.self })
	m.watcher = watcher
	for peer := range m.peerRevisions {
		if !slices.Contains(m.peers, peer) {
			delete(m.peerRevisions, peer)
			delete(m.requestedAt, peer)
		}
	}
}

// SetSelf sets this instance's current incarnation.
func (m *Machine) SetSelf(self fleet.Ref) {
	m.self = self
}

func (m *Machine) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Machine) send(to fleet.Ref, msg Message) {
	msg.Fleet = m.cfg.Fleet
	m.emit(Send{To: to, Message: msg})
}

// flush returns the effects collected since the last flush.
func (m *Machine) flush() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}

func (m *Machine) revision() fleet.Revision {
	return nextRevision(m.current) - 1
}

// HeadRead handles the outcome of ReadHead. A zero head means that the store has none.
func (m *Machine) HeadRead(now time.Time, head Head, err error) []Effect {
	if err != nil {
		return m.flush()
	}
	if !m.checkHead(head) {
		return m.flush()
	}
	m.headRead = true
	if head.Revision < m.revision() {
		m.counters.StaleStoreReads++
	}
	m.considerHead(now, head, fleet.Ref{})
	return m.flush()
}

// checkHead reports whether a head may be used. One that is of another fleet or inconsistent is counted and rejected.
func (m *Machine) checkHead(h Head) bool {
	if h.Revision == 0 {
		return true
	}
	if h.Fleet != m.cfg.Fleet {
		m.counters.OtherFleet++
		return false
	}
	if h.validate() != nil {
		m.counters.Malformed++
		return false
	}
	return true
}

// Deliver handles a message from another instance.
func (m *Machine) Deliver(now time.Time, from fleet.Ref, msg Message) []Effect {
	if msg.Fleet != m.cfg.Fleet {
		m.counters.OtherFleet++
		return nil
	}
	switch {
	case msg.Head != nil:
		m.handleHead(now, from, *msg.Head)
	case msg.HeadRequest != nil:
		m.answerHeadRequest(from, *msg.HeadRequest)
	case msg.Shard != nil:
		m.handleShard(now, from, *msg.Shard)
	case msg.ShardRequest != Digest{}:
		m.answerShardRequest(from, msg.ShardRequest)
	default:
		m.counters.Malformed++
	}
	return m.flush()
}

func (m *Machine) handleHead(now time.Time, from fleet.Ref, h Head) {
	if !m.checkHead(h) {
		return
	}
	delete(m.requestedAt, from)
	if m.current == nil {
		m.replied[from] = true
	}
	m.recordPeerRevision(from, h.Revision)
	m.considerHead(now, h, from)
}

func (m *Machine) recordPeerRevision(peer fleet.Ref, r fleet.Revision) {
	m.peerRevisions[peer] = max(m.peerRevisions[peer], r)
}

// answerHeadRequest sends the head with the changes after the requested revision, or with those
// after the snapshot when the inline changes do not reach back that far. An empty head means
// that this instance has no configuration.
func (m *Machine) answerHeadRequest(to fleet.Ref, req HeadRequest) {
	if m.current == nil {
		m.send(to, Message{Head: &Head{}})
		return
	}
	if req.After > 0 {
		m.recordPeerRevision(to, req.After)
	}
	h := m.head.withOverlap(req.After)
	if !m.head.hasChangesSince(req.After) {
		h = m.head.withChangesAfter(m.head.SnapshotRevision)
	}
	m.send(to, Message{Head: &h})
}

// PeerRevision handles the revision in a peer's heartbeat.
func (m *Machine) PeerRevision(now time.Time, peer fleet.Ref, r fleet.Revision) []Effect {
	m.recordPeerRevision(peer, r)
	if r > m.revision() {
		m.requestIfBehind(now)
	}
	return m.flush()
}

// Refresh requests newer changes from one peer. It is called periodically on an instance that
// receives no heartbeats.
func (m *Machine) Refresh(now time.Time) []Effect {
	if len(m.peers) > 0 {
		peer := m.leastRecentlyRequested(m.peers)
		if m.mayRequest(now, peer) {
			m.requestHead(now, peer)
		}
	}
	return m.flush()
}

// Tick requests the first configuration or newer changes, repeats requests that were not answered
// in time, and applies the candidate if it is complete.
func (m *Machine) Tick(now time.Time) []Effect {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	if m.current == nil {
		m.tickStart(now)
	}
	m.requestIfBehind(now)
	m.tryCandidate(now)
	return m.flush()
}

// tickStart requests the first configuration from the store and the peers.
func (m *Machine) tickStart(now time.Time) {
	if m.headRequestedAt.IsZero() || now.Sub(m.headRequestedAt) >= m.cfg.ReadInterval {
		m.headRequestedAt = now
		m.emit(ReadHead{})
	}
	for _, peer := range m.peers {
		if !m.replied[peer] && m.mayRequest(now, peer) {
			m.requestHead(now, peer)
		}
	}
}

// requestIfBehind requests the head from one peer with a higher revision, unless such a request is pending.
func (m *Machine) requestIfBehind(now time.Time) {
	have := m.revision()
	if m.candidate != nil {
		have = max(have, m.candidate.head.Revision)
	}
	var ahead []fleet.Ref
	for _, peer := range m.peers {
		if m.peerRevisions[peer] <= have {
			continue
		}
		if !m.mayRequest(now, peer) {
			return
		}
		ahead = append(ahead, peer)
	}
	if len(ahead) > 0 {
		m.requestHead(now, m.leastRecentlyRequested(ahead))
	}
}

func (m *Machine) leastRecentlyRequested(peers []fleet.Ref) fleet.Ref {
	return slices.MinFunc(peers, func(a, b fleet.Ref) int { return m.requestedAt[a].Compare(m.requestedAt[b]) })
}

func (m *Machine) mayRequest(now time.Time, peer fleet.Ref) bool {
	at, requested := m.requestedAt[peer]
	return !requested || now.Sub(at) >= m.cfg.RequestTimeout
}

func (m *Machine) requestHead(now time.Time, peer fleet.Ref) {
	m.requestedAt[peer] = now
	m.send(peer, Message{HeadRequest: &HeadRequest{After: m.revision()}})
}
