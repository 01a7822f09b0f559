package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/httpanswer"
)

// maxDiscoveryBytes bounds a discovery response.
const maxDiscoveryBytes = 64 << 10

// cacheEntry is the last discovery response for a service.
type cacheEntry struct {
	mu        sync.Mutex // Locked during discovery, so that concurrent requests share one.
	discovery Discovery
	until     time.Time
}

// Discover returns the entries to use for a service. It returns the cached response until its max age.
func (c *Client) Discover(ctx context.Context, service fleet.Service) (Discovery, error) {
	entry := c.cacheEntryFor(service)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if c.now().Before(entry.until) {
		return entry.discovery, nil
	}
	discovery, err := c.requestDiscovery(ctx, service, entry.discovery)
	if err != nil {
		return Discovery{}, err
	}
	entry.discovery = discovery
	entry.until = c.now().Add(discovery.MaxAge())
	return discovery, nil
}

// invalidate expires the cached response, unless it has been replaced since the one with this ticket.
func (c *Client) invalidate(service fleet.Service, ticket string) {
	entry := c.cacheEntryFor(service)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.discovery.Ticket == ticket {
		entry.until = time.Time{}
	}
}

func (c *Client) cacheEntryFor(service fleet.Service) *cacheEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.cache[service]
	if !ok {
		entry = &cacheEntry{}
		c.cache[service] = entry
	}
	return entry
}

// requestDiscovery tries the entries of the last response, then those of the options, until one succeeds.
func (c *Client) requestDiscovery(ctx context.Context, service fleet.Service, last Discovery) (Discovery, error) {
	var addresses []string
	for _, e := range last.Entries {
		addresses = append(addresses, e.Address)
	}
	addresses = append(addresses, c.shuffledEntries()...)
	var errs []error
	for _, address := range addresses {
		discovery, err := c.requestDiscoveryFrom(ctx, address, service)
		if err == nil {
			return discovery, nil
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	return Discovery{}, fmt.Errorf("%w: service %q, account %q: %w", ErrNoEntry, service, c.account, errors.Join(errs...))
}

func (c *Client) shuffledEntries() []string {
	out := append([]string(nil), c.entries...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (c *Client) requestDiscoveryFrom(ctx context.Context, address string, service fleet.Service) (Discovery, error) {
	query := url.Values{ParamService: {string(service)}, ParamAccount: {string(c.account)}}
	if c.zone != "" {
		query.Set(ParamZone, string(c.zone))
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+DiscoverPath+"?"+query.Encode(), nil)
	if err != nil {
		return Discovery{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Discovery{}, fmt.Errorf("discover at %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := httpanswer.ReadBody(response, maxDiscoveryBytes)
	if err != nil {
		return Discovery{}, fmt.Errorf("discover at %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return Discovery{}, fmt.Errorf("discover at %s: status %d, code %s", address, response.StatusCode, response.Header.Get(HeaderCode))
	}
	return parseDiscovery(address, data)
}

func parseDiscovery(address string, data []byte) (Discovery, error) {
	var d Discovery
	if err := json.Unmarshal(data, &d); err != nil {
		return Discovery{}, fmt.Errorf("discover at %s: decode response of %d bytes: %w", address, len(data), err)
	}
	if len(d.Entries) == 0 {
		return Discovery{}, fmt.Errorf("discover at %s: the response contains no entry", address)
	}
	for _, entry := range d.Entries {
		if _, err := netip.ParseAddrPort(entry.Address); err != nil {
			return Discovery{}, fmt.Errorf("discover at %s: entry %q is not an IP address and port", address, entry.Address)
		}
	}
	return d, nil
}
