package config

import (
	"context"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/members"
)

// applySnapshot updates the machine's peers from the latest membership snapshot, and starts or
// stops the watch according to whether this instance is a watcher.
func (m *Manager) applySnapshot(now time.Time) {
	s := m.options.Members.Snapshot()
	m.snapshot = s
	m.machine.SetSelf(s.Self.Ref)
	watcher := m.isWatcher(s)
	m.machine.SetPeers(m.peers(s), watcher)
	switch {
	case watcher && m.cancelWatch == nil:
		ctx, cancel := context.WithCancel(m.ctx)
		m.cancelWatch = cancel
		go m.watchHead(ctx)
	case !watcher && m.cancelWatch != nil:
		m.cancelWatch()
		m.cancelWatch = nil
	}
}

func (m *Manager) isWatcher(s *members.Snapshot) bool {
	if !s.Joined {
		return false
	}
	for _, i := range s.Map.Watchers(s.Self.Zone, m.options.WatchersPerZone) {
		if i.Ref == s.Self.Ref {
			return true
		}
	}
	return false
}

// peers returns the neighbours, or joinPeers random instances spread over the zones if this
// instance is not on the roster.
func (m *Manager) peers(s *members.Snapshot) []fleet.Ref {
	if s.Joined {
		return refsOf(m.options.Members.Neighbours())
	}
	candidates := append([]fleet.Instance(nil), s.Map.Instances()...)
	candidates = append(candidates, m.joinCandidates...)
	m.options.Random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return refsOf(selectAcrossZones(candidates, s.Self, joinPeers))
}

// selectAcrossZones returns up to count instances other than self, spread evenly over the zones.
func selectAcrossZones(candidates []fleet.Instance, self fleet.Instance, count int) []fleet.Instance {
	var chosen []fleet.Instance
	perZone := make(map[fleet.Zone]int)
	taken := map[fleet.InstanceID]bool{self.Ref.ID: true}
	for turn := 0; turn < count && len(chosen) < count; turn++ {
		for _, c := range candidates {
			if !taken[c.Ref.ID] && perZone[c.Zone] <= turn && len(chosen) < count {
				taken[c.Ref.ID] = true
				perZone[c.Zone]++
				chosen = append(chosen, c)
			}
		}
	}
	return chosen
}

func refsOf(instances []fleet.Instance) []fleet.Ref {
	refs := make([]fleet.Ref, len(instances))
	for i, instance := range instances {
		refs[i] = instance.Ref
	}
	return refs
}
