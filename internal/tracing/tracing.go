// Package tracing sets up OpenTelemetry: one span for each hop of a request, with the
// W3C trace context extracted from callers' requests and injected into the requests to
// instances and upstreams.
package tracing

import (
	"context"
	"errors"
	"fmt"
	"io"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.37.0"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Exporter is the destination of the spans.
type Exporter string

// Exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp" // Over HTTP.
)

// ErrUnknownExporter means that Config.Exporter is not one of the Exporter values.
var ErrUnknownExporter = errors.New("unknown trace exporter")

// TraceParentHeader is the header that carries the W3C trace context.
const TraceParentHeader = "traceparent"

// tracerName is the instrumentation scope of the spans.
const tracerName = "github.com/damaskcove/damaskcove"

// Config configures the exporter and the attributes that identify this instance.
type Config struct {
	Exporter Exporter
	URL      string // Of the OTLP collector.
	Instance string
	Zone     string
	Output   io.Writer // For ExporterStdout.
	// SampleShare is the share of the requests without a trace context that are traced,
	// 0 to 1. Requests with a trace context follow its sampling decision.
	SampleShare float64
}

// Start returns a tracer and a function that exports the remaining spans and stops it.
func Start(ctx context.Context, cfg Config) (trace.Tracer, func(context.Context) error, error) {
	if cfg.Exporter == ExporterNone || cfg.Exporter == "" {
		return noop.NewTracerProvider().Tracer(tracerName), func(context.Context) error { return nil }, nil
	}
	exporter, err := newExporter(ctx, cfg)
	if err != nil {
		return nil, nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.SampleShare))),
		sdktrace.WithResource(resource.NewSchemaless(
			semconv.ServiceName("damaskcove"),
			semconv.ServiceInstanceID(cfg.Instance),
			semconv.CloudAvailabilityZone(cfg.Zone),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Tracer(tracerName), provider.Shutdown, nil
}

func newExporter(ctx context.Context, cfg Config) (sdktrace.SpanExporter, error) {
	switch cfg.Exporter {
	case ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(cfg.Output))
	case ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.URL))
	default:
		return nil, fmt.Errorf("%w: %q", ErrUnknownExporter, cfg.Exporter)
	}
}

// propagator encodes and decodes the W3C trace context.
var propagator = propagation.TraceContext{}

// Extract returns ctx with the remote span of a traceparent header.
func Extract(ctx context.Context, traceParent string) context.Context {
	if traceParent == "" {
		return ctx
	}
	carrier := propagation.MapCarrier{TraceParentHeader: traceParent}
	return propagator.Extract(ctx, carrier)
}

// Inject returns the traceparent header for ctx's span, or fallback when ctx has no span.
func Inject(ctx context.Context, fallback string) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return fallback
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier.Get(TraceParentHeader)
}
