package standin

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/metastore"
)

// history keeps the listings that a lagging reader may still receive. The caller must serialise all calls.
type history struct {
	entries []historyEntry // Oldest first; never empty.
}

type historyEntry struct {
	since   time.Time
	listing metastore.Listing
}

func newHistory(now time.Time) *history {
	empty := metastore.Listing{Upstreams: map[fleet.Service][]fleet.Upstream{}}
	return &history{entries: []historyEntry{{since: now, listing: empty}}}
}

func (h *history) latest() metastore.Listing {
	return h.entries[len(h.entries)-1].listing
}

// at returns the listing that was current lag ago, and discards the older ones.
func (h *history) at(now time.Time, lag time.Duration) metastore.Listing {
	cutoff := now.Add(-lag)
	for len(h.entries) > 1 && !h.entries[1].since.After(cutoff) {
		h.entries = h.entries[1:]
	}
	return h.entries[0].listing
}

// set appends a listing with the next version.
func (h *history) set(now time.Time, listing metastore.Listing) {
	listing = copyListing(listing)
	listing.Version = h.latest().Version + 1
	h.entries = append(h.entries, historyEntry{since: now, listing: listing})
}

func copyListing(l metastore.Listing) metastore.Listing {
	out := metastore.Listing{
		Version:   l.Version,
		Upstreams: make(map[fleet.Service][]fleet.Upstream, len(l.Upstreams)),
		Instances: append([]fleet.Instance(nil), l.Instances...),
	}
	for service, upstreams := range l.Upstreams {
		out.Upstreams[service] = append([]fleet.Upstream(nil), upstreams...)
	}
	return out
}
