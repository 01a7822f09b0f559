package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// A store that is restored from a copy takes accepted changes back, and gives their revisions to the changes that
// follow. Instances know the IDs of the changes that led to their configuration. By these they recognize a head of
// another history, and write the lost changes again, before those that were accepted since the restoration.

// RestoreHead requests that the store's head be brought up to the active configuration with Reconcile, by
// compare-and-swap. The program reports the head that it wrote with Machine.HeadRead.
type RestoreHead struct {
	Head   Head // Of the active configuration; Recent has the IDs that are known.
	Config *Config
	Shards map[Digest][]byte // Of the head's snapshot, as far as this instance has them. Must not be modified.
}

func (RestoreHead) isEffect() {}

// recordLineage records the IDs of the changes up to the active revision.
func (m *Machine) recordLineage(h Head) {
	for _, ref := range h.changeRefs() {
		if ref.Revision <= m.revision() {
			m.lineage[ref.Revision] = ref
		}
	}
	for r := range m.lineage {
		if r+MaxRecentIDs <= m.revision() {
			delete(m.lineage, r)
		}
	}
}

// knownRefs returns the changes of which the ID is known, oldest first.
func (m *Machine) knownRefs() []ChangeRef {
	var refs []ChangeRef
	for _, ref := range m.lineage {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b ChangeRef) int { return cmp.Compare(a.Revision, b.Revision) })
	return refs
}

// changeRefs returns the changes whose IDs are in a head.
func (h Head) changeRefs() []ChangeRef {
	refs := slices.Clone(h.Recent)
	for _, c := range h.Changes {
		refs = append(refs, ChangeRef{ID: c.ID, Revision: c.Revision, Author: c.Author})
	}
	return refs
}

// forkRevision returns the first revision that has another change in one history than in the other; ok is false if
// none is known.
func forkRevision(a, b []ChangeRef) (first fleet.Revision, ok bool) {
	ids := make(map[fleet.Revision]string, len(a))
	for _, ref := range a {
		ids[ref.Revision] = ref.ID
	}
	for _, ref := range b {
		if id, known := ids[ref.Revision]; known && id != ref.ID && (!ok || ref.Revision < first) {
			first, ok = ref.Revision, true
		}
	}
	return first, ok
}

// contains reports whether a history has all changes of another one from a revision on, under any revision.
func contains(history, other []ChangeRef, from fleet.Revision) bool {
	ids := make(map[string]bool, len(history))
	for _, ref := range history {
		ids[ref.ID] = true
	}
	for _, ref := range other {
		if ref.Revision >= from && !ids[ref.ID] {
			return false
		}
	}
	return true
}

// overlaps reports whether the inline changes of a head include the one of the active revision, whose ID shows whether
// the changes after it continue the active configuration. It is true as well if they cannot be applied to it.
func (m *Machine) overlaps(h Head) bool {
	r := m.revision()
	_, known := m.lineage[r]
	return !known || h.firstChange() <= r || !h.hasChangesSince(r)
}

// considerFork handles a head of another history than the active configuration's. One that contains all of its changes
// replaces it; another one shows that the store was restored.
func (m *Machine) considerFork(now time.Time, h Head, from fleet.Ref, fork fleet.Revision) {
	m.counters.Forks++
	switch {
	case !from.IsZero():
		if now.Sub(m.headRequestedAt) >= m.cfg.RequestTimeout {
			m.headRequestedAt = now
			m.emit(ReadHead{}) // Peers do not send all IDs.
		}
	case h.Revision > m.revision() && contains(h.changeRefs(), m.knownRefs(), fork) && h.hasChangesSinceSnapshot():
		m.candidate = &candidate{head: h, complete: true}
		m.tryCandidate(now)
	default:
		m.restoreHead(now)
	}
}

// restoreHead requests that the store's head be brought up to the active configuration.
func (m *Machine) restoreHead(now time.Time) {
	if now.Sub(m.restoredAt) < m.cfg.RequestTimeout {
		return
	}
	m.restoredAt = now
	h := m.head
	h.Recent = m.knownRefs()
	m.emit(RestoreHead{Head: h, Config: m.current, Shards: m.shards})
}

// Restored is what Reconcile returns.
type Restored struct {
	Head    Head
	Config  *Config
	Shards  []Shard // To be written before the head.
	Skipped []error // Changes that are not valid after the lost ones, and so are not in force.
}

// Reconcile returns the head that the store should hold if it holds stored, while own is that of a configuration that
// was in force: own with the changes that were accepted after the restoration. ok is false if stored lacks nothing. The
// error wraps ErrMalformed if changes that were accepted since are not inline.
func Reconcile(stored, own Head, config *Config, held map[Digest][]byte) (_ Restored, ok bool, _ error) {
	storedRefs, ownRefs := stored.changeRefs(), own.changeRefs()
	common := min(stored.Revision, own.Revision)
	fork, forked := forkRevision(ownRefs, storedRefs)
	switch {
	case forked && contains(storedRefs, ownRefs, fork):
		return Restored{}, false, nil
	case forked:
		common = fork - 1
	case stored.Revision >= own.Revision:
		return Restored{}, false, nil
	}
	out := Restored{Head: own, Config: config}
	out.Head.Recent = own.Recent[max(0, len(own.Recent)-MaxRecentIDs):]
	since := stored.withChangesAfter(common)
	if stored.Revision > common && !since.hasChangesSince(common) {
		return Restored{}, false, fmt.Errorf("%w: changes of the store after revision %d are not inline", ErrMalformed, common)
	}
	for _, change := range since.Changes {
		next, _, err := Propose(out.Head, out.Config, change)
		switch {
		case errors.Is(err, ErrAlreadyAccepted):
			continue
		case err != nil:
			out.Skipped = append(out.Skipped, fmt.Errorf("change %q of revision %d: %w", change.ID, change.Revision, err))
			continue
		}
		out.Config = out.Config.With(change, next.Revision)
		out.Head = next
	}
	var err error
	if out.Shards = missingFrom(stored, out.Head, held); forked || out.Shards == nil && len(out.Head.Shards) > 0 {
		out.Head, out.Shards, err = out.Head.withSnapshot(Head{}, out.Config, Change{})
	}
	return out, true, err
}

// missingFrom returns the shards of a head that the stored one does not refer to; nil if one of them is not held.
func missingFrom(stored, h Head, held map[Digest][]byte) []Shard {
	missing := []Shard{}
	for _, d := range h.Shards {
		data, ok := held[d]
		switch {
		case slices.Contains(stored.Shards, d):
		case !ok:
			return nil
		default:
			missing = append(missing, Shard{Digest: d, Data: data})
		}
	}
	return missing
}
