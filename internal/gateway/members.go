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

// memberPrefix is the prefix of the instances' registrations in the platform's store.
const memberPrefix = "instances/"

// memberRecord is an instance's registration. It is immutable: snapshots share it.
type memberRecord struct {
	Peer       dispatch.PeerID `cbor:"1,keyasint"` // Incarnation: random, new at each start.
	Zone       string          `cbor:"2,keyasint"`
	CallerAddr string          `cbor:"3,keyasint"`           // Callers connect to it.
	PeerAddr   netip.AddrPort  `cbor:"4,keyasint"`           // Other instances send datagrams to it.
	LinkMbps   float64         `cbor:"5,keyasint,omitempty"` // Bandwidth in Mbit/s; 0 if unknown.
}

// member is another instance and what is known about it.
type member struct {
	*memberRecord
	key          string
	joined       time.Time
	lastSeen     time.Time // Time of its last message, or of a coordinator's report that it is alive; zero before the first.
	leaving      bool
	following    bool // It follows the store itself.
	deregistered bool // Its key was removed although it still sends messages.
}

// members holds the other instances. It is owned by the control loop.
type members struct {
	self         string // Key of this instance.
	zone         string
	log          *slog.Logger
	quiet        bool                        // Registrations are not logged one by one.
	byKey        map[string]*member          // By store key.
	byPeer       map[dispatch.PeerID]*member // By incarnation.
	coordinators map[string]bool             // The zone's coordinators, by store key.
}

const (
	// silenceTimeout is several heartbeat intervals.
	silenceTimeout = 2 * time.Second
	// minLocalAddresses is the number of instances from which callers get those of their zone only.
	minLocalAddresses = 3
)

func newMembers(id, zone string, log *slog.Logger) *members {
	return &members{self: memberPrefix + id, zone: zone, log: log, byKey: make(map[string]*member), byPeer: make(map[dispatch.PeerID]*member)}
}

// put adds or updates an instance by its registration.
func (m *members) put(now time.Time, key string, value []byte) {
	if key == m.self {
		return
	}
	var r memberRecord
	if err := cbor.Unmarshal(value, &r); err != nil {
		m.log.Warn("ignoring an instance registration that cannot be decoded", "key", key, "error", fmt.Sprintf("decode %d bytes: %s", len(value), err))
		return
	}
	if old := m.byKey[key]; old != nil && old.Peer == r.Peer {
		old.memberRecord, old.deregistered = &r, false
		return
	}
	m.drop(key)
	m.byKey[key] = &member{memberRecord: &r, key: key, joined: now}
	m.byPeer[r.Peer] = m.byKey[key]
	if m.quiet {
		return
	}
	m.log.Info("instance joined", "peer", strings.TrimPrefix(key, memberPrefix), "zone", r.Zone, "callers", r.CallerAddr)
}

// putRestored adds or updates an instance by a registration from a copy of the store. The copy may hold an earlier
// start of an instance, or one that has left: it changes nothing for an instance that sends messages, and a further
// one counts as silent until it does.
func (m *members) putRestored(now time.Time, key string, value []byte) {
	if old := m.byKey[key]; old != nil && old.isAlive(now) {
		return
	}
	m.put(now, key, value)
	if e := m.byKey[key]; e != nil && e.joined.Equal(now) {
		e.joined = now.Add(-silenceTimeout - time.Millisecond)
	}
}

// knows reports whether a registration is the one that is known.
func (m *members) knows(key string, value []byte) bool {
	var r memberRecord
	e := m.byKey[key]
	return cbor.Unmarshal(value, &r) == nil && (key == m.self || e != nil && *e.memberRecord == r)
}

// remove handles the removal of an instance's registration. The instance is kept while it sends
// messages and is not leaving: registrations also expire in an outage of the store, or when the
// store rejects the instance's calls, and such an instance still needs the changes that its zone
// forwards to it.
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

// recordMessage records a message's sender as alive. changed reports whether the sender has begun
// or ceased to follow the store.
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

// setCoordinators sets the zone's coordinators.
func (m *members) setCoordinators(coordinators []broker.Instance) {
	m.coordinators = make(map[string]bool, len(coordinators))
	for _, i := range coordinators {
		m.coordinators[i.Key] = true
	}
}

// followerKey returns the key that orders an instance among the candidates to follow the store:
// coordinators come first.
func (m *members) followerKey(key string) string {
	if len(m.coordinators) > 0 && !m.coordinators[key] {
		return "~" + key
	}
	return key
}

// setFollowers records which instances of this zone follow the store, by a coordinator's report.
// It skips the coordinators, which send their own reports.
func (m *members) setFollowers(coordinator *member, followers []dispatch.PeerID) {
	for _, e := range m.byKey {
		if e != coordinator && e.Zone == m.zone && !m.coordinators[e.key] {
			e.following = slices.Contains(followers, e.Peer)
		}
	}
}

// isAlive reports whether an instance was seen within silenceTimeout, by a message of its own or in a
// coordinator's report, or has joined too recently for that.
func (e *member) isAlive(now time.Time) bool {
	return now.Sub(e.joined) <= silenceTimeout || now.Sub(e.lastSeen) <= silenceTimeout
}

// isSilent reports whether a coordinator has to report the instance as silent: it is leaving, or was
// not seen within followerTimeout and joined longer than silenceTimeout ago.
func (e *member) isSilent(now time.Time) bool {
	fresh := now.Sub(e.joined) <= silenceTimeout
	return e.leaving || !fresh && now.Sub(e.lastSeen) > followerTimeout
}

// markSilent makes an instance count as silent at once.
func (e *member) markSilent(now time.Time) {
	if silentSince := now.Add(-silenceTimeout - time.Millisecond); e.lastSeen.After(silentSince) {
		e.lastSeen = silentSince
	}
}

// drop deletes an instance, also one that still sends messages.
func (m *members) drop(key string) {
	if e := m.byKey[key]; e != nil {
		delete(m.byPeer, e.Peer)
		delete(m.byKey, key)
	}
}

// zonePeers returns the other instances of this zone that were seen within followerTimeout and are not
// leaving.
func (m *members) zonePeers(now time.Time) []following.Peer {
	var peers []following.Peer
	for key, e := range m.byKey {
		if e.Zone == m.zone && !e.leaving && now.Sub(e.lastSeen) <= followerTimeout {
			peers = append(peers, following.Peer{Key: m.followerKey(key), Following: e.following})
		}
	}
	return peers
}

// expire removes instances that are deregistered and silent.
func (m *members) expire(now time.Time) {
	for key, e := range m.byKey {
		if e.deregistered && !e.isAlive(now) {
			m.drop(key)
			m.log.Info("instance removed: deregistered and silent", "peer", strings.TrimPrefix(key, memberPrefix))
		}
	}
}

// isolated reports whether fewer than half of the other instances were seen within silenceTimeout.
// Then the problem may be this instance's own, and silence is no evidence against another.
func (m *members) isolated(now time.Time) bool {
	seen := 0
	for _, e := range m.byKey {
		if now.Sub(e.lastSeen) <= silenceTimeout {
			seen++
		}
	}
	return 2*seen < len(m.byKey)
}

// alive returns the instances to which callers and messages may be sent.
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

// records returns the registrations of instances.
func records(list []*member) []*memberRecord {
	out := make([]*memberRecord, 0, len(list))
	for _, e := range list {
		out = append(out, e.memberRecord)
	}
	return out
}

// addresses returns the addresses for callers of a zone, in random order: of the zone's instances,
// or of all if the zone has fewer than minLocalAddresses.
func addresses(alive []*memberRecord, zone string) []string {
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
