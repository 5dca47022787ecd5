package embedded

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/standin/rawserver"
)

// Guards against a part of a plain service's response that reaches the caller as a complete
// one because the service reset the connection during the upload.
func TestServiceResponseWithoutLengthToAnUpload(t *testing.T) {
	const text = "a response without a length"
	configuration := testConfig("http://127.0.0.1:9")
	// A request that was not written waits for another target until its deadline.
	configuration.Tiers[0].FirstTokenDeadline = durationpb.New(time.Second)
	for n, ending := range rawserver.Endings {
		server, err := rawserver.Start(func(c *rawserver.Conn) { ending.Serve(c, "HTTP/1.1 200 OK\r\n\r\n"+text) })
		require.NoError(t, err)
		defer server.Close()
		name := fmt.Sprint("service-", n)
		configuration.Pools = append(configuration.Pools, &pb.Pool{Name: name, Kind: pb.PoolKind_POOL_KIND_SERVICE})
		configuration.Targets = append(configuration.Targets, &pb.Target{
			Name: name, Pool: name, Region: "west", Zone: "west-a", Address: "http://" + server.Address(), Concurrency: 4,
		})
		configuration.Routes = append(configuration.Routes, &pb.Route{Name: name, PathPrefix: "/" + name, Pool: name, Tier: "top"})
	}
	fleet, err := Start(t.Context(), []Place{{"a", "west", "west-a"}}, configuration, zap.NewNop(), nil)
	require.NoError(t, err)
	defer fleet.Close()
	upload := strings.Repeat("x", 8<<20)
	client := &http.Client{Timeout: 10 * time.Second}
	for n, ending := range rawserver.Endings {
		t.Run(ending.Name, func(t *testing.T) {
			for range 3 {
				request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("%s/service-%d", fleet.Callers()[0], n), strings.NewReader(upload))
				require.NoError(t, err)
				request.Header.Set("Authorization", "Bearer token")
				response, err := client.Do(request)
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				require.NoError(t, err)
				if ending.Clean {
					require.Equal(t, "served", response.Header.Get("Basilloom-Outcome"), string(body))
					require.Equal(t, http.StatusOK, response.StatusCode)
					require.Equal(t, text, string(body))
					continue
				}
				if ending.BeforeRequest && response.StatusCode == http.StatusServiceUnavailable {
					require.Equal(t, "not-run", response.Header.Get("Basilloom-Outcome"), string(body))
					continue
				}
				require.Equal(t, "failed", response.Header.Get("Basilloom-Outcome"), string(body))
				require.Equal(t, http.StatusBadGateway, response.StatusCode)
			}
		})
	}
}
