// Package tracing sets up OpenTelemetry: one span for each hop of a request, with the
// W3C trace context taken from callers and passed on to instances and upstreams.
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

// Exporter names where spans go.
type Exporter string

// Exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp" // Over HTTP.
)

// ErrUnknownExporter says that the exporter's name is not known.
var ErrUnknownExporter = errors.New("unknown trace exporter")

// TraceParentHeader is the header of the W3C trace context.
const TraceParentHeader = "traceparent"

// tracerName names the instrumentation.
const tracerName = "github.com/damaskcove/damaskcove"

// Config says where spans go and who sends them.
type Config struct {
	Exporter Exporter
	URL      string // Of the OTLP collector.
	Instance string
	Zone     string
	Output   io.Writer // For ExporterStdout.
	// SampleShare is the share of requests that are traced when they come without a
	// trace context, 0 to 1; those that come with one follow it.
	SampleShare float64
}

// Start returns a tracer and the function that sends what is left and stops it.
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

// propagator carries the W3C trace context.
var propagator = propagation.TraceContext{}

// Extract returns ctx with the remote span that a traceparent header names.
func Extract(ctx context.Context, traceParent string) context.Context {
	if traceParent == "" {
		return ctx
	}
	carrier := propagation.MapCarrier{TraceParentHeader: traceParent}
	return propagator.Extract(ctx, carrier)
}

// Inject returns the traceparent header of ctx's span, or fallback when ctx has none.
func Inject(ctx context.Context, fallback string) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return fallback
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier.Get(TraceParentHeader)
}
