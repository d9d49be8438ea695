// Package telemetry exports the metrics and traces of a process.
package telemetry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlpmetric/otlpmetrichttp"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/telemetry/instrument"
)

const (
	scopeName = "github.com/ebonyworks/ebonyworks"
	// pushInterval is the time between two pushes of metrics over OTLP.
	pushInterval = 10 * time.Second
)

// Options select the exporters and their destinations. The zero value offers metrics
// for scraping and drops traces.
type Options struct {
	Process string
	Host    ebonyworks.HostID
	// TraceWriter receives spans as JSON lines if it is set.
	TraceWriter io.Writer
	// Endpoint is the URL of an OTLP collector for traces and metrics.
	Endpoint string
	// SampleRatio is the share of traces that are kept, from 0 to 1.
	SampleRatio float64
}

// Telemetry exports metrics and traces. It implements ebonyworks.Observer.
type Telemetry struct {
	registry       *prometheus.Registry
	meterProvider  *sdkmetric.MeterProvider
	tracerProvider *sdktrace.TracerProvider

	attempts       metric.Int64Counter
	attemptLatency metric.Float64Histogram
	searches       metric.Int64Counter
	searchLatency  metric.Float64Histogram
	missedShards   metric.Int64Counter
	reservations   metric.Int64Counter
	forwards       metric.Int64Counter
	forwardLatency metric.Float64Histogram
	missedParts    metric.Int64Counter
	// rateLimitedAttempts counts the attempts at servers with a rate limit.
	rateLimitedAttempts metric.Int64Counter
	// attemptsLeavingDomain counts the first attempts at servers of other failure domains.
	attemptsLeavingDomain metric.Int64Counter

	labelsMutex sync.Mutex
	// labels has at most maxCachedLabels entries.
	labels map[attemptKey]attemptLabels
}

var _ ebonyworks.Observer = (*Telemetry)(nil)

// New starts the exporters. It fails if an exporter can't be configured; a
// collector that is down is not an error.
func New(ctx context.Context, options Options) (*Telemetry, error) {
	identity := resource.NewSchemaless(
		attribute.String("service.name", options.Process),
		attribute.String("service.instance.id", string(options.Host)),
	)
	t := &Telemetry{registry: prometheus.NewRegistry()}
	if err := t.startMetrics(ctx, options, identity); err != nil {
		return nil, err
	}
	if err := t.startTraces(ctx, options, identity); err != nil {
		return nil, err
	}
	return t, t.createInstruments()
}

func (t *Telemetry) startMetrics(ctx context.Context, options Options, identity *resource.Resource) error {
	scrape, err := exporter.New(exporter.WithRegisterer(t.registry))
	if err != nil {
		return errors.Wrap(err, "create the metrics exporter")
	}
	providerOptions := []sdkmetric.Option{sdkmetric.WithReader(scrape), sdkmetric.WithResource(identity)}
	if options.Endpoint != "" {
		push, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithEndpointURL(options.Endpoint+"/v1/metrics"))
		if err != nil {
			return errors.Wrap(err, "create the OTLP metrics exporter")
		}
		reader := sdkmetric.NewPeriodicReader(push, sdkmetric.WithInterval(pushInterval))
		providerOptions = append(providerOptions, sdkmetric.WithReader(reader))
	}
	t.meterProvider = sdkmetric.NewMeterProvider(providerOptions...)
	return nil
}

func (t *Telemetry) startTraces(ctx context.Context, options Options, identity *resource.Resource) error {
	sampler := sdktrace.ParentBased(sdktrace.TraceIDRatioBased(options.SampleRatio))
	providerOptions := []sdktrace.TracerProviderOption{sdktrace.WithResource(identity), sdktrace.WithSampler(sampler)}
	if options.TraceWriter != nil {
		spans, err := stdouttrace.New(stdouttrace.WithWriter(options.TraceWriter))
		if err != nil {
			return errors.Wrap(err, "create the trace writer")
		}
		providerOptions = append(providerOptions, sdktrace.WithBatcher(spans))
	}
	if options.Endpoint != "" {
		spans, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(options.Endpoint+"/v1/traces"))
		if err != nil {
			return errors.Wrap(err, "create the OTLP trace exporter")
		}
		providerOptions = append(providerOptions, sdktrace.WithBatcher(spans))
	}
	t.tracerProvider = sdktrace.NewTracerProvider(providerOptions...)
	return nil
}

func (t *Telemetry) createInstruments() error {
	meter := t.meterProvider.Meter(scopeName)
	var failures [11]error
	t.attempts, failures[0] = meter.Int64Counter(instrument.Attempts,
		metric.WithDescription("Attempts at backend servers by service, result and kind."))
	t.attemptLatency, failures[1] = meter.Float64Histogram(instrument.AttemptDuration,
		metric.WithUnit("s"), metric.WithDescription("Time from sending to the end of an attempt."),
		metric.WithExplicitBucketBoundaries(buckets()...))
	t.searches, failures[2] = meter.Int64Counter(instrument.Searches,
		metric.WithDescription("Searches by route and outcome: complete, partial or the code of the refusal."))
	t.searchLatency, failures[3] = meter.Float64Histogram(instrument.SearchDuration,
		metric.WithUnit("s"), metric.WithDescription("Time to answer a search."),
		metric.WithExplicitBucketBoundaries(buckets()...))
	t.missedShards, failures[4] = meter.Int64Counter(instrument.MissedShards,
		metric.WithDescription("Shards that answers missed, by route and reason."))
	t.reservations, failures[5] = meter.Int64Counter(instrument.Reservations,
		metric.WithDescription("Reservations by route, outcome and code."))
	t.forwards, failures[6] = meter.Int64Counter(instrument.Forwards,
		metric.WithDescription("Forwarded requests by route and outcome."))
	t.forwardLatency, failures[7] = meter.Float64Histogram(instrument.ForwardDuration,
		metric.WithUnit("s"), metric.WithDescription("Time to answer a forwarded request."),
		metric.WithExplicitBucketBoundaries(buckets()...))
	t.missedParts, failures[8] = meter.Int64Counter(instrument.MissedParts,
		metric.WithDescription("Shards without a part in the merged answers."))
	t.rateLimitedAttempts, failures[9] = meter.Int64Counter(instrument.RateLimitedAttempts,
		metric.WithDescription("Attempts at backend servers that had named a rate limit."))
	t.attemptsLeavingDomain, failures[10] = meter.Int64Counter(instrument.AttemptsLeavingDomain,
		metric.WithDescription("First attempts at servers of other failure domains, by reason."))
	if err := errors.Join(failures[:]...); err != nil {
		return errors.Wrap(err, "create instruments")
	}
	return nil
}

// buckets returns the upper bounds of the latency histograms in seconds.
func buckets() []float64 {
	return []float64{0.001, 0.002, 0.004, 0.006, 0.008, 0.012, 0.016, 0.024, 0.032, 0.048, 0.064, 0.1, 0.15, 0.25, 0.5, 1, 2}
}

// Tracer returns the tracer for spans.
func (t *Telemetry) Tracer() trace.Tracer {
	return t.tracerProvider.Tracer(scopeName)
}

// Meter returns the meter for further instruments.
func (t *Telemetry) Meter() metric.Meter {
	return t.meterProvider.Meter(scopeName)
}

// MetricsHandler serves the metrics for scraping.
func (t *Telemetry) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Shutdown exports the buffered spans and metrics and stops the exporters.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	return errors.Join(t.tracerProvider.Shutdown(ctx), t.meterProvider.Shutdown(ctx))
}
