package listing

import (
	"net/netip"
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/metastore"
)

// MaxSlots is the largest accepted number of slots of one endpoint.
const MaxSlots = 100_000

// clean returns a copy of the list without its unusable entries, and their number. The order
// is kept.
func clean(l *metastore.Listing) (*metastore.Listing, int) {
	dropped := 0
	out := &metastore.Listing{Version: l.Version, Upstreams: make(map[fleet.Service][]fleet.Upstream, len(l.Upstreams))}
	for service, upstreams := range l.Upstreams {
		kept := slices.DeleteFunc(slices.Clone(upstreams), func(u fleet.Upstream) bool { return !usableUpstream(u) })
		dropped += len(upstreams) - len(kept)
		out.Upstreams[service] = kept
	}
	out.Instances = slices.DeleteFunc(slices.Clone(l.Instances), func(i fleet.Instance) bool { return !usableInstance(i) })
	dropped += len(l.Instances) - len(out.Instances)
	return out, dropped
}

func usableUpstream(u fleet.Upstream) bool {
	addr, err := netip.ParseAddrPort(string(u.Endpoint))
	if err != nil || addr.Port() == 0 {
		return false
	}
	validState := u.State == fleet.UpstreamCold || u.State == fleet.UpstreamReady || u.State == fleet.UpstreamDraining
	return validState && u.Slots > 0 && u.Slots <= MaxSlots
}

func usableInstance(i fleet.Instance) bool {
	addr, err := netip.ParseAddrPort(i.PeerAddr)
	return err == nil && addr.Port() != 0 && i.Ref.ID != ""
}
