package client

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/metastore/protocol"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
)

// BenchmarkReadList reads the list over loopback, with and without a change before each read, and
// reports the bytes of a response body.
func BenchmarkReadList(b *testing.B) {
	for _, size := range []int{1500, 3000, 6000, 12000} {
		for _, changed := range []bool{false, true} {
			b.Run(fmt.Sprintf("endpoints=%d/changed=%v", size, changed), func(b *testing.B) { readList(b, size, changed) })
		}
	}
}

func readList(b *testing.B, size int, changed bool) {
	const perService = 45
	server, err := standin.Serve(standin.New(standin.Options{}), "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	c := New(server.Addr(), "bench")
	defer c.Close()
	upstreams := make(map[fleet.Service][]fleet.Upstream)
	for i := range size {
		service := fleet.Service(fmt.Sprint("service-", i/perService))
		endpoint := fleet.Endpoint(fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255))
		upstreams[service] = append(upstreams[service], fleet.Upstream{Endpoint: endpoint, Zone: fleet.Zone(fmt.Sprint("zone-", i%5)), Slots: 4, State: fleet.UpstreamReady})
	}
	server.Platform().SetListing(metastore.Listing{Upstreams: upstreams})
	bytes := bodyBytes(b, server.Addr())
	if _, err := c.Read(context.Background()); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if changed {
			b.StopTimer()
			server.Platform().UpdateListing(func(*metastore.Listing) {})
			b.StartTimer()
		}
		if _, err := c.Read(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	if !changed {
		bytes = 0
	}
	b.ReportMetric(float64(bytes), "body-bytes")
}

// bodyBytes returns the size of the list as it is sent, compressed.
func bodyBytes(b *testing.B, addr string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+addr+protocol.PathList, nil)
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Accept-Encoding", "gzip")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
