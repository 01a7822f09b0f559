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

// Times of the look at revisions.
const (
	revisionPoll    = 25 * time.Millisecond
	revisionTimeout = 2 * time.Second
)

// revisions asks every instance, as a caller would, which configuration it answers from.
type revisions struct {
	firm    *firm
	service fleet.Service
	account fleet.Account
	http    *http.Client

	mu      sync.Mutex
	latest  map[string]fleet.Revision // By callers' address.
	reverts int
}

func newRevisions(f *firm) *revisions {
	return &revisions{
		firm:    f,
		service: f.lookup,
		account: f.accountsForAll()[0],
		http:    &http.Client{Timeout: revisionTimeout},
		latest:  make(map[string]fleet.Revision),
	}
}

// run asks until ctx ends.
func (r *revisions) run(ctx context.Context) {
	for {
		for _, address := range r.firm.fleet.EntryAddrs() {
			r.ask(ctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(revisionPoll):
		}
	}
}

func (r *revisions) ask(ctx context.Context, address string) {
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
	r.note(address, d.Revision)
}

// note counts an instance that answers from an earlier configuration than before.
func (r *revisions) note(address string, revision fleet.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.latest[address] {
		r.reverts++
		return
	}
	r.latest[address] = revision
}

// everywhere reports whether each instance that runs answers from revision or a later one.
func (r *revisions) everywhere(revision fleet.Revision) bool {
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

// await waits until revision is in force everywhere and returns the time since accepted.
func (r *revisions) await(ctx context.Context, revision fleet.Revision, accepted time.Time) (time.Duration, error) {
	for !r.everywhere(revision) {
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("firm %s: revision %d is not in force everywhere: %w", r.firm.name, revision, ctx.Err())
		case <-time.After(revisionPoll):
		}
	}
	return time.Since(accepted), nil
}

func (r *revisions) counted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reverts
}
