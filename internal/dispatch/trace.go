package dispatch

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/coord/routing"
	"github.com/damaskcove/damaskcove/internal/exchange"
)

const tracerName = "github.com/damaskcove/damaskcove/internal/dispatch"

// traceKey is the propagator's key of the W3C trace context.
const traceKey = "traceparent"

// startSpan starts the client span of one attempt. Its parent is ctx's span, or the caller's if ctx has none.
func startSpan(ctx context.Context, service fleet.Service, r *exchange.Request, e routing.Dispatch) (context.Context, trace.Span) {
	if !trace.SpanContextFromContext(ctx).IsValid() && r.TraceParent != "" {
		carrier := propagation.MapCarrier{traceKey: r.TraceParent}
		ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	}
	return otel.Tracer(tracerName).Start(ctx, "upstream attempt",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("damaskcove.service", string(service)),
			attribute.String("server.address", string(e.Endpoint)),
			attribute.String("http.request.method", r.Method),
			attribute.Int("damaskcove.attempt", e.Attempt),
			attribute.Bool("damaskcove.hedge", e.Hedge),
			attribute.Bool("damaskcove.trial", e.Trial),
		))
}

func endSpan(span trace.Span, o outcome) {
	span.SetAttributes(
		attribute.Int("http.response.status_code", o.answer.Status),
		attribute.Int("damaskcove.code", int(o.answer.Code)),
	)
	if o.answer.Code != result.CodeAnswered || o.endpointFailed {
		span.SetStatus(codes.Error, codeCounter(o.answer.Code))
	}
	span.End()
}

// traceParent returns the trace context to send to the upstream, or "" if there is none.
func traceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceKey]
}
