package gateway

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/broker"
	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/following"
	"github.com/damaskcove/damaskcove/platform"
)

// memberPrefix is where instances register in the platform's store.
const memberPrefix = "instances/"

// memberRecord is what an instance registers.
type memberRecord struct {
	Peer       dispatch.PeerID `cbor:"1,keyasint"` // New at each start.
	Zone       string          `cbor:"2,keyasint"`
	CallerAddr string          `cbor:"3,keyasint"`           // Where callers connect.
	PeerAddr   netip.AddrPort  `cbor:"4,keyasint"`           // Where datagrams go.
	LinkMbps   float64         `cbor:"5,keyasint,omitempty"` // Mbit/s; 0 where it is not known.
}

// member is another instance.
type member struct {
	memberRecord
	key          string
	joined       time.Time
	lastSeen     time.Time // Zero before its first message.
	leaving      bool
	following    bool // It follows the store itself.
	deregistered bool // Its key went while it was heard.
}

// members holds the other instances.
type members struct {
	self         string // Key of this instance.
	zone         string
	log          *slog.Logger
	quiet        bool                        // Registrations are not logged one by one.
	byKey        map[string]*member          // By key.
	byPeer       map[dispatch.PeerID]*member // The same by life.
	coordinators map[string]bool             // Keepers, by key.
}

const (
	// silenceTimeout is several times the interval of heartbeats.
	silenceTimeout = 2 * time.Second
	// localMin is the fewest instances of a zone that callers are given alone.
	minLocalAddresses = 3
)

func newMembers(id, zone string, log *slog.Logger) *members {
	return &members{self: memberPrefix + id, zone: zone, log: log, byKey: make(map[string]*member), byPeer: make(map[dispatch.PeerID]*member)}
}

// put takes in an instance's registration.
func (m *members) put(now time.Time, key string, value []byte) {
	if key == m.self {
		return
	}
	var r memberRecord
	if err := cbor.Unmarshal(value, &r); err != nil {
		m.log.Warn("registration of an instance ignored", "key", key, "error", fmt.Sprintf("decode %d bytes: %s", len(value), err))
		return
	}
	if old := m.byKey[key]; old != nil && old.Peer == r.Peer {
		old.memberRecord, old.deregistered = r, false
		return
	}
	m.drop(key)
	m.byKey[key] = &member{memberRecord: r, key: key, joined: now}
	m.byPeer[r.Peer] = m.byKey[key]
	if m.quiet {
		return
	}
	m.log.Info("instance joined", "peer", strings.TrimPrefix(key, memberPrefix), "zone", r.Zone, "callers", r.CallerAddr)
}

// remove drops an instance whose registration went. It stays as long as it is heard and does
// not leave: a registration lapses with the store, or is taken away from an instance that the
// store refuses, and which depends on what its zone tells it.
func (m *members) remove(now time.Time, key string) {
	e := m.byKey[key]
	if e == nil {
		return
	}
	if !e.leaving && e.isAlive(now) {
		e.deregistered = true
		return
	}
	m.drop(key)
	if m.quiet {
		return
	}
	m.log.Info("instance left", "peer", strings.TrimPrefix(key, memberPrefix))
}

// hear notes a message of an instance, and tells whether it follows the store since, or no more.
func (m *members) recordMessage(now time.Time, msg *message) (changed bool) {
	e := m.byPeer[msg.From]
	if e == nil {
		return false
	}
	changed = e.following != msg.Following
	e.lastSeen, e.following = now, msg.Following
	e.leaving = e.leaving || msg.Leaving
	return changed
}

// rank notes who keeps.
func (m *members) setCoordinators(coordinators []broker.Instance) {
	m.coordinators = make(map[string]bool, len(coordinators))
	for _, i := range coordinators {
		m.coordinators[i.Key] = true
	}
}

// order returns an instance's place among those that may follow the store: keepers go first.
func (m *members) followerKey(key string) string {
	if len(m.coordinators) > 0 && !m.coordinators[key] {
		return "~" + key
	}
	return key
}

// follow notes which instances of this zone follow the store, as one of its keepers tells. The
// keepers tell of themselves.
func (m *members) setFollowers(coordinator *member, followers []dispatch.PeerID) {
	for _, e := range m.byKey {
		if e != coordinator && e.Zone == m.zone && !m.coordinators[e.key] {
			e.following = slices.Contains(followers, e.Peer)
		}
	}
}

// there tells whether an instance was heard lately, or has joined too lately to be heard.
func (e *member) isAlive(now time.Time) bool {
	return now.Sub(e.joined) <= silenceTimeout || now.Sub(e.lastSeen) <= silenceTimeout
}

// silent tells whether an instance is to be told of as silent.
func (e *member) isSilent(now time.Time) bool {
	fresh := now.Sub(e.joined) <= silenceTimeout
	return e.leaving || !fresh && now.Sub(e.lastSeen) > followerTimeout
}

// hush takes an instance for silent at once.
func (e *member) markSilent(now time.Time) {
	if silentSince := now.Add(-silenceTimeout - time.Millisecond); e.lastSeen.After(silentSince) {
		e.lastSeen = silentSince
	}
}

// drop forgets an instance.
func (m *members) drop(key string) {
	if e := m.byKey[key]; e != nil {
		delete(m.byPeer, e.Peer)
		delete(m.byKey, key)
	}
}

// zonePeers returns the other instances of this zone that are heard and stay.
func (m *members) zonePeers(now time.Time) []following.Peer {
	var peers []following.Peer
	for key, e := range m.byKey {
		if e.Zone == m.zone && !e.leaving && now.Sub(e.lastSeen) <= followerTimeout {
			peers = append(peers, following.Peer{Key: m.followerKey(key), Following: e.following})
		}
	}
	return peers
}

// expire drops instances that lapsed and are silent.
func (m *members) expire(now time.Time) {
	for key, e := range m.byKey {
		if e.deregistered && !e.isAlive(now) {
			m.drop(key)
			m.log.Info("instance lapsed and silent", "peer", strings.TrimPrefix(key, memberPrefix))
		}
	}
}

// isolated tells whether this instance hears less than half of the others, and so cannot
// tell a silent one from its own trouble.
func (m *members) isolated(now time.Time) bool {
	heard := 0
	for _, e := range m.byKey {
		if now.Sub(e.lastSeen) <= silenceTimeout {
			heard++
		}
	}
	return 2*heard < len(m.byKey)
}

// alive returns the instances to which callers and messages may go.
func (m *members) alive(now time.Time) []*member {
	isolated := m.isolated(now)
	var out []*member
	for _, e := range m.byKey {
		if !e.leaving && (isolated || e.isAlive(now)) {
			out = append(out, e)
		}
	}
	return out
}

// addresses returns where callers of a zone connect: instances of the zone, or all where it has few.
func addresses(alive []*member, zone string) []string {
	var local, all []string
	for _, e := range alive {
		all = append(all, e.CallerAddr)
		if e.Zone == zone {
			local = append(local, e.CallerAddr)
		}
	}
	if len(local) >= minLocalAddresses {
		all = local
	}
	slices.Sort(all)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), platform.MaxAddresses)]
}
