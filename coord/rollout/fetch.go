package rollout

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// maxFetches bounds the shards that are asked for at once.
const maxFetches = 4

// fetch is a shard that was asked for.
type fetch struct {
	at       time.Time
	attempts int
	from     fleet.Ref // Zero when the store was asked.
}

// missing returns the shards of a head that are not held.
func (m *Machine) missing(h Head) map[Digest]bool {
	missing := make(map[Digest]bool)
	for _, d := range h.Shards {
		if _, held := m.shards[d]; !held {
			missing[d] = true
		}
	}
	return missing
}

func (m *Machine) holdsAll(h Head) bool {
	return len(m.missing(h)) == 0
}

// fetchMissing asks for the shards of the candidate, or of the snapshot in force when a
// part of it is not held.
func (m *Machine) fetchMissing(now time.Time) {
	target := m.head
	if m.wanted != nil {
		target = m.wanted.head
	}
	missing := m.missing(target)
	for d := range m.fetches {
		if !missing[d] {
			delete(m.fetches, d)
		}
	}
	for _, d := range target.Shards {
		if missing[d] {
			m.fetch(now, d, target.Revision)
		}
	}
}

// fetch asks for a shard, unless it or too many others are under way.
func (m *Machine) fetch(now time.Time, d Digest, r fleet.Revision) {
	f, asked := m.fetches[d]
	switch {
	case asked && now.Sub(f.at) < m.cfg.ShardTimeout:
		return
	case !asked && len(m.fetches) >= maxFetches:
		return
	case !asked:
		f = &fetch{}
		m.fetches[d] = f
	}
	f.at = now
	f.from = m.sourceOf(d, f.attempts, r)
	f.attempts++
	if f.from.IsZero() {
		m.emit(ReadShard{Digest: d})
		return
	}
	m.send(f.from, Message{Want: d})
}

// sourceOf chooses where to ask for a shard: peers that have the revision first, each
// attempt another one, and the store after every two.
func (m *Machine) sourceOf(d Digest, attempt int, r fleet.Revision) fleet.Ref {
	var sources []fleet.Ref
	for _, peer := range m.peers {
		if m.known[peer] >= r {
			sources = append(sources, peer)
		}
	}
	if len(sources) == 0 || attempt%3 == 2 {
		return fleet.Ref{}
	}
	return sources[(int(d[0])+attempt)%len(sources)]
}

func (m *Machine) answerWant(to fleet.Ref, d Digest) {
	m.send(to, Message{Shard: &Shard{Digest: d, Data: m.shards[d]}})
}

func (m *Machine) deliverShard(now time.Time, from fleet.Ref, s Shard) {
	f, asked := m.fetches[s.Digest]
	if !asked {
		m.counters.Unsolicited++
		return
	}
	if len(s.Data) == 0 {
		m.retryFetch(now, f, from)
		return
	}
	m.takeShard(now, s, f, from)
}

// ShardRead takes the outcome of reading a shard from the store.
func (m *Machine) ShardRead(now time.Time, d Digest, data []byte, err error) []Effect {
	f, asked := m.fetches[d]
	if !asked || err != nil {
		return m.flush()
	}
	m.takeShard(now, Shard{Digest: d, Data: data}, f, fleet.Ref{})
	return m.flush()
}

func (m *Machine) takeShard(now time.Time, s Shard, f *fetch, from fleet.Ref) {
	if len(s.Data) > MaxValueBytes {
		m.counters.TooLarge++
		m.retryFetch(now, f, from)
		return
	}
	if DigestOf(s.Data) != s.Digest {
		m.counters.WrongDigest++
		m.retryFetch(now, f, from)
		return
	}
	m.counters.ShardsFetched++
	m.shards[s.Digest] = s.Data
	delete(m.fetches, s.Digest)
	m.try(now)
}

// retryFetch lets a shard be asked for elsewhere at once, if it was this source that was
// asked last and the store was not: the store is asked again only after ShardTimeout.
func (m *Machine) retryFetch(now time.Time, f *fetch, from fleet.Ref) {
	if f.from != from || from.IsZero() {
		return
	}
	f.at = time.Time{}
	m.fetchMissing(now)
}
