// Package tracing writes the rollout events of a process as OpenTelemetry spans. The spans of all
// controllers in the rollout of one format belong to one trace. The id of this trace is derived from
// the number of the format, so that the files of several controllers can be merged. Tracing is off
// unless the features file names an output file.
package tracing

import (
	"context"
	"crypto/sha256"
	"errors"
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

// Tracer writes rollout events as spans to a file. A nil Tracer discards them.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	file     io.Closer
	lastEnd  time.Time // when the last span ended
}

// Open returns a tracer for the controller with the given label. It appends spans to the file at
// path.
func Open(path, label string) (*Tracer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("tracing.file: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("tracing: %w", err), file.Close())
	}
	// Each span is written synchronously, because the process may be killed at any time and there
	// are few spans.
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "lilacrill"),
			attribute.String("service.version", release.Version), attribute.String("service.instance.id", label))))
	return &Tracer{provider: provider, tracer: provider.Tracer("lilacrill/rollout"), file: file, lastEnd: time.Now()}, nil
}

// RecordRollout writes an event as a span that starts at the end of the previous one.
func (t *Tracer) RecordRollout(event controller.RolloutEvent) {
	if t == nil {
		return
	}
	now := time.Now()
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), rolloutSpanContext(targetFormat(event)))
	_, span := t.tracer.Start(ctx, string(event.Kind), trace.WithTimestamp(t.lastEnd), trace.WithAttributes(
		attribute.Int("format", int(event.Format)), attribute.Int64("boot", int64(event.Incarnation)), attribute.Int64("revision", int64(event.Revision))))
	span.End(trace.WithTimestamp(now))
	t.lastEnd = now
}

// targetFormat returns the format to whose rollout an event belongs. The registration and the
// readiness of a process belong to the rollout of the format after the one in force.
func targetFormat(event controller.RolloutEvent) wire.Format {
	if event.Kind == controller.RolloutRegistered || event.Kind == controller.RolloutReady {
		return event.Format + 1
	}
	return event.Format
}

// rolloutSpanContext returns the context of the parent of all spans in the rollout of a format.
func rolloutSpanContext(f wire.Format) trace.SpanContext {
	sum := sha256.Sum256(fmt.Appendf(nil, "lilacrill rollout of format %d", f))
	var id trace.TraceID
	var root trace.SpanID
	copy(id[:], sum[:])
	copy(root[:], sum[len(id):])
	return trace.NewSpanContext(trace.SpanContextConfig{TraceID: id, SpanID: root, TraceFlags: trace.FlagsSampled, Remote: true})
}

// Close shuts down the span provider and closes the file.
func (t *Tracer) Close() error {
	if t == nil {
		return nil
	}
	if err := t.provider.Shutdown(context.Background()); err != nil {
		return err
	}
	return t.file.Close()
}
