package standin

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/metastore/protocol"
)

// Options configure a Platform.
type Options struct {
	Now    func() time.Time                           // Clock of leases, counts and the list's lag; nil for time.Now.
	Sleep  func(ctx context.Context, d time.Duration) // Waits for Faults.Delay; nil for a timer.
	Faults Faults                                     // At the start.
}

// Platform emulates the platform in memory. It is safe for concurrent use.
type Platform struct {
	now   func() time.Time
	sleep func(ctx context.Context, d time.Duration)

	mu            sync.Mutex
	store         *store
	history       *history
	counter       *counter
	faults        Faults
	faultsChanged chan struct{} // Closed and replaced when the faults change, so that waiting watches check for an outage.
}

var (
	_ metastore.Store = (*Platform)(nil)
	_ metastore.List  = (*Platform)(nil)
)

// New returns a platform without keys and with an empty list.
func New(o Options) *Platform {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Sleep == nil {
		o.Sleep = sleep
	}
	return &Platform{
		now:           o.Now,
		sleep:         o.Sleep,
		store:         newStore(),
		history:       newHistory(o.Now()),
		counter:       newCounter(),
		faults:        o.Faults,
		faultsChanged: make(chan struct{}),
	}
}

// Get implements metastore.Store.
func (p *Platform) Get(ctx context.Context, key string) (metastore.Value, error) {
	if err := p.beginCall(ctx, metastore.OpGet); err != nil {
		return metastore.Value{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.expireDue(p.now())
	return p.store.record(key).value(key)
}

// CompareAndSwap implements metastore.Store.
func (p *Platform) CompareAndSwap(ctx context.Context, key string, expected metastore.Version, data []byte, lease metastore.LeaseID) (metastore.Version, error) {
	if err := p.beginCall(ctx, metastore.OpCompareAndSwap); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.expireDue(p.now())
	version, err := p.store.compareAndSwap(key, expected, data, lease)
	if err != nil {
		return version, err
	}
	return version, p.replyError("write of key " + key)
}

// Copy is the state of the store at a moment.
type Copy struct{ store *store }

// Save returns a copy of the store.
func (p *Platform) Save() Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Copy{p.store.clone()}
}

// Restore puts the store back to a copy: what was written since is lost, and its versions and leases are given out
// again. Watches that wait check the keys again.
func (p *Platform) Restore(c Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.store
	p.store = c.store.clone()
	for _, r := range before.records {
		r.notifyWatches()
	}
}

// Watch implements metastore.Store.
func (p *Platform) Watch(ctx context.Context, key string, after metastore.Version) (metastore.Value, error) {
	if err := p.beginCall(ctx, metastore.OpWatch); err != nil {
		return metastore.Value{}, err
	}
	for {
		value, signals, err := p.poll(key, after)
		if signals == nil {
			return value, err
		}
		select {
		case <-ctx.Done():
			return metastore.Value{}, fmt.Errorf("%w: watch of key %q: %w", metastore.ErrUnavailable, key, ctx.Err())
		case <-signals.keyChanged:
		case <-signals.faultsChanged:
		}
	}
}

// GrantLease implements metastore.Store.
func (p *Platform) GrantLease(ctx context.Context, ttl time.Duration) (metastore.LeaseID, error) {
	if ttl < protocol.MinLeaseTTL || ttl > protocol.MaxLeaseTTL {
		return 0, fmt.Errorf("%w: lease of %v is outside %v to %v", metastore.ErrUnavailable, ttl, protocol.MinLeaseTTL, protocol.MaxLeaseTTL)
	}
	if err := p.beginCall(ctx, metastore.OpGrantLease); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	id := p.store.grant(p.now(), ttl)
	return id, p.replyError("grant of a lease")
}

// KeepAlive implements metastore.Store.
func (p *Platform) KeepAlive(ctx context.Context, lease metastore.LeaseID) error {
	if err := p.beginCall(ctx, metastore.OpKeepAlive); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.expireDue(p.now())
	if err := p.store.keepAlive(p.now(), lease); err != nil {
		return err
	}
	return p.replyError("renewal of a lease")
}

// Read implements metastore.List.
func (p *Platform) Read(ctx context.Context) (metastore.Listing, error) {
	if err := p.beginCall(ctx, metastore.OpList); err != nil {
		return metastore.Listing{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return copyListing(p.history.at(p.now(), p.faults.ListLag)), nil
}

// errDropped makes the server close a read's connection without a response.
var errDropped = errors.New("call dropped")

// watchSignals are the channels that make a waiting watch check again.
type watchSignals struct {
	keyChanged    <-chan struct{}
	faultsChanged <-chan struct{}
}

// poll returns the key's value when its version differs from after, otherwise the channels to wait for.
func (p *Platform) poll(key string, after metastore.Version) (metastore.Value, *watchSignals, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := outageError(p.faults.Store, metastore.OpWatch); err != nil {
		return metastore.Value{}, nil, err
	}
	p.store.expireDue(p.now())
	r := p.store.record(key)
	if r.version == after {
		return metastore.Value{}, &watchSignals{keyChanged: r.changed, faultsChanged: p.faultsChanged}, nil
	}
	value, err := r.value(key)
	return value, nil, err
}

// beginCall counts a call, applies Faults.Delay, and returns an error during an outage.
func (p *Platform) beginCall(ctx context.Context, op string) error {
	p.mu.Lock()
	p.counter.add(p.now(), op, clientName(ctx))
	delay := p.faults.Delay
	p.mu.Unlock()
	if delay > 0 {
		p.sleep(ctx, delay)
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %s: %w", metastore.ErrUnavailable, op, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if op == metastore.OpList {
		return outageError(p.faults.List, op)
	}
	return outageError(p.faults.Store, op)
}

// replyError returns ErrUnknownResult while Faults.LoseReplies is above zero, and decrements it.
// The caller's write has taken effect. p.mu must be held.
func (p *Platform) replyError(what string) error {
	if p.faults.LoseReplies == 0 {
		return nil
	}
	p.faults.LoseReplies--
	return fmt.Errorf("%w: the reply to a %s was lost", metastore.ErrUnknownResult, what)
}

func outageError(o Outage, op string) error {
	switch {
	case o == OutageNone:
		return nil
	case o == OutageDrop && isWrite(op):
		return fmt.Errorf("%w: %s dropped", metastore.ErrUnknownResult, op)
	case o == OutageDrop:
		return fmt.Errorf("%w: %w: %s", metastore.ErrUnavailable, errDropped, op)
	default:
		return fmt.Errorf("%w: %s refused", metastore.ErrUnavailable, op)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
