package node

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/coord/membership"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/claims"
	"github.com/damaskcove/damaskcove/internal/config"
	"github.com/damaskcove/damaskcove/internal/control"
	"github.com/damaskcove/damaskcove/internal/dispatch"
	"github.com/damaskcove/damaskcove/internal/endpoints"
	"github.com/damaskcove/damaskcove/internal/listing"
	"github.com/damaskcove/damaskcove/internal/members"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/relay"
	"github.com/damaskcove/damaskcove/internal/settings"
	"github.com/damaskcove/damaskcove/internal/storecall"
	"github.com/damaskcove/damaskcove/internal/storekeys"
)

// createComponents creates the components and adds them to the control loop.
func (n *Node) createComponents(ctx context.Context) error {
	s := n.opts.Settings
	keyring, err := newKeyring(s.Tickets.Keys)
	if err != nil {
		return err
	}
	keys := storekeys.Keys{Fleet: s.Instance.Fleet}
	n.loop = control.NewLoop(n.rejectMessage)
	n.calls = relay.NewCalls(n.links, n)
	n.budget = storecall.NewBudget(time.Now)
	n.members = members.New(ctx, members.Options{
		Self:         n.self,
		Config:       membership.Config{Fleet: s.Instance.Fleet},
		RosterKey:    keys.Roster(),
		Random:       n.random(1),
		Loop:         n.loop,
		Sender:       n.links,
		Store:        n.opts.Store,
		Budget:       n.budget,
		Log:          n.log,
		OnChange:     n.membersChanged,
		OnRejoined:   func(fleet.Instance) { n.fail(ErrRejoin) },
		OnSuperseded: func(by fleet.Instance) { n.fail(fmt.Errorf("%w: %s", ErrSuperseded, by.Ref)) },
	})
	n.config = config.New(ctx, config.Options{
		Config:          rollout.MachineConfig{Fleet: s.Instance.Fleet},
		Keys:            keys,
		WatchersPerZone: s.Fleet.WatchersPerZone,
		Random:          n.random(2),
		Loop:            n.loop,
		Sender:          n.links,
		Store:           n.opts.Store,
		Budget:          n.budget,
		Members:         n.members,
		Log:             n.log,
		OnApply:         n.configApplied,
	})
	n.listing = listing.New(listing.Options{
		List:     metastore.CountedList(n.opts.List, func(op string) { storecall.Calls.Add("listing."+op, 1) }),
		Sender:   n.links,
		Watcher:  n.isWatcher,
		Peers:    n.zonePeers,
		Post:     n.loop.Post,
		OnChange: n.applyListing,
		Random:   n.random(3),
	})
	n.endpoints = endpoints.NewManager(endpoints.Options{
		Health:   health.DefaultConfig(),
		Carriers: s.Fleet.CarriersPerService,
		Sender:   n.links,
		Publish:  n.targetsChanged,
		Log:      n.log,
		Tracer:   n.opts.Tracer,
	})
	n.dispatcher = dispatch.New(dispatch.Settings{
		MaxAnswerBytes: int(s.Limits.MaxAnswerBytes),
		DialTimeout:    s.Limits.UpstreamDial,
		IdleTimeout:    s.Limits.UpstreamIdle,
		SourceIP:       s.Listen.Outgoing,
		Seed:           n.opts.Seed,
	}, dispatch.Hooks{Observe: n.endpoints.Observe, Draining: n.onUpstreamDraining, MayStart: n.mayStart})
	n.claims = claims.New(claims.Options{
		Fleet:    s.Instance.Fleet,
		Self:     n.self,
		Loop:     n.loop,
		Sender:   n.links,
		Relay:    n.calls,
		Executor: n.dispatcher,
		Keys:     keyring,
		Limits:   claim.Limits{MaxKeys: s.Limits.ClaimTableKeys},
		MayStart: n.mayStart,
		Log:      n.log,
	})
	n.loop.Add(n.members)
	n.loop.Add(n.config)
	n.loop.Add(n.listing)
	n.loop.Add(n.endpoints)
	n.loop.Add(n.claims)
	return nil
}

// random returns an independent random source for one component.
func (n *Node) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.opts.Seed, stream))
}

// newKeyring returns the keyring of the ticket keys. The numeric ID of a key is a hash of its
// configured ID.
func newKeyring(keys []settings.TicketKey) (*claim.Keyring, error) {
	var signing []claim.SigningKey
	for _, k := range keys {
		h := fnv.New32a()
		_, _ = h.Write([]byte(k.ID))
		signing = append(signing, claim.SigningKey{ID: h.Sum32(), Secret: k.Bytes})
	}
	ring, err := claim.NewKeyring(signing)
	if err != nil {
		return nil, fmt.Errorf("ticket keys: %w", err)
	}
	return ring, nil
}
