package instance

import (
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/basilloom/basilloom/internal/standin/worker"
)

// Guards against a hop of a request that leaves no span in its trace.
func TestEachHopHasASpan(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)))
	defer otel.SetTracerProvider(before)
	env := newTestEnv(t)
	env.engine = true
	env.worker("w-a", worker.Always(worker.Stream))
	env.configure(testRoutes(), []string{testKey}, 0)
	n := env.start("i1")
	require.Equal(t, http.StatusOK, n.call(t, http.MethodPost, "/stream/1", "x", nil).status)
	n.stop()
	<-n.ended
	var names []string
	ended := spans.Ended()
	for _, s := range ended {
		names = append(names, s.Name())
		require.Equal(t, ended[0].SpanContext().TraceID(), s.SpanContext().TraceID(), s.Name())
	}
	slices.Sort(names)
	require.Equal(t, []string{"request", "schedule", "send", "wait for grant"}, names)
}
