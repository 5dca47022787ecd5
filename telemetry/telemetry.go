// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes JSON lines to standard error.
func NewLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	cfg.Sampling = nil
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return cfg.Build()
}

// Metrics holds the metrics of one instance.
type Metrics struct {
	Meter metric.Meter
	// Handler serves the metrics in the Prometheus text format.
	Handler  http.Handler
	provider *sdkmetric.MeterProvider
}

// NewMetrics returns metrics with a separate registry.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, fmt.Errorf("metrics exporter: %w", err)
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Metrics{
		Meter:    provider.Meter("github.com/basilloom/basilloom"),
		Handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		provider: provider,
	}, nil
}

// Close shuts down the meter provider.
func (m *Metrics) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// TraceSettings configure tracing. With an empty endpoint no traces are exported,
// but trace context is still propagated.
type TraceSettings struct {
	Endpoint string
	Ratio    float64
	Instance string
}

// StartTraces installs the global tracer provider and propagator. The returned
// function flushes the traces and shuts down the provider.
func StartTraces(ctx context.Context, settings TraceSettings) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if settings.Endpoint == "" {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(settings.Endpoint))
	if err != nil {
		return nil, fmt.Errorf("trace exporter: %w", err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(settings.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "basilloomd"),
			attribute.String("service.instance.id", settings.Instance))))
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}
