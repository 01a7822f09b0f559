// Package config keeps one instance's configuration up to date: it runs the state machine of
// coord/rollout on the control goroutine, watches and reads the platform's store on separate
// goroutines, and publishes the active configuration.
package config

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/control"
	"github.com/damaskcove/damaskcove/internal/members"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/refusals"
	"github.com/damaskcove/damaskcove/internal/storecall"
	"github.com/damaskcove/damaskcove/internal/storekeys"
	"github.com/damaskcove/damaskcove/internal/wire"
)

const (
	// DefaultWatchersPerZone is the number of instances of each zone that watch the store.
	DefaultWatchersPerZone = 2
	// joinPeers is the number of instances that an instance that is not on the roster chooses as its peers.
	joinPeers = 6
	// refreshInterval is the time between two requests by an instance that is not on the roster.
	refreshInterval = 2 * time.Second
	// pollPerInstance is multiplied by the number of instances to get an instance's poll interval,
	// so that the whole fleet reads the head once per pollPerInstance, whatever its size.
	pollPerInstance = time.Second
	// minPollInterval is the minimum of an instance's poll interval, before jitter.
	minPollInterval = 15 * time.Second
)

// Options configure a Manager.
type Options struct {
	Config          rollout.MachineConfig
	Keys            storekeys.Keys
	WatchersPerZone int // Zero for DefaultWatchersPerZone.
	Random          *rand.Rand
	Loop            *control.Loop
	Sender          control.Sender
	Store           metastore.Store
	Budget          *storecall.Budget // Unlimited when nil.
	Members         *members.Manager
	Log             *slog.Logger
	// OnApply is called on the control goroutine after each new configuration becomes active.
	OnApply func(now time.Time, c *rollout.Config)
}

// Manager is the control.Component that keeps one instance's configuration up to date.
type Manager struct {
	options          Options
	ctx              context.Context
	machine          *rollout.Machine
	store            *storecall.Store
	current          atomic.Pointer[rollout.Config]
	snapshot         *members.Snapshot
	joinCandidates   []fleet.Instance
	cancelWatch      context.CancelFunc // Nil unless this instance watches the store.
	pollAt           time.Time
	refreshedAt      time.Time
	reportedCounters rollout.Counters
	rejections       refusals.Publisher
}

// New returns a Manager without a configuration. Its calls to the store end with ctx.
func New(ctx context.Context, o Options) *Manager {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.WatchersPerZone <= 0 {
		o.WatchersPerZone = DefaultWatchersPerZone
	}
	o.Config.Fleet = o.Keys.Fleet
	return &Manager{
		options: o,
		ctx:     ctx,
		machine: rollout.NewMachine(o.Config, o.Members.Snapshot().Self.Ref),
		store:   storecall.New(o.Store, "configuration", o.Budget),
	}
}

// Current returns the active configuration, or nil before the first. Any goroutine may call it.
func (m *Manager) Current() *rollout.Config {
	return m.current.Load()
}

// Watching reports whether this instance watches the store. It must run on the control goroutine.
func (m *Manager) Watching() bool {
	return m.cancelWatch != nil
}

// Counters returns the machine's counts. It must run on the control goroutine.
func (m *Manager) Counters() rollout.Counters {
	return m.machine.Counters()
}

// Start begins to request a configuration from the instances of candidates, the platform's
// list, until this instance is on the roster. It must run on the control goroutine.
func (m *Manager) Start(now time.Time, candidates []fleet.Instance) {
	m.joinCandidates = candidates
	m.applySnapshot(now)
	m.run(now, m.machine.Tick(now))
}

// Kinds implements control.Component.
func (m *Manager) Kinds() []wire.Kind {
	return []wire.Kind{wire.KindRollout}
}

// Deliver implements control.Component. Its errors wrap wire.ErrMalformed.
func (m *Manager) Deliver(now time.Time, from fleet.Ref, e wire.Envelope) error {
	var msg rollout.Message
	if err := wire.DecodeBody(e, &msg); err != nil {
		return err
	}
	m.run(now, m.machine.Deliver(now, from, msg))
	return nil
}

// Tick implements control.Component.
func (m *Manager) Tick(now time.Time) {
	if m.options.Members.Snapshot() != m.snapshot {
		m.applySnapshot(now)
	}
	if ahead, revision, ok := m.options.Members.NeighbourAhead(); ok {
		m.run(now, m.machine.PeerRevision(now, ahead.Ref, revision))
	}
	m.refresh(now)
	m.poll(now)
	m.run(now, m.machine.Tick(now))
	m.report()
}

// run executes the machine's effects.
func (m *Manager) run(now time.Time, effects []rollout.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case rollout.Send:
			m.options.Sender.Send(e.To, wire.KindRollout, e.Message)
		case rollout.ReadHead:
			go m.readHead()
		case rollout.ReadShard:
			go m.readShard(e.Digest)
		case rollout.RestoreHead:
			go m.restoreHead(e)
		case rollout.Apply:
			m.apply(now, e.Config)
		}
	}
}

func (m *Manager) apply(now time.Time, c *rollout.Config) {
	m.current.Store(c)
	m.options.Members.SetRevision(c.Revision)
	m.options.Log.Info("configuration is now active", "revision", uint64(c.Revision), "services", len(c.Services), "accounts", len(c.Accounts))
	if m.options.OnApply != nil {
		m.options.OnApply(now, c)
	}
}

// refresh requests the configuration from a peer while this instance is not on the roster,
// because instances off the roster receive no heartbeats that carry the revision.
func (m *Manager) refresh(now time.Time) {
	if m.snapshot.Joined || now.Sub(m.refreshedAt) < refreshInterval {
		return
	}
	m.refreshedAt = now
	m.run(now, m.machine.Refresh(now))
}

// poll reads the head at long, jittered intervals, in case no watcher can reach the store.
func (m *Manager) poll(now time.Time) {
	if now.Before(m.pollAt) {
		return
	}
	interval := max(time.Duration(len(m.snapshot.Members))*pollPerInstance, minPollInterval)
	first := m.pollAt.IsZero()
	m.pollAt = now.Add(interval/2 + time.Duration(m.options.Random.Int64N(int64(interval))))
	if !first {
		go m.readHead()
	}
}

// report counts and logs what the machine has rejected since the last call.
func (m *Manager) report() {
	c := m.machine.Counters()
	if c == m.reportedCounters {
		return
	}
	m.reportedCounters = c
	changed := m.rejections.Publish(map[result.Code]uint64{
		result.CodePeerOtherFleet: c.OtherFleet,
		result.CodePeerMalformed:  c.Malformed + c.Unsolicited,
		result.CodeConfigDigest:   c.WrongDigest,
		result.CodeConfigTooLarge: c.TooLarge,
		result.CodeConfigFault:    c.StaleStoreReads + c.Forks,
	})
	if changed {
		m.options.Log.Warn("configuration update rejected; the last valid configuration stays active",
			"other_fleet", c.OtherFleet, "malformed", c.Malformed, "wrong_digest", c.WrongDigest,
			"too_large", c.TooLarge, "store_behind", c.StaleStoreReads, "other_history", c.Forks)
	}
}
