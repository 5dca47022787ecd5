package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func start(t *testing.T, faults Faults) *Service {
	t.Helper()
	s, err := Listen("127.0.0.1:0", Settings{Faults: faults})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// send makes one call over a new connection.
func send(t *testing.T, s *Service, path, id, body string) (int, []byte, error) {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	r, err := http.NewRequest("POST", "http://"+s.Address()+path, io.NopCloser(strings.NewReader(body)))
	require.NoError(t, err)
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("Idempotency-Key", "key")
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	return response.StatusCode, responseBody, err
}

// Guards against runs that are not counted, or counted when the call did not run.
func TestRunsAreCounted(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults Faults
		status int // 0: the connection breaks
		runs   int
	}{
		{"none", Faults{}, 200, 1},
		{"delay", Faults{DelayMillis: 1}, 200, 1},
		{"error", Faults{ErrorRate: 1}, 500, 0},
		{"close before the run", Faults{CloseBeforeRate: 1}, 0, 0},
		{"close after the run", Faults{CloseAfterRate: 1}, 0, 1},
		{"poison", Faults{PoisonMarker: "body"}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := start(t, test.faults)
			status, body, err := send(t, s, "/book?x=1", "id", "body")
			require.Equal(t, test.status, status)
			require.Equal(t, test.status == 0, err != nil)
			require.Equal(t, map[string]int{"id": 1}, s.Stats().Received)
			require.Equal(t, test.runs, s.Stats().Runs["id"])
			require.Equal(t, test.runs, s.Stats().RunsForKey["key"])
			if test.status == 200 {
				var response Response
				require.NoError(t, json.Unmarshal(body, &response))
				require.Equal(t, []any{"id", "key", "/book?x=1", 1},
					[]any{response.RequestID, response.IdempotencyKey, response.URI, response.Run})
			}
		})
	}
}

// Guards against a truncated response that a client accepts as complete.
func TestTruncatedResponse(t *testing.T) {
	s := start(t, Faults{TruncateRate: 1})
	_, body, err := send(t, s, "/", "id", "")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.NotEmpty(t, body)
}

// Guards against a CloseIdle that closes nothing. Tests need it to make net/http
// retry requests on a reused connection that the server has closed.
func TestCloseIdle(t *testing.T) {
	s := start(t, Faults{})
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequest("GET", "http://"+s.Address(), nil)
	require.NoError(t, err)
	response, err := transport.RoundTrip(r)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Eventually(t, func() bool { return s.CloseIdle() == 1 }, 10*time.Second, time.Millisecond)
}

// Guards against a crash command that leaves the port open, and a restart that
// resets the counts.
func TestCrashAndRestart(t *testing.T) {
	s := start(t, Faults{})
	_, _, err := send(t, s, "/", "id", "")
	require.NoError(t, err)
	_, _, err = send(t, s, "/fault", "", `{"crash":true,"error_rate":1}`)
	require.Error(t, err)
	_, _, err = send(t, s, "/", "id", "")
	require.ErrorContains(t, err, "refused")
	require.NoError(t, s.Restart())
	status, _, err := send(t, s, "/", "id", "")
	require.NoError(t, err)
	require.Equal(t, 500, status)
	require.Equal(t, 1, s.Stats().Runs["id"])
}
