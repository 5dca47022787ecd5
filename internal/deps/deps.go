//go:build deps

// Package deps keeps the module's declared libraries in go.mod until the
// packages that use them are in place.
package deps

import (
	_ "connectrpc.com/connect"
	_ "connectrpc.com/otelconnect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/aws/aws-sdk-go-v2/credentials"
	_ "github.com/aws/aws-sdk-go-v2/service/dynamodb"
	_ "github.com/aws/aws-sdk-go-v2/service/s3"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/stretchr/testify/require"
	_ "go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
	_ "sigs.k8s.io/yaml"
)
