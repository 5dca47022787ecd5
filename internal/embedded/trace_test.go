package embedded

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	standin "github.com/basilloom/basilloom/internal/standin/engine"
)

func testConfig(address string) *pb.Config {
	sum := sha256.Sum256([]byte("token"))
	return &pb.Config{
		Regions:    []*pb.Region{{Name: "west", Zones: []string{"west-a"}}},
		Tiers:      []*pb.Tier{{Name: "top", FirstTokenDeadline: durationpb.New(10 * time.Second)}},
		Workspaces: []*pb.Workspace{{Name: "app", TokenSha256: hex.EncodeToString(sum[:])}},
		Pools:      []*pb.Pool{{Name: "models", Kind: pb.PoolKind_POOL_KIND_ENGINE}},
		Targets: []*pb.Target{{
			Name: "engine", Pool: "models", Region: "west", Zone: "west-a", Address: address, Versions: []string{"v1"},
			PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 60,
		}},
		Routes: []*pb.Route{{Name: "plans", Model: "plans", Pool: "models", Tier: "top", Version: "v1"}},
	}
}

// Guards against a hop without a span, and against hops of one request in different
// traces.
func TestOneTraceAcrossAllHops(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)))
	otel.SetTextMapPropagator(propagation.TraceContext{})
	engine, err := standin.Listen(Loopback, standin.DefaultSettings())
	require.NoError(t, err)
	defer engine.Close()
	places := []Place{{"a", "west", "west-a"}, {"b", "west", "west-a"}}
	fleet, err := Start(t.Context(), places, testConfig("http://"+engine.Address()), zap.NewNop(), nil)
	require.NoError(t, err)
	defer fleet.Close()

	const trace = "0af7651916cd43dd8448eb211c80319c"
	for _, callers := range fleet.Callers() {
		body := strings.NewReader(`{"model":"plans","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`)
		req, err := http.NewRequest(http.MethodPost, callers+"/v1/chat/completions", body)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer token")
		req.Header.Set("Traceparent", "00-"+trace+"-b7ad6b7169203331-01")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	hops := []string{"POST", "wait for grant", "schedule", "dispatch"}
	require.Eventually(t, func() bool {
		counts := make(map[string]int)
		for _, span := range recorder.Ended() {
			if span.SpanContext().TraceID().String() == trace {
				counts[span.Name()]++
			}
		}
		return !slices.ContainsFunc(hops, func(hop string) bool { return counts[hop] != len(places) })
	}, 5*time.Second, 20*time.Millisecond, "%v", spanNames(recorder))
}

func spanNames(recorder *tracetest.SpanRecorder) []string {
	var all []string
	for _, span := range recorder.Ended() {
		all = append(all, span.Name()+" "+span.SpanContext().TraceID().String())
	}
	return all
}
