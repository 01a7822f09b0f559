package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/platform"
)

// largeFleet returns the store's contents for a fleet.
func largeFleet(b *testing.B, instances, upstreams int) []platform.Item {
	b.Helper()
	var items []platform.Item
	for k := range instances {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(k % 5), byte(k / 250), byte(k % 250)}), 7540)
		value, err := cbor.Marshal(memberRecord{Peer: dispatch.PeerID(k + 1), Zone: fmt.Sprint("zone-", k%5), CallerAddr: "10.0.0.1:80", PeerAddr: at, LinkMbps: 20})
		if err != nil {
			b.Fatal(err)
		}
		items = append(items, platform.Item{Key: fmt.Sprintf("%sedge-%d", memberPrefix, k), Value: value, Revision: 1})
	}
	for k := range upstreams {
		value := fmt.Appendf(nil, `{"service":"orders","address":"10.9.%d.%d:80","zone":"zone-%d","version":"v1","capacity":4,"state":"ready","warmup_left":"0ms","sequence":4,"born":1700000000123}`, k/250, k%250, k%5)
		items = append(items, platform.Item{Key: fmt.Sprintf("servers/i-%08x", k), Value: value, Revision: 1})
	}
	config := `{"version":"00000001","routes":{"a":{"host":"h","path_prefix":"/","route_kind":"unsafe","timeout":"1s","target_latency":"1s","service":"orders"}},"services":{"orders":{}},"limits":{}}`
	return append(items, platform.Item{Key: platform.ConfigKey, Value: []byte(config), Revision: 1})
}

// BenchmarkFirstRead measures the work of an instance of a large fleet from the store's response until
// it is ready.
func BenchmarkFirstRead(b *testing.B) {
	items := largeFleet(b, 292, 1036)
	reply, err := json.Marshal(map[string]any{"items": items, "at": 1})
	if err != nil {
		b.Fatal(err)
	}
	s := DefaultSettings()
	s.Instance.ID, s.Instance.Zone = "edge-0", "zone-0"
	b.ReportAllocs()
	for b.Loop() {
		var got struct {
			Items []platform.Item `json:"items"`
		}
		if err := json.Unmarshal(reply, &got); err != nil {
			b.Fatal(err)
		}
		c := newControl(&s, slog.New(slog.NewJSONHandler(io.Discard, nil)), &peerSocket{})
		c.applyFullRead(time.Now(), got.Items, 1, 1)
		if c.snapshot.Load().router == nil {
			b.Fatal("not ready")
		}
	}
}
