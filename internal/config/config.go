// Package config keeps one instance's configuration: it drives coord/rollout on the control
// goroutine, watches and reads the platform's store on goroutines of its own, and
// publishes the configuration in force.
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
	// startPeers is the number of instances that one without neighbours asks.
	startPeers = 6
	// refreshInterval is the time between two questions of an instance that is not on the roster.
	refreshInterval = 2 * time.Second
	// pollPerInstance is the time for which each instance of the fleet adds to the time between
	// two reads of the head by one instance, so that the fleet's rate is one per pollPerInstance.
	pollPerInstance = time.Second
	// minPoll is the least time between two such reads.
	minPoll = 15 * time.Second
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
	// OnApply is told of each configuration put in force, on the control goroutine.
	OnApply func(now time.Time, c *rollout.Config)
}

// Duty keeps one instance's configuration.
type Duty struct {
	o       Options
	ctx     context.Context
	machine *rollout.Machine
	store   *storecall.Store
	current atomic.Pointer[rollout.Config]
	seen    *members.Snapshot
	hints   []fleet.Instance
	watch   context.CancelFunc // Ends the watch; nil without one.
	pollAt  time.Time
	askAt   time.Time
	last    rollout.Counters
	refused refusals.Publisher
}

// New returns the duty of an instance without a configuration. ctx bounds its calls of the store.
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

// Current returns the configuration in force, or nil before the first. Any goroutine may call it.
func (d *Duty) Current() *rollout.Config {
	return d.current.Load()
}

// Watching reports whether this instance watches the store. It must run on the control goroutine.
func (d *Duty) Watching() bool {
	return d.watch != nil
}

// Counters returns the machine's counts. It must run on the control goroutine.
func (d *Duty) Counters() rollout.Counters {
	return d.machine.Counters()
}

// Start takes the platform's list, whose instances are asked for a configuration until this one
// is on the roster. It must run on the control goroutine.
func (d *Duty) Start(now time.Time, hints []fleet.Instance) {
	d.hints = hints
	d.follow(now)
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
	if d.o.Members.Snapshot() != d.seen {
		d.follow(now)
	}
	if ahead, revision, ok := d.o.Members.NeighbourAhead(); ok {
		d.run(now, d.machine.PeerRevision(now, ahead.Ref, revision))
	}
	d.refresh(now)
	d.poll(now)
	d.run(now, d.machine.Tick(now))
	d.report()
}

// run carries out the machine's effects.
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
	d.o.Log.Info("configuration in force", "revision", uint64(c.Revision), "services", len(c.Services), "accounts", len(c.Accounts))
	if d.o.OnApply != nil {
		d.o.OnApply(now, c)
	}
}

// refresh asks a peer while this instance is off the roster and nobody sends it heartbeats.
func (d *Duty) refresh(now time.Time) {
	if d.seen.Joined || now.Sub(d.askAt) < refreshInterval {
		return
	}
	d.askAt = now
	d.run(now, d.machine.Refresh(now))
}

// poll reads the head now and then, in case every watcher has lost the store.
func (d *Duty) poll(now time.Time) {
	if now.Before(d.pollAt) {
		return
	}
	interval := max(time.Duration(len(d.seen.Members))*pollPerInstance, minPoll)
	first := d.pollAt.IsZero()
	d.pollAt = now.Add(interval/2 + time.Duration(d.o.Random.Int64N(int64(interval))))
	if !first {
		go d.readHead()
	}
}

// report counts and logs what the machine has refused since the last call.
func (d *Duty) report() {
	c := d.machine.Counters()
	if c == d.last {
		return
	}
	d.last = c
	refused := d.refused.Publish(map[result.Code]uint64{
		result.CodePeerOtherFleet: c.OtherFleet,
		result.CodePeerMalformed:  c.Malformed + c.Unsolicited,
		result.CodeConfigDigest:   c.WrongDigest,
		result.CodeConfigTooLarge: c.TooLarge,
		result.CodeConfigFault:    c.StaleStoreReads,
	})
	if refused {
		d.o.Log.Warn("configuration refused; the last good one stays in force",
			"other_fleet", c.OtherFleet, "malformed", c.Malformed, "wrong_digest", c.WrongDigest,
			"too_large", c.TooLarge, "store_behind", c.StaleStoreReads)
	}
}
