package embedded

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/standin/rawserver"
)

// serviceFleet is an instance in front of plain services, each with a pool and a route of its
// own.
type serviceFleet struct{ *Fleet }

func startServices(t *testing.T, serve []func(*rawserver.Conn)) serviceFleet {
	t.Helper()
	configuration := testConfig("http://127.0.0.1:9")
	// A request that was not written waits for another target until its deadline.
	configuration.Tiers[0].FirstTokenDeadline = durationpb.New(time.Second)
	for n, serve := range serve {
		server, err := rawserver.Start(serve)
		require.NoError(t, err)
		t.Cleanup(server.Close)
		name := fmt.Sprint("service-", n)
		configuration.Pools = append(configuration.Pools, &pb.Pool{Name: name, Kind: pb.PoolKind_POOL_KIND_SERVICE})
		configuration.Targets = append(configuration.Targets, &pb.Target{
			Name: name, Pool: name, Region: "west", Zone: "west-a", Address: "http://" + server.Address(), Concurrency: 4,
		})
		configuration.Routes = append(configuration.Routes, &pb.Route{Name: name, PathPrefix: "/" + name, Pool: name, Tier: "top"})
	}
	fleet, err := Start(t.Context(), []Place{{"a", "west", "west-a"}}, configuration, zap.NewNop(), nil)
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	return serviceFleet{fleet}
}

// callService calls the service with the number and returns its response and body.
func (f serviceFleet) callService(t *testing.T, n int, body string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("%s/service-%d", f.Callers()[0], n), strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer token")
	client := &http.Client{Timeout: 10 * time.Second}
	response, err := client.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(data)
}

// Guards against a part of a plain service's response that reaches the caller as a complete
// one because the service reset the connection during the upload.
func TestServiceResponseWithoutLengthToAnUpload(t *testing.T) {
	const text = "a response without a length"
	var serve []func(*rawserver.Conn)
	for _, ending := range rawserver.Endings {
		serve = append(serve, func(c *rawserver.Conn) { ending.Serve(c, "HTTP/1.1 200 OK\r\n\r\n"+text) })
	}
	fleet := startServices(t, serve)
	upload := strings.Repeat("x", 8<<20)
	for n, ending := range rawserver.Endings {
		t.Run(ending.Name, func(t *testing.T) {
			for range 3 {
				response, body := fleet.callService(t, n, upload)
				outcome := response.Header.Get("Basilloom-Outcome")
				switch {
				case ending.Clean:
					require.Equal(t, "served", outcome, body)
					require.Equal(t, http.StatusOK, response.StatusCode)
					require.Equal(t, text, body)
				case ending.BeforeRequest && response.StatusCode == http.StatusServiceUnavailable:
					require.Equal(t, "not-run", outcome, body)
				default:
					require.Equal(t, "failed", outcome, body)
					require.Equal(t, http.StatusBadGateway, response.StatusCode)
				}
			}
		})
	}
}

// requireNoResponses checks that callers of a plain service get none of the texts as a
// response.
func requireNoResponses(t *testing.T, texts []rawserver.Text, names ...string) {
	t.Helper()
	var serve []func(*rawserver.Conn)
	for _, broken := range rawserver.Pick(texts, names...) {
		serve = append(serve, rawserver.Reply(broken.With("")))
	}
	fleet := startServices(t, serve)
	for n, name := range names {
		t.Run(name, func(t *testing.T) {
			response, body := fleet.callService(t, n, "x")
			require.Equal(t, http.StatusBadGateway, response.StatusCode, body)
			require.Equal(t, "failed", response.Header.Get("Basilloom-Outcome"), body)
		})
	}
}

// Guards against a response with a status that is none.
func TestServiceResponseWithABrokenStatus(t *testing.T) {
	requireNoResponses(t, rawserver.BrokenStatuses,
		"status 000", "status 000 without a length", "status 000 before a response", "status 600", "switch of protocols")
}

// Guards against a response with a broken field line.
func TestServiceResponseWithABrokenField(t *testing.T) {
	requireNoResponses(t, rawserver.BrokenFields,
		"blank in a name", "control byte in a name", "blank before a name", "length with a blank after its name",
		"transfer coding with a blank after its name", "blank in a name, interim response", "blank in a name, trailer")
}

// Guards against a response whose end is not where the service puts it.
func TestServiceResponseWithBrokenFraming(t *testing.T) {
	requireNoResponses(t, rawserver.BrokenFraming,
		"length and transfer coding", "transfer coding in HTTP/1.0", "transfer coding, interim response", "length, trailer")
}

// Guards against a sound response that is refused.
func TestSoundServiceResponses(t *testing.T) {
	var serve []func(*rawserver.Conn)
	for _, sound := range rawserver.Sound {
		serve = append(serve, rawserver.Reply(sound.With("")))
	}
	fleet := startServices(t, serve)
	for n, sound := range rawserver.Sound {
		t.Run(sound.Name, func(t *testing.T) {
			for range 2 {
				response, body := fleet.callService(t, n, "x")
				require.Equal(t, http.StatusOK, response.StatusCode, body)
				require.Equal(t, "served", response.Header.Get("Basilloom-Outcome"))
				require.Equal(t, rawserver.SoundBody, body)
			}
		})
	}
}

// Guards against a long response that breaks off and looks whole to a caller of HTTP/1.0, for
// which the end of the connection is the end of the response.
func TestBrokenServiceResponseToACallerOfHTTP10(t *testing.T) {
	const length = 1 << 20
	body := strings.Repeat("x", length)
	reply := func(sent string) func(*rawserver.Conn) {
		return func(c *rawserver.Conn) {
			if r, err := c.Request(); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				c.Send(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, sent))
			}
		}
	}
	fleet := startServices(t, []func(*rawserver.Conn){reply(body), reply(body[:length/2])})
	for n, whole := range []bool{true, false} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(fleet.Callers()[0], "http://"))
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = fmt.Fprintf(conn, "POST /service-%d HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer token\r\nContent-Length: 1\r\n\r\nx", n)
		require.NoError(t, err)
		response, err := io.ReadAll(conn)
		if !whole {
			require.ErrorIs(t, err, syscall.ECONNRESET)
			continue
		}
		require.NoError(t, err)
		require.True(t, strings.HasSuffix(string(response), body))
	}
}
