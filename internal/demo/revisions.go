package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Interval of the polls, and timeout of one request.
const (
	revisionPoll    = 25 * time.Millisecond
	revisionTimeout = 2 * time.Second
)

// revisionMonitor polls the revision of the active configuration of every instance through
// discovery, as a caller does.
type revisionMonitor struct {
	firm    *firm
	service fleet.Service
	account fleet.Account
	http    *http.Client

	mu      sync.Mutex
	latest  map[string]fleet.Revision // By entry address.
	reverts int                       // Answers with an earlier revision than the same instance had before.
}

func newRevisionMonitor(f *firm) *revisionMonitor {
	return &revisionMonitor{
		firm:    f,
		service: f.lookup,
		account: f.accountsForAll()[0],
		http:    &http.Client{Timeout: revisionTimeout},
		latest:  make(map[string]fleet.Revision),
	}
}

// run polls until ctx ends.
func (r *revisionMonitor) run(ctx context.Context) {
	for {
		for _, address := range r.firm.fleet.EntryAddrs() {
			r.poll(ctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(revisionPoll):
		}
	}
}

func (r *revisionMonitor) poll(ctx context.Context, address string) {
	query := url.Values{client.ParamService: {string(r.service)}, client.ParamAccount: {string(r.account)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+client.DiscoverPath+"?"+query.Encode(), nil)
	if err != nil {
		return
	}
	response, err := r.http.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var d client.Discovery
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&d) != nil {
		return
	}
	r.record(address, d.Revision)
}

// record stores the revision of an instance, or counts a revert if it is earlier than before.
func (r *revisionMonitor) record(address string, revision fleet.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.latest[address] {
		r.reverts++
		return
	}
	r.latest[address] = revision
}

// activeEverywhere reports whether every running instance uses the given revision or a later
// one.
func (r *revisionMonitor) activeEverywhere(revision fleet.Revision) bool {
	entries := r.firm.fleet.EntryAddrs()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range entries {
		if r.latest[address] < revision {
			return false
		}
	}
	return len(entries) > 0
}

// waitActive waits until revision is active on every instance and returns the time since
// accepted.
func (r *revisionMonitor) waitActive(ctx context.Context, revision fleet.Revision, accepted time.Time) (time.Duration, error) {
	for !r.activeEverywhere(revision) {
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("firm %s: revision %d is not active on every instance: %w", r.firm.name, revision, ctx.Err())
		case <-time.After(revisionPoll):
		}
	}
	return time.Since(accepted), nil
}

func (r *revisionMonitor) revertCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reverts
}
