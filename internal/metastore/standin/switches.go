package standin

import (
	"context"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/metastore"
)

// SetFaults replaces the active faults. An outage of the store ends the watches that wait.
func (p *Platform) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	p.UpdateFaults(func(current *Faults) { *current = f })
	return nil
}

// UpdateFaults modifies the active faults.
func (p *Platform) UpdateFaults(change func(f *Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
	p.wakeWatches()
}

// Faults returns the active faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// ExpireLease expires a lease at once, as if its holder had been paused for its time to live.
func (p *Platform) ExpireLease(id metastore.LeaseID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.expireLease(id)
}

// ExpireAllLeases expires every lease at once.
func (p *Platform) ExpireAllLeases() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.store.leases {
		p.store.expireLease(id)
	}
}

// ExpireDueLeases expires the leases whose time to live is over. Most calls of the store do so too.
func (p *Platform) ExpireDueLeases() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.expireDue(p.now())
}

// SetListing replaces the list, under the next version. Read returns it after the lag.
func (p *Platform) SetListing(l metastore.Listing) {
	p.UpdateListing(func(current *metastore.Listing) { *current = l })
}

// UpdateListing modifies the latest list, under the next version. Read returns it after the lag.
func (p *Platform) UpdateListing(change func(l *metastore.Listing)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := copyListing(p.history.latest())
	change(&next)
	p.history.set(p.now(), next)
}

// SetUpstreamState changes the state of one endpoint in the list, if it is listed.
func (p *Platform) SetUpstreamState(endpoint fleet.Endpoint, state fleet.UpstreamState) {
	p.UpdateListing(func(l *metastore.Listing) {
		for _, upstreams := range l.Upstreams {
			for i := range upstreams {
				if upstreams[i].Endpoint == endpoint {
					upstreams[i].State = state
				}
			}
		}
	})
}

// Listing returns the latest list, without lag.
func (p *Platform) Listing() metastore.Listing {
	p.mu.Lock()
	defer p.mu.Unlock()
	return copyListing(p.history.latest())
}

// Counts returns the calls received so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counter.snapshot(p.now())
}

func (p *Platform) wakeWatches() {
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

type clientNameKey struct{}

// WithClient returns a context whose calls are counted under name.
func WithClient(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, clientNameKey{}, name)
}

func clientName(ctx context.Context) string {
	name, _ := ctx.Value(clientNameKey{}).(string)
	return name
}
