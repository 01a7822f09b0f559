package gateway

import (
	"net/http"
	"testing"
)

// Guards against rejected requests for a service whose endpoints are all in one of three zones: a broker without any
// forwards a request to another zone once.
func TestBrokersOfZonesWithoutEndpointsFindThem(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t)
	fleet.brokersFrom = 3
	all := []*instance{fleet.startInstance("one", "a"), fleet.startInstance("two", "b"), fleet.startInstance("three", "c")}
	fleet.configure("h.example", "orders")
	fleet.startUpstream("i-1", "orders") // In zone a.
	for _, in := range all {
		eventually(t, "all know each other and the upstream", func() bool {
			status, _, _ := in.send(t, "h.example", "/x")
			return status == http.StatusOK && len(in.gateway.control.snapshot.Load().alive) == len(all)-1
		})
	}
	for _, in := range all {
		for range 30 {
			if status, body, id := in.send(t, "h.example", "/x"); status != http.StatusOK {
				t.Errorf("request %s: status %d, %s", id, status, body)
			}
		}
	}
}
