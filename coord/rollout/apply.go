package rollout

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// considerHead makes a head from the store or a peer the candidate if it is the highest so far.
func (m *Machine) considerHead(now time.Time, h Head, from fleet.Ref) {
	if h.Revision < m.revision() {
		m.counters.LowerRevision++
	}
	if fork, ok := forkRevision(m.knownRefs(), h.changeRefs()); ok && m.current != nil {
		m.considerFork(now, h, from, fork)
		return
	}
	if h.Revision < m.revision() && from.IsZero() {
		m.restoreHead(now)
	}
	complete := false
	if !from.IsZero() && h.Revision > m.revision() && !m.overlaps(h) {
		if h.SnapshotRevision < m.revision() {
			m.requestFromSender(now, from)
			return
		}
		complete = true
	}
	if h.Revision <= m.revision() {
		m.tryCandidate(now)
		return
	}
	if !h.hasChangesSince(m.revision()) && !h.hasChangesSinceSnapshot() {
		m.requestFromSender(now, from)
		return
	}
	if m.candidate == nil || m.shouldReplaceCandidate(h) {
		m.candidate = &candidate{head: h, from: from, complete: complete}
	}
	m.tryCandidate(now)
}

// shouldReplaceCandidate reports whether a head should replace the candidate: it has a higher
// revision, or the same one and can be applied without fetching shards.
func (m *Machine) shouldReplaceCandidate(h Head) bool {
	if h.Revision != m.candidate.head.Revision {
		return h.Revision > m.candidate.head.Revision
	}
	return h.hasChangesSince(m.revision()) && !m.candidate.head.hasChangesSince(m.revision())
}

// requestFromSender requests the changes that lead up to a head from its sender.
func (m *Machine) requestFromSender(now time.Time, from fleet.Ref) {
	if from.IsZero() {
		m.counters.Malformed++
		return
	}
	if m.mayRequest(now, from) {
		m.requestHead(now, from)
	}
}

// tryCandidate applies the candidate when nothing of it is missing, and otherwise fetches the missing shards.
func (m *Machine) tryCandidate(now time.Time) {
	if m.candidate != nil && m.candidate.head.Revision <= m.revision() {
		m.candidate = nil
	}
	if m.candidate != nil && !m.waitingForPeers(now) {
		m.applyCandidate(now, *m.candidate)
	}
	m.fetchMissing(now)
}

// waitingForPeers reports whether the first configuration should not be applied yet, because a peer may reply with a higher revision.
func (m *Machine) waitingForPeers(now time.Time) bool {
	if m.current != nil || m.headRead {
		return false
	}
	if m.startedAt.IsZero() || now.Sub(m.startedAt) < m.cfg.StartWait {
		return !m.allPeersReplied()
	}
	return false
}

func (m *Machine) allPeersReplied() bool {
	for _, peer := range m.peers {
		if !m.replied[peer] {
			return false
		}
	}
	return len(m.peers) > 0
}

func (m *Machine) applyCandidate(now time.Time, c candidate) {
	before := m.revision()
	switch {
	case !c.complete && c.head.hasChangesSince(before):
		m.applyChanges(c.head)
	case m.hasAllShards(c.head):
		m.applySnapshot(c.head)
	default:
		return
	}
	if m.revision() == before {
		return
	}
	if c.complete {
		clear(m.lineage)
		m.head.Changes = c.head.Changes
	}
	m.recordLineage(c.head)
	m.candidate = nil
	m.counters.Applied++
	m.emit(Apply{Config: m.current})
	m.pushToPeers(before, c.from)
	m.requestIfBehind(now)
}

// applyChanges applies the inline changes after the active revision.
func (m *Machine) applyChanges(h Head) {
	for _, change := range h.Changes {
		if change.Revision != m.revision()+1 {
			continue
		}
		m.current = m.current.With(change, change.Revision)
		if change.Revision == h.SnapshotRevision {
			m.reencodeShards(h)
		}
	}
	m.setHead(h)
}

// reencodeShards encodes the shards that differ in a new snapshot of the active configuration,
// so that they need not be fetched. A shard whose digest differs from the head's is fetched after all.
func (m *Machine) reencodeShards(h Head) {
	missing := m.missingShards(h)
	if len(missing) == 0 {
		return
	}
	wanted := func(bucket int) bool { return missing[h.Shards[bucket]] }
	shards, err := encodeShards(m.current, len(h.Shards), wanted)
	if err != nil {
		return
	}
	for _, s := range shards {
		if missing[s.Digest] {
			m.shards[s.Digest] = s.Data
		}
	}
}

func (m *Machine) applySnapshot(h Head) {
	config, err := Assemble(h, func(d Digest) []byte { return m.shards[d] })
	if err != nil {
		m.counters.Malformed++
		m.candidate = nil
		return
	}
	m.current = config
	m.setHead(h)
}

// setHead records the head of the active configuration and drops the shards of earlier snapshots.
func (m *Machine) setHead(h Head) {
	changes := h.Changes
	if len(changes) > 0 {
		changes = mergeChanges(m.head.Changes, changes)
	}
	h.Recent = nil
	h.Changes = changes
	m.head = h
	kept := make(map[Digest]bool, len(h.Shards))
	for _, d := range h.Shards {
		kept[d] = true
	}
	shards := make(map[Digest][]byte, len(kept))
	for d, data := range m.shards {
		if kept[d] {
			shards[d] = data
		}
	}
	m.shards = shards
}

// mergeChanges returns the latest contiguous changes of two lists, within the bounds of a head.
func mergeChanges(older, newer []Change) []Change {
	merged := make([]Change, 0, len(older)+len(newer))
	for _, c := range older {
		if c.Revision < newer[0].Revision {
			merged = append(merged, c)
		}
	}
	if len(merged) > 0 && merged[len(merged)-1].Revision+1 != newer[0].Revision {
		merged = merged[:0]
	}
	merged = append(merged, newer...)
	trimmed, err := trimChanges(merged)
	if err != nil || len(trimmed) < len(newer) {
		return newer
	}
	return trimmed
}

// pushToPeers sends the changes after a revision to every peer that is behind, except the one that they came from.
func (m *Machine) pushToPeers(after fleet.Revision, source fleet.Ref) {
	h := m.head.withOverlap(after)
	if !m.head.hasChangesSince(after) {
		h.Changes = nil
	}
	for _, peer := range m.peers {
		if peer != source && m.peerRevisions[peer] < m.revision() {
			m.send(peer, Message{Head: &h})
		}
	}
}
