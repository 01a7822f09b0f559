package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// Parameters of the comparison of added latency.
const (
	addedCalls     = 300
	addedServiceMS = 2
	maxAddedMicros = 10_000_000
)

// addedLatency alternates lookups through the fleet with direct calls of its endpoints, and
// returns the differences of their latency quantiles in milliseconds.
func addedLatency(ctx context.Context, f *firm) (p50, p99 float64, err error) {
	through := hdrhistogram.New(1, maxAddedMicros, 3)
	direct := hdrhistogram.New(1, maxAddedMicros, 3)
	endpoints := f.fleet.Host.ServiceEndpoints(f.lookup)
	plain := &http.Client{Timeout: revisionTimeout}
	uri := fmt.Sprintf("%s/added?%s=%d", f.path(f.lookup), upstream.ParamTime, addedServiceMS)
	for i := range addedCalls {
		begin := time.Now()
		r := client.Request{Service: f.lookup, Method: http.MethodGet, URI: uri, Idempotent: true}
		r.Header = http.Header{upstream.HeaderRequestID: {fmt.Sprintf("%s-added-%d", f.name, i)}}
		if _, err := f.clients[i%len(f.clients)].Do(ctx, r); err != nil {
			return 0, 0, err
		}
		_ = through.RecordValue(time.Since(begin).Microseconds())
		begin = time.Now()
		if err := get(ctx, plain, "http://"+string(endpoints[i%len(endpoints)].Addr())+uri); err != nil {
			return 0, 0, err
		}
		_ = direct.RecordValue(time.Since(begin).Microseconds())
	}
	return difference(through, direct, 50), difference(through, direct, 99), nil
}

// difference returns the difference of two quantiles in milliseconds.
func difference(a, b *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(a.ValueAtQuantile(quantile)-b.ValueAtQuantile(quantile)) / 1000
}

func get(ctx context.Context, c *http.Client, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	r.Header.Set(upstream.HeaderRequestID, "direct")
	response, err := c.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
