package main

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-faster/errors"
	_ "github.com/labstack/echo/v4"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/spf13/cobra"
	_ "github.com/tailscale/hujson"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlpmetric/otlpmetrichttp"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/metric"
	_ "go.opentelemetry.io/otel/metric/noop"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "go.opentelemetry.io/otel/sdk/resource"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.opentelemetry.io/otel/trace"
	_ "go.opentelemetry.io/otel/trace/noop"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/net/http2/h2c"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)

func main() {}
