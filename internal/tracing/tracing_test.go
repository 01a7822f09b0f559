package tracing

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

func TestSampleShare(t *testing.T) {
	const spans = 20
	for share, want := range map[float64]int{0: 0, 1: spans} {
		var out bytes.Buffer
		tracer, stop, err := Start(context.Background(), Config{Exporter: ExporterStdout, Output: &out, SampleShare: share})
		if err != nil {
			t.Fatal(err)
		}
		for range spans {
			_, span := tracer.Start(context.Background(), "request")
			span.End()
		}
		if err := stop(context.Background()); err != nil {
			t.Fatal(err)
		}
		if got := strings.Count(out.String(), `"Name":"request"`); got != want {
			t.Errorf("sample share %v: %d of %d spans exported", share, got, spans)
		}
	}
}

func TestSampledTraceContextIsFollowed(t *testing.T) {
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	var out bytes.Buffer
	tracer, stop, err := Start(context.Background(), Config{Exporter: ExporterStdout, Output: &out})
	if err != nil {
		t.Fatal(err)
	}
	_, span := tracer.Start(Extract(context.Background(), parent), "request")
	span.End()
	if err := stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "0af7651916cd43dd8448eb211c80319c") {
		t.Fatalf("a request with a sampled trace context was not traced: %s", out.String())
	}
}

func TestUnknownExporterIsRejected(t *testing.T) {
	if _, _, err := Start(context.Background(), Config{Exporter: "pigeon"}); err == nil {
		t.Fatal("an unknown exporter was accepted")
	}
}
