package rollout

import (
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Default times of a MachineConfig.
const (
	DefaultAskTimeout   = time.Second
	DefaultShardTimeout = 2 * time.Second
	DefaultStartWait    = 2 * time.Second
	DefaultReadInterval = 5 * time.Second
)

// MachineConfig holds the settings of a Machine. Zero times take the defaults.
type MachineConfig struct {
	Fleet        string
	AskTimeout   time.Duration // Before another peer is asked.
	ShardTimeout time.Duration // Before a shard is sought elsewhere.
	StartWait    time.Duration // For answers of peers, when the store does not answer.
	ReadInterval time.Duration // Between reads of the head while there is no configuration.
}

func (c MachineConfig) withDefaults() MachineConfig {
	setDefault(&c.AskTimeout, DefaultAskTimeout)
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

// Counters counts what a Machine did and what it refused.
type Counters struct {
	Applied       uint64 // Configurations put in force.
	LowerRevision uint64 // Heads below the revision in force.
	OtherFleet    uint64
	Malformed     uint64
	WrongDigest   uint64
	TooLarge      uint64
	Unsolicited   uint64 // Shards that were not asked for.
	ShardsFetched uint64
	StoreBehind   uint64 // Store reads below the revision in force.
}

// Machine keeps one instance's configuration.
type Machine struct {
	cfg      MachineConfig
	self     fleet.Ref
	peers    []fleet.Ref
	watcher  bool
	current  *Config
	head     Head              // Of current, without recent IDs.
	shards   map[Digest][]byte // Of head's snapshot, as far as held.
	wanted   *candidate
	known    map[fleet.Ref]fleet.Revision // Highest revision heard from each peer.
	asks     map[fleet.Ref]time.Time      // Asks under way, with the time of sending.
	answered map[fleet.Ref]bool           // Peers that answered while there was no configuration.
	started  time.Time
	readAt   time.Time // Last ReadHead.
	stored   bool      // The store's head was read while there was no configuration.
	fetches  map[Digest]*fetch
	effects  []Effect
	counters Counters
}

// candidate is a head that is newer than the configuration in force and not applied yet.
type candidate struct {
	head Head
	from fleet.Ref // Zero when it came from the store.
}

// NewMachine returns a machine without a configuration.
func NewMachine(cfg MachineConfig, self fleet.Ref) *Machine {
	return &Machine{
		cfg:      cfg.withDefaults(),
		self:     self,
		shards:   make(map[Digest][]byte),
		known:    make(map[fleet.Ref]fleet.Revision),
		asks:     make(map[fleet.Ref]time.Time),
		answered: make(map[fleet.Ref]bool),
		fetches:  make(map[Digest]*fetch),
	}
}

// Current returns the configuration in force, or nil before the first.
func (m *Machine) Current() *Config {
	return m.current
}

// Counters returns the counts so far.
func (m *Machine) Counters() Counters {
	return m.counters
}

// Watcher reports whether this instance watches the store's head.
func (m *Machine) Watcher() bool {
	return m.watcher
}

// SetPeers sets the instances to exchange configuration with, and whether this one watches the store.
func (m *Machine) SetPeers(peers []fleet.Ref, watcher bool) {
	m.peers = slices.DeleteFunc(slices.Clone(peers), func(p fleet.Ref) bool { return p == m.self })
	m.watcher = watcher
	for peer := range m.known {
		if !slices.Contains(m.peers, peer) {
			delete(m.known, peer)
			delete(m.asks, peer)
		}
	}
}

// SetSelf names this instance's next life.
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

// flush returns the effects gathered since the last flush.
func (m *Machine) flush() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}

func (m *Machine) revision() fleet.Revision {
	return nextRevision(m.current) - 1
}

// HeadRead takes the outcome of reading the store's head. A zero head means that the store holds none.
func (m *Machine) HeadRead(now time.Time, head Head, err error) []Effect {
	if err != nil {
		return m.flush()
	}
	if !m.acceptable(head) {
		return m.flush()
	}
	m.stored = true
	if head.Revision < m.revision() {
		m.counters.StoreBehind++
	}
	m.consider(now, head, fleet.Ref{})
	return m.flush()
}

// acceptable counts and refuses a head that is of another fleet or contradicts itself.
func (m *Machine) acceptable(h Head) bool {
	if h.Revision == 0 {
		return true
	}
	if h.Fleet != m.cfg.Fleet {
		m.counters.OtherFleet++
		return false
	}
	if h.check() != nil {
		m.counters.Malformed++
		return false
	}
	return true
}

// Deliver takes a message of another instance.
func (m *Machine) Deliver(now time.Time, from fleet.Ref, msg Message) []Effect {
	if msg.Fleet != m.cfg.Fleet {
		m.counters.OtherFleet++
		return nil
	}
	switch {
	case msg.Head != nil:
		m.deliverHead(now, from, *msg.Head)
	case msg.Ask != nil:
		m.answerAsk(from, *msg.Ask)
	case msg.Shard != nil:
		m.deliverShard(now, from, *msg.Shard)
	case msg.Want != Digest{}:
		m.answerWant(from, msg.Want)
	default:
		m.counters.Malformed++
	}
	return m.flush()
}

func (m *Machine) deliverHead(now time.Time, from fleet.Ref, h Head) {
	if !m.acceptable(h) {
		return
	}
	delete(m.asks, from)
	if m.current == nil {
		m.answered[from] = true
	}
	m.hear(from, h.Revision)
	m.consider(now, h, from)
}

func (m *Machine) hear(peer fleet.Ref, r fleet.Revision) {
	m.known[peer] = max(m.known[peer], r)
}

// answerAsk sends what is after the asker's revision, or the whole head when the inline
// changes do not reach back that far. An empty head says that there is nothing.
func (m *Machine) answerAsk(to fleet.Ref, ask Ask) {
	if m.current == nil {
		m.send(to, Message{Head: &Head{}})
		return
	}
	if ask.Have > 0 {
		m.hear(to, ask.Have)
	}
	h := m.head.after(ask.Have)
	if !m.head.covers(ask.Have) {
		h = m.head.after(m.head.SnapshotRevision)
	}
	m.send(to, Message{Head: &h})
}

// PeerRevision takes the revision that a peer's heartbeat carried.
func (m *Machine) PeerRevision(now time.Time, peer fleet.Ref, r fleet.Revision) []Effect {
	m.hear(peer, r)
	if r > m.revision() {
		m.askIfBehind(now)
	}
	return m.flush()
}

// Refresh asks one peer for what is newer. An instance that no peer sends heartbeats to calls
// it from time to time.
func (m *Machine) Refresh(now time.Time) []Effect {
	if len(m.peers) > 0 {
		peer := m.leastRecentlyAsked(m.peers)
		if m.mayAsk(now, peer) {
			m.ask(now, peer)
		}
	}
	return m.flush()
}

// Tick repeats what went unanswered.
func (m *Machine) Tick(now time.Time) []Effect {
	if m.started.IsZero() {
		m.started = now
	}
	if m.current == nil {
		m.tickStart(now)
	}
	m.askIfBehind(now)
	m.try(now)
	return m.flush()
}

// tickStart asks the store and the peers for a first configuration.
func (m *Machine) tickStart(now time.Time) {
	if m.readAt.IsZero() || now.Sub(m.readAt) >= m.cfg.ReadInterval {
		m.readAt = now
		m.emit(ReadHead{})
	}
	for _, peer := range m.peers {
		if !m.answered[peer] && m.mayAsk(now, peer) {
			m.ask(now, peer)
		}
	}
}

// askIfBehind asks one peer that has a higher revision, unless an ask is under way.
func (m *Machine) askIfBehind(now time.Time) {
	have := m.revision()
	if m.wanted != nil {
		have = max(have, m.wanted.head.Revision)
	}
	var behind []fleet.Ref
	for _, peer := range m.peers {
		if m.known[peer] <= have {
			continue
		}
		if !m.mayAsk(now, peer) {
			return
		}
		behind = append(behind, peer)
	}
	if len(behind) > 0 {
		m.ask(now, m.leastRecentlyAsked(behind))
	}
}

func (m *Machine) leastRecentlyAsked(peers []fleet.Ref) fleet.Ref {
	return slices.MinFunc(peers, func(a, b fleet.Ref) int { return m.asks[a].Compare(m.asks[b]) })
}

func (m *Machine) mayAsk(now time.Time, peer fleet.Ref) bool {
	at, asked := m.asks[peer]
	return !asked || now.Sub(at) >= m.cfg.AskTimeout
}

func (m *Machine) ask(now time.Time, peer fleet.Ref) {
	m.asks[peer] = now
	m.send(peer, Message{Ask: &Ask{Have: m.revision()}})
}
