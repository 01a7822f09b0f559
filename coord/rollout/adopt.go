package rollout

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// consider takes a head from the store or a peer as the candidate if it is the highest so far.
func (m *Machine) consider(now time.Time, h Head, from fleet.Ref) {
	if h.Revision < m.revision() {
		m.counters.LowerRevision++
	}
	if h.Revision <= m.revision() {
		m.try(now)
		return
	}
	if !h.covers(m.revision()) && !h.complete() {
		m.askSource(now, from)
		return
	}
	if m.wanted == nil || m.better(h) {
		m.wanted = &candidate{head: h, from: from}
	}
	m.try(now)
}

// better reports whether a head should replace the candidate: a higher revision does, and
// one that needs no shards does at the same revision.
func (m *Machine) better(h Head) bool {
	if h.Revision != m.wanted.head.Revision {
		return h.Revision > m.wanted.head.Revision
	}
	return h.covers(m.revision()) && !m.wanted.head.covers(m.revision())
}

// askSource asks the sender of a head for the changes that lead up to it.
func (m *Machine) askSource(now time.Time, from fleet.Ref) {
	if from.IsZero() {
		m.counters.Malformed++
		return
	}
	if m.mayAsk(now, from) {
		m.ask(now, from)
	}
}

// try applies the candidate when it is whole, and otherwise fetches what is missing.
func (m *Machine) try(now time.Time) {
	if m.wanted != nil && m.wanted.head.Revision <= m.revision() {
		m.wanted = nil
	}
	if m.wanted != nil && !m.starting(now) {
		m.advance(now, *m.wanted)
	}
	m.fetchMissing(now)
}

// starting reports whether the first configuration should still wait for higher revisions.
func (m *Machine) starting(now time.Time) bool {
	if m.current != nil || m.stored {
		return false
	}
	if m.started.IsZero() || now.Sub(m.started) < m.cfg.StartWait {
		return !m.allAnswered()
	}
	return false
}

func (m *Machine) allAnswered() bool {
	for _, peer := range m.peers {
		if !m.answered[peer] {
			return false
		}
	}
	return len(m.peers) > 0
}

func (m *Machine) advance(now time.Time, c candidate) {
	before := m.revision()
	switch {
	case c.head.covers(before):
		m.applyChanges(c.head)
	case m.holdsAll(c.head):
		m.applySnapshot(c.head)
	default:
		return
	}
	if m.revision() == before {
		return
	}
	m.wanted = nil
	m.counters.Applied++
	m.emit(Apply{Config: m.current})
	m.push(before, c.from)
	m.askIfBehind(now)
}

// applyChanges applies the inline changes after the revision in force.
func (m *Machine) applyChanges(h Head) {
	for _, change := range h.Changes {
		if change.Revision != m.revision()+1 {
			continue
		}
		m.current = m.current.With(change, change.Revision)
		if change.Revision == h.SnapshotRevision {
			m.refold(h)
		}
	}
	m.setHead(h)
}

// refold encodes the shards that a new snapshot of the configuration in force changes.
// A shard that comes out with another digest is fetched instead.
func (m *Machine) refold(h Head) {
	missing := m.missing(h)
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
		m.wanted = nil
		return
	}
	m.current = config
	m.setHead(h)
}

// setHead records the head of the configuration in force and drops the shards of former snapshots.
func (m *Machine) setHead(h Head) {
	changes := h.Changes
	if len(changes) > 0 {
		changes = joinChanges(m.head.Changes, changes)
	}
	h.Recent = nil
	h.Changes = changes
	m.head = h
	kept := make(map[Digest]bool, len(h.Shards))
	for _, d := range h.Shards {
		kept[d] = true
	}
	for d := range m.shards {
		if !kept[d] {
			delete(m.shards, d)
		}
	}
}

// joinChanges returns the latest contiguous changes of two lists, within the bounds of a head.
func joinChanges(held, fresh []Change) []Change {
	joined := make([]Change, 0, len(held)+len(fresh))
	for _, c := range held {
		if c.Revision < fresh[0].Revision {
			joined = append(joined, c)
		}
	}
	if len(joined) > 0 && joined[len(joined)-1].Revision+1 != fresh[0].Revision {
		joined = joined[:0]
	}
	joined = append(joined, fresh...)
	trimmed, err := trim(joined)
	if err != nil || len(trimmed) < len(fresh) {
		return fresh
	}
	return trimmed
}

// push sends what is after a revision to every peer but the one that it came from.
func (m *Machine) push(after fleet.Revision, source fleet.Ref) {
	h := m.head.after(after)
	if !m.head.covers(after) {
		h.Changes = nil
	}
	for _, peer := range m.peers {
		if peer != source && m.known[peer] < m.revision() {
			m.send(peer, Message{Head: &h})
		}
	}
}
