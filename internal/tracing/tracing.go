// Package tracing writes what happens to a process in a rollout as OpenTelemetry spans.
// The spans of all controllers in the rollout of one format share a trace, whose id is
// made of the format's number, so that their files put together tell one story. It is
// off unless the features file names a file for it.
package tracing

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"lilacrill/internal/controller"
	"lilacrill/internal/release"
	"lilacrill/wire"
)

// Tracer writes spans. A nil Tracer writes none.
type Tracer struct {
	provider *sdktrace.TracerProvider
	spans    trace.Tracer
	file     io.Closer
	last     time.Time // when the last span ended
}

// Open starts tracing into a file, to which it appends, for the controller label.
func Open(path, label string) (*Tracer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("tracing.file: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("tracing: %w", err)
	}
	// Spans are few, and a process may be killed at any time: each is written at once.
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "lilacrill"),
			attribute.String("service.version", release.Version), attribute.String("service.instance.id", label))))
	return &Tracer{provider: provider, spans: provider.Tracer("lilacrill/rollout"), file: file, last: time.Now()}, nil
}

// Rollout writes an event as a span that begins with the event before it.
func (t *Tracer) Rollout(e controller.RolloutEvent) {
	if t == nil {
		return
	}
	now := time.Now()
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), rolloutOf(subject(e)))
	_, span := t.spans.Start(ctx, string(e.Kind), trace.WithTimestamp(t.last), trace.WithAttributes(
		attribute.Int("format", int(e.Format)), attribute.Int64("boot", int64(e.Incarnation)), attribute.Int64("revision", int64(e.Revision))))
	span.End(trace.WithTimestamp(now))
	t.last = now
}

// subject is the format whose rollout an event belongs to: a process that starts or
// serves does so on the way to the next one.
func subject(e controller.RolloutEvent) wire.Format {
	if e.Kind == controller.RolloutRegistered || e.Kind == controller.RolloutReady {
		return e.Format + 1
	}
	return e.Format
}

// rolloutOf is the root that the spans of a format's rollout have in common.
func rolloutOf(f wire.Format) trace.SpanContext {
	sum := sha256.Sum256(fmt.Appendf(nil, "lilacrill rollout of format %d", f))
	var id trace.TraceID
	var root trace.SpanID
	copy(id[:], sum[:])
	copy(root[:], sum[len(id):])
	return trace.NewSpanContext(trace.SpanContextConfig{TraceID: id, SpanID: root, TraceFlags: trace.FlagsSampled, Remote: true})
}

// Close ends tracing.
func (t *Tracer) Close() error {
	if t == nil {
		return nil
	}
	if err := t.provider.Shutdown(context.Background()); err != nil {
		return err
	}
	return t.file.Close()
}
