package rollout

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// maxFetches bounds the concurrent shard requests.
const maxFetches = 4

// fetch is the state of requesting one shard.
type fetch struct {
	requestedAt time.Time
	attempts    int
	from        fleet.Ref // Source of the latest attempt; zero for the store.
}

// missingShards returns the digests of a head whose shards this instance does not have.
func (m *Machine) missingShards(h Head) map[Digest]bool {
	missing := make(map[Digest]bool)
	for _, d := range h.Shards {
		if _, held := m.shards[d]; !held {
			missing[d] = true
		}
	}
	return missing
}

func (m *Machine) hasAllShards(h Head) bool {
	return len(m.missingShards(h)) == 0
}

// fetchMissing requests the missing shards of the candidate or, when there is none, of the
// active snapshot.
func (m *Machine) fetchMissing(now time.Time) {
	target := m.head
	if m.candidate != nil {
		target = m.candidate.head
	}
	missing := m.missingShards(target)
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

// fetch requests a shard, unless a request for it is pending or too many others are.
func (m *Machine) fetch(now time.Time, d Digest, r fleet.Revision) {
	f, requested := m.fetches[d]
	switch {
	case requested && now.Sub(f.requestedAt) < m.cfg.ShardTimeout:
		return
	case !requested && len(m.fetches) >= maxFetches:
		return
	case !requested:
		f = &fetch{}
		m.fetches[d] = f
	}
	f.requestedAt = now
	f.from = m.chooseSource(d, f.attempts, r)
	f.attempts++
	if f.from.IsZero() {
		m.emit(ReadShard{Digest: d})
		return
	}
	m.send(f.from, Message{ShardRequest: d})
}

// chooseSource chooses where to request a shard: a different peer that has the revision on
// each attempt, and the store on every third or when there is no such peer.
func (m *Machine) chooseSource(d Digest, attempt int, r fleet.Revision) fleet.Ref {
	var sources []fleet.Ref
	for _, peer := range m.peers {
		if m.peerRevisions[peer] >= r {
			sources = append(sources, peer)
		}
	}
	if len(sources) == 0 || attempt%3 == 2 {
		return fleet.Ref{}
	}
	return sources[(int(d[0])+attempt)%len(sources)]
}

func (m *Machine) answerShardRequest(to fleet.Ref, d Digest) {
	m.send(to, Message{Shard: &Shard{Digest: d, Data: m.shards[d]}})
}

func (m *Machine) handleShard(now time.Time, from fleet.Ref, s Shard) {
	f, requested := m.fetches[s.Digest]
	if !requested {
		m.counters.Unsolicited++
		return
	}
	if len(s.Data) == 0 {
		m.retryFetch(now, f, from)
		return
	}
	m.acceptShard(now, s, f, from)
}

// ShardRead handles the outcome of ReadShard.
func (m *Machine) ShardRead(now time.Time, d Digest, data []byte, err error) []Effect {
	f, requested := m.fetches[d]
	if !requested || err != nil {
		return m.flush()
	}
	m.acceptShard(now, Shard{Digest: d, Data: data}, f, fleet.Ref{})
	return m.flush()
}

func (m *Machine) acceptShard(now time.Time, s Shard, f *fetch, from fleet.Ref) {
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
	m.tryCandidate(now)
}

// retryFetch requests a shard from another source at once, if the failed source is the peer
// that it was last requested from. A failed read of the store is retried only after ShardTimeout.
func (m *Machine) retryFetch(now time.Time, f *fetch, from fleet.Ref) {
	if f.from != from || from.IsZero() {
		return
	}
	f.requestedAt = time.Time{}
	m.fetchMissing(now)
}
