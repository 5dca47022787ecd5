package instance

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/worker"
)

// inTurn returns a script that gives each request to any worker the next behaviour, and
// the last one to all that follow.
func inTurn(behaviours ...worker.Behaviour) func(int, *http.Request) worker.Behaviour {
	turns := make(chan worker.Behaviour, len(behaviours))
	for _, b := range behaviours {
		turns <- b
	}
	return func(int, *http.Request) worker.Behaviour {
		if len(turns) > 1 {
			return <-turns
		}
		last := <-turns
		turns <- last
		return last
	}
}

// Guards against a refusal that a worker writes twice on a kept connection and that is
// taken for the response to a later request, which the worker runs.
func TestRepeatedRefusalIsNotTakenForAResponse(t *testing.T) {
	for repeated, status := range map[worker.Behaviour]int{worker.RepeatRefusal: 200, worker.RepeatAnonymousRefusal: 502} {
		t.Run(fmt.Sprint("fault ", repeated), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			a := env.worker("w-a", inTurn(worker.Serve, worker.Full, repeated, worker.Serve))
			env.configure(testRoutes(), []string{testKey}, 0)
			n := env.start("i1")
			require.Equal(t, 200, n.call(t, http.MethodPost, "/unsafe/1", "x", nil).status)
			require.Equal(t, 503, n.call(t, http.MethodPost, "/unsafe/2", "x", nil).status)
			require.Equal(t, 1, executed(a), "the request that was refused has not run and is not sent to the same worker again")
			got := n.call(t, http.MethodPost, "/unsafe/3", "x", nil)
			require.Equal(t, status, got.status, "the worker has run the request")
			require.Equal(t, 2, executed(a))
			got = n.call(t, http.MethodPost, "/unsafe/4", "x", nil)
			require.Equal(t, 200, got.status)
			require.Equal(t, "POST /unsafe/4 x", got.body)
			require.Equal(t, 1, a.Opened()-boolToInt(repeated == worker.RepeatAnonymousRefusal))
		})
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against the text of a response that follows a broken stream in the middle of the
// caller's stream, and against a stream that then looks complete.
func TestResponseAfterABrokenStreamIsNotPartOfIt(t *testing.T) {
	for _, second := range []worker.Behaviour{
		worker.Fail, worker.Full, worker.Unknown503, worker.OtherInstance, worker.Serve, worker.Unsigned, worker.Unframed,
		worker.CutStatusLine, worker.CutHeader, worker.CutHead, worker.CutResponse, worker.UnframedStreamHead,
	} {
		t.Run(fmt.Sprint("second response ", second), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			behaviour := inTurn(worker.StreamCut, second)
			env.worker("w-a", behaviour)
			env.worker("w-b", behaviour)
			env.configure(testRoutes(), []string{testKey}, 0)
			n := env.start("i1")
			got := n.call(t, http.MethodPost, "/resumable/1", "x", nil)
			require.Equal(t, 200, got.status)
			require.Error(t, got.err, "the stream must not look complete")
			require.True(t, strings.HasPrefix(allEvents(), got.body), got.body)
		})
	}
}

// Guards against a response whose head is cut short and that is passed on as a whole one.
func TestCutHeadIsNotAResponse(t *testing.T) {
	for _, fault := range []worker.Behaviour{worker.CutStatusLine, worker.CutHeader, worker.CutHead} {
		for path, status := range map[string]int{"/safe/1": 200, "/unsafe/1": 502, "/stream/1": 502, "/resumable/1": 200} {
			t.Run(fmt.Sprint(path, " fault ", fault), func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				then := worker.Serve
				if path == "/resumable/1" {
					then = worker.Stream
				}
				behaviour := firstThen(fault, then)
				env.worker("w-a", behaviour)
				env.worker("w-b", behaviour)
				env.configure(testRoutes(), []string{testKey}, 0)
				n := env.start("i1")
				got := n.call(t, http.MethodPost, path, "x", nil)
				require.NoError(t, got.err)
				require.Equal(t, status, got.status)
				switch {
				case then == worker.Stream:
					require.Equal(t, allEvents(), got.body)
				case status == 200:
					require.Equal(t, "POST "+path+" x", got.body)
				}
			})
		}
	}
}

// Guards against a stream without a length or chunks that breaks off and looks complete,
// and against a whole one that is taken for broken.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	for _, c := range []struct {
		path     string
		first    worker.Behaviour
		complete bool
		runs     int
	}{
		{"/stream/1", worker.UnframedStream, true, 1},
		{"/resumable/1", worker.UnframedStream, true, 1},
		{"/stream/1", worker.UnframedStreamCut, false, 1},
		{"/resumable/1", worker.UnframedStreamCut, true, 2},
		{"/resumable/1", worker.UnframedStreamHead, true, 2},
	} {
		t.Run(fmt.Sprint(c.path, " first ", c.first), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			behaviour := firstThen(c.first, worker.UnframedStream)
			a, b := env.worker("w-a", behaviour), env.worker("w-b", behaviour)
			env.configure(testRoutes(), []string{testKey}, 0)
			n := env.start("i1")
			got := n.call(t, http.MethodPost, c.path, "x", nil)
			require.Equal(t, 200, got.status)
			require.Equal(t, c.runs, executed(a, b))
			requireStream(t, got, c.complete)
		})
	}
}
