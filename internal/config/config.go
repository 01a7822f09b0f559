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
	// joinPeers is the number of instances that an instance without neighbours requests the configuration from.
	joinPeers = 6
	// refreshInterval is the time between two requests by an instance that is not on the roster.
	refreshInterval = 2 * time.Second
	// pollPerInstance is multiplied by the number of instances to get an instance's poll interval,
	// so that the whole fleet reads the head once per pollPerInstance, whatever its size.
	pollPerInstance = time.Second
	// minPollInterval is the minimum of an instance's poll interval, before jitter.
	minPollInterval = 15 * time.Second
)

// Options are the settings of a Duty.
type Options struct {
	Config          rollout.MachineConfig
	Keys            storekeys.Keys
	WatchersPerZone int // Zero for DefaultWatchersPerZone.
	Random          *rand.Rand
	Loop            *control.Loop
	Sender          control.Sender
	Store           metastore.Store
	Budget          *storecall.Budget // Nil for no bound.
	Members         *members.Manager
	Log             *slog.Logger
	// OnApply is called on the control goroutine after each new configuration becomes active.
	OnApply func(now time.Time, c *rollout.Config)
}

// Duty is the control duty that keeps one instance's configuration up to date.
type Duty struct {
	o                Options
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

// New returns a Duty without a configuration. Its calls to the store end with ctx.
func New(ctx context.Context, o Options) *Duty {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.WatchersPerZone <= 0 {
		o.WatchersPerZone = DefaultWatchersPerZone
	}
	o.Config.Fleet = o.Keys.Fleet
	return &Duty{
		o:       o,
		ctx:     ctx,
		machine: rollout.NewMachine(o.Config, o.Members.Snapshot().Self.Ref),
		store:   storecall.New(o.Store, "configuration", o.Budget),
	}
}

// Current returns the active configuration, or nil before the first. Any goroutine may call it.
func (d *Duty) Current() *rollout.Config {
	return d.current.Load()
}

// Watching reports whether this instance watches the store. It must run on the control goroutine.
func (d *Duty) Watching() bool {
	return d.cancelWatch != nil
}

// Counters returns the machine's counts. It must run on the control goroutine.
func (d *Duty) Counters() rollout.Counters {
	return d.machine.Counters()
}

// Start starts the duty. It requests a configuration from the instances of candidates, the
// platform's list, until this instance is on the roster. It must run on the control goroutine.
func (d *Duty) Start(now time.Time, candidates []fleet.Instance) {
	d.joinCandidates = candidates
	d.applySnapshot(now)
	d.run(now, d.machine.Tick(now))
}

// Kinds implements control.Component.
func (d *Duty) Kinds() []wire.Kind {
	return []wire.Kind{wire.KindRollout}
}

// Deliver implements control.Component. It returns wire.ErrMalformed.
func (d *Duty) Deliver(now time.Time, from fleet.Ref, e wire.Envelope) error {
	var msg rollout.Message
	if err := wire.DecodeBody(e, &msg); err != nil {
		return err
	}
	d.run(now, d.machine.Deliver(now, from, msg))
	return nil
}

// Tick implements control.Component.
func (d *Duty) Tick(now time.Time) {
	if d.o.Members.Snapshot() != d.snapshot {
		d.applySnapshot(now)
	}
	if ahead, revision, ok := d.o.Members.NeighbourAhead(); ok {
		d.run(now, d.machine.PeerRevision(now, ahead.Ref, revision))
	}
	d.refresh(now)
	d.poll(now)
	d.run(now, d.machine.Tick(now))
	d.report()
}

// run executes the machine's effects.
func (d *Duty) run(now time.Time, effects []rollout.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case rollout.Send:
			d.o.Sender.Send(e.To, wire.KindRollout, e.Message)
		case rollout.ReadHead:
			go d.readHead()
		case rollout.ReadShard:
			go d.readShard(e.Digest)
		case rollout.Apply:
			d.apply(now, e.Config)
		}
	}
}

func (d *Duty) apply(now time.Time, c *rollout.Config) {
	d.current.Store(c)
	d.o.Members.SetRevision(c.Revision)
	d.o.Log.Info("configuration is now active", "revision", uint64(c.Revision), "services", len(c.Services), "accounts", len(c.Accounts))
	if d.o.OnApply != nil {
		d.o.OnApply(now, c)
	}
}

// refresh requests the configuration from a peer while this instance is not on the roster,
// because instances off the roster receive no heartbeats that carry the revision.
func (d *Duty) refresh(now time.Time) {
	if d.snapshot.Joined || now.Sub(d.refreshedAt) < refreshInterval {
		return
	}
	d.refreshedAt = now
	d.run(now, d.machine.Refresh(now))
}

// poll reads the head at long, jittered intervals, in case no watcher can reach the store.
func (d *Duty) poll(now time.Time) {
	if now.Before(d.pollAt) {
		return
	}
	interval := max(time.Duration(len(d.snapshot.Members))*pollPerInstance, minPollInterval)
	first := d.pollAt.IsZero()
	d.pollAt = now.Add(interval/2 + time.Duration(d.o.Random.Int64N(int64(interval))))
	if !first {
		go d.readHead()
	}
}

// report counts and logs what the machine has rejected since the last call.
func (d *Duty) report() {
	c := d.machine.Counters()
	if c == d.reportedCounters {
		return
	}
	d.reportedCounters = c
	changed := d.rejections.Publish(map[result.Code]uint64{
		result.CodePeerOtherFleet: c.OtherFleet,
		result.CodePeerMalformed:  c.Malformed + c.Unsolicited,
		result.CodeConfigDigest:   c.WrongDigest,
		result.CodeConfigTooLarge: c.TooLarge,
		result.CodeConfigFault:    c.StaleStoreReads,
	})
	if changed {
		d.o.Log.Warn("configuration update rejected; the last valid configuration stays active",
			"other_fleet", c.OtherFleet, "malformed", c.Malformed, "wrong_digest", c.WrongDigest,
			"too_large", c.TooLarge, "store_behind", c.StaleStoreReads)
	}
}
